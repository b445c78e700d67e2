// Package standin provides in-memory stand-ins for the systems around a node: the
// platform's key-value service, backend servers, callers, and network links with a
// delay. Demonstrations, measurements and tests use them, and inject faults into
// them.
package standin
