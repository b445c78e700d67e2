// Package settings reads and checks a node's settings file. Each address is an IP
// address with a port, because hosts do not resolve names.
package settings
