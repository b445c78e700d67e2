// Package load sends open-loop streams of calls to a deployment and measures
// their latency as callers see it. Latency counts from the time a call was
// scheduled rather than sent, which avoids coordinated omission.
package load
