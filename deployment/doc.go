// Package deployment runs a whole fleet of real nodes in one process on
// loopback, with stand-ins for the platform, the backend servers and the links
// between failure domains. It serves the demo, the measurements and the tests.
package deployment
