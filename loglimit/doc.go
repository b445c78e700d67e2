// Package loglimit limits the log lines of a kind.
//
// A Limit passes bursts of up to a second's lines, and counts what it omits, so that the next
// line can say how many are missing:
//
//	if omitted, ok := limit.Allow(now, 1); ok {
//		logger.Log("event", "run", "omitted", omitted)
//	}
package loglimit
