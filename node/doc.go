// Package node assembles the process that runs beside a backend server: it
// binds the sockets, runs the periodic tasks and connects the packages that
// hold the logic.
//
// A node joins the fleet by fetching the member list from one of its contacts
// and the release notes from the platform or another node; it accepts calls once
// a revision is in force. To leave, it announces that it drains, waits until the
// calls in progress end, and sends its last counts to its failure domain's
// relays, which write them to the platform.
package node
