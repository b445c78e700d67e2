// Package route chooses the service of a request.
//
// A Table holds one revision of the operators' configuration. A request is
// matched by its host and the longest prefix of its path. A route with several
// services distributes its requests by smooth weighted round robin, so that even
// a short series of requests comes close to the weights.
//
// The package reads no files and opens no sockets.
package route
