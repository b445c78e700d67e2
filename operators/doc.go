// Package operators provides a node's HTTP interface for operators: the handler
// and its client. Operators read the status and the daily totals, and publish,
// amend and withdraw release notes. No operation acts on a single backend server.
package operators
