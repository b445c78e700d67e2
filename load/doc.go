// Package load sends open-loop streams of calls to a deployment and measures
// what the callers feel. Latency is counted from the moment a call was due, so
// that waiting is not hidden.
package load
