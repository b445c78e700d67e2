package sidecar_test

import (
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/banyancross/banyancross/sidecar"
)

// configurationDeadline is the time within which a configuration must be in
// force.
const configurationDeadline = 2 * time.Second

var _ = Describe("the slots of watches", func() {
	It("start a watch at least every half of the deadline, whenever the watches began", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
			start := time.Unix(0, rapid.Int64Range(0, 1<<62).Draw(t, "start"))
			var renewals []time.Duration
			for slot := range nodes {
				for at := time.Duration(0); at < time.Minute; {
					at += sidecar.UntilSlot(start.Add(at), slot, nodes)
					renewals = append(renewals, at)
				}
			}
			sort.Slice(renewals, func(i, j int) bool { return renewals[i] < renewals[j] })
			last := time.Duration(0)
			for _, at := range renewals {
				if at > time.Minute {
					break
				}
				if gap := at - last; gap > configurationDeadline/2 {
					t.Fatalf("no watch begins between %v and %v", last, at)
				}
				last = at
			}
		})
	})
})
