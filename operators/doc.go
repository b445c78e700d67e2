// Package operators is the interface of a node for operators: an HTTP handler
// and its client. Operators read the status and the daily totals, and publish,
// amend and withdraw release notes; there is no call that touches one server.
package operators
