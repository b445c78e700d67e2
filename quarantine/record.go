package quarantine

import (
	"cmp"
	"slices"
)

// Record is what a node knows of a request that has crashed upstreams, as other nodes and
// the store receive it.
type Record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes counts the crashes at the sender, and Answered is set if an upstream has
	// answered the request there since. Earlier versions read these alone.
	Crashes  uint32 `cbor:"2,keyasint,omitempty"`
	Answered bool   `cbor:"3,keyasint,omitempty"`
	// Earlier versions use key 4 for another value.

	// Counts are sorted by source; empty from earlier versions.
	Counts []SourceCount `cbor:"5,keyasint,omitempty"`
}

// SourceCount counts the crashes of a request at one source.
type SourceCount struct {
	_ struct{} `cbor:",toarray"`
	// Source identifies a start of a node.
	Source  uint32
	Crashes uint32
	// Answered is how many of the crashes were followed by an answer.
	Answered uint32
}

// Unanswered returns how many crashes no answer has followed.
func (r Record) Unanswered() uint64 {
	total := uint64(0)
	for _, count := range r.Counts {
		total += uint64(max(count.Crashes, count.Answered) - count.Answered)
	}
	return total
}

// Blocked reports whether the request must not run.
func (r Record) Blocked() bool { return r.Unanswered() >= blockThreshold }

// record returns the record of a request without what only earlier versions read.
func (c *crashState) record(fingerprint uint64) Record {
	r := Record{Fingerprint: fingerprint, Counts: make([]SourceCount, 0, len(c.counts))}
	for source, count := range c.counts {
		r.Counts = append(r.Counts, SourceCount{Source: source, Crashes: count.crashes, Answered: count.answered})
	}
	r.sort()
	return r
}

// sort sorts the counts by source.
func (r *Record) sort() {
	slices.SortFunc(r.Counts, func(a, b SourceCount) int { return cmp.Compare(a.Source, b.Source) })
}
