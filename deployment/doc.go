// Package deployment runs a fleet of real nodes in one process on loopback, with
// stand-ins for the platform, the backend servers and the links between failure
// domains. The demo, the measurements and the tests use it.
package deployment
