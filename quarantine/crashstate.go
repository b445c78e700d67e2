package quarantine

import (
	"math/rand/v2"
	"time"
)

const (
	// blockThreshold is the number of crashes that blocks a request: the
	// operators' bound on its retries.
	blockThreshold = 3
	// maxTrials bounds the runs of a blocked request that may clear it, so that an innocent
	// request that ran at each of three crashes is served again. Each counts as a crash until
	// it is answered.
	maxTrials = 2
	// minTrialPause and trialPauseSpread determine the pause between the latest change of a
	// blocked request and a trial. It differs between nodes, so that mostly one of them
	// stores a trial.
	minTrialPause    = time.Minute
	trialPauseSpread = 4 * time.Minute
)

// crashState is what a node knows of one request.
type crashState struct {
	// counts are by source.
	counts map[uint32]sourceCount
	// saved holds the counts that the store had when it was read or written last, nil if it
	// did not have the request.
	saved map[uint32]sourceCount
	// answered means that the latest answer came to this node.
	answered bool
	// changedAt is the time of the latest change, and ownChangeAt that of the latest crash
	// or answer at this node.
	changedAt, ownChangeAt time.Time
	// trialAt is the time from which this node admits a trial.
	trialAt time.Time
}

// sourceCount holds the counts of SourceCount.
type sourceCount struct{ crashes, answered uint32 }

// change sets the time of the latest change.
func (c *crashState) change(now time.Time) {
	c.changedAt = now
	c.trialAt = now.Add(minTrialPause + rand.N(trialPauseSpread))
}

// changeHere is change for a crash, a trial or an answer at this node.
func (c *crashState) changeHere(now time.Time) {
	c.change(now)
	c.ownChangeAt = now
}

// countHere counts a crash at this node.
func (c *crashState) countHere(now time.Time, source uint32) {
	count := c.counts[source]
	count.crashes++
	c.counts[source] = count
	c.answered = false
	c.changeHere(now)
}

// trialDue reports whether the blocked request may run once.
func (c *crashState) trialDue(now time.Time) bool {
	return c.crashes() < blockThreshold+maxTrials && !now.Before(c.trialAt)
}

// crashes returns how many crashes no answer has followed.
func (c *crashState) crashes() uint64 {
	total := uint64(0)
	for _, count := range c.counts {
		total += uint64(count.crashes - count.answered)
	}
	return total
}

// blocked reports whether the request must not run.
func (c *crashState) blocked() bool { return c.crashes() >= blockThreshold }

// counted reports whether there are crashes, and too few to block the request.
func (c *crashState) counted() bool { return c.crashes() > 0 && !c.blocked() }

// raise raises the counts of a source to those given, unless they are as high.
func (c *crashState) raise(now time.Time, source uint32, count sourceCount) {
	known := c.counts[source]
	raised := sourceCount{crashes: max(known.crashes, count.crashes), answered: max(known.answered, count.answered)}
	raised.crashes = max(raised.crashes, raised.answered)
	if raised != known {
		c.counts[source] = raised
		c.change(now)
	}
}

// raiseAll raises the counts of several sources.
func (c *crashState) raiseAll(now time.Time, counts map[uint32]sourceCount) {
	for source, count := range counts {
		c.raise(now, source, count)
	}
}

// clear records that an answer has followed all known crashes.
func (c *crashState) clear() {
	for source, count := range c.counts {
		c.counts[source] = sourceCount{crashes: count.crashes, answered: count.crashes}
	}
}
