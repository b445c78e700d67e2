// Package http1 implements an HTTP/1.1 server and client for both sides of the
// load balancer.
//
// net/http serves pipelined requests one after another, retries some requests on
// its own, and matches a response to whichever request waits on the connection.
// This package does none of that. A Server reads the next request while earlier
// ones are served, and sends the responses in order. A Pool sends each request
// once and reports whether any of it may have been sent; it passes on a response
// only if OutgoingRequest.Accept accepts it, and sends no two requests with the same
// OutgoingRequest.ID on one connection. Surplus responses are told to an observer.
//
// A message is framed by one Content-Length or by chunks, never by both. Messages
// with ambiguous framing are rejected, and so are responses with a malformed status, field
// or trailer section. Where responses are read by net/http, a Conn and an Inspector tell broken
// ones in the same way.
package http1
