// Package settings reads a node's settings file. Addresses are IP numbers with
// a port, since hosts look up no names.
package settings
