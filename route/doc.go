// Package route decides which service a request goes to.
//
// A Table holds one revision of the operators' configuration. A request is
// matched by its host and the longest prefix of its path. A route with several
// parts spreads its requests over them by weight: each part is due when the
// running total of its weight passes the next whole number, so that even a
// short series of requests comes close to the weights.
//
// The package decides only. It reads no files and opens no sockets.
package route
