// Package node assembles the process that runs beside a backend server: it
// binds the sockets, runs the timers, and connects the packages that decide.
//
// A node starts by joining: it asks its contacts and the platform for the fleet
// and the release notes, and takes calls once it holds a revision. It stops by
// leaving: the fleet hears first, then every call in progress ends, then the
// last counts are handed over.
package node
