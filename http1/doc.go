// Package http1 frames HTTP/1.1 messages on both sides of the load balancer.
//
// net/http answers pipelined requests one after another, repeats some requests
// on its own, and hands an answer to whichever request waits on the connection.
// This package does none of that. A Server reads the next request while earlier
// ones are served, and answers in order. A Pool sends each request once, and
// tells whether any of it was sent; an answer is taken only if the caller's
// check accepts it.
//
// A message is framed by one length or by chunks, never by both. Whatever could
// be read in two ways is refused.
package http1
