// Package standin has small stand-ins for the systems that surround a node: the
// platform's key-value service, a backend server, and a link with a delay.
// They are for demonstrations, measurements and tests, and can be told to fail.
package standin
