package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/quarantine"
)

var _ = Describe("a blocklist", func() {
	at := time.Unix(1_800_000_000, 0)

	It("blocks a request after three crashes at any nodes", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1, 2})
		b.Crashed(at, []uint64{1, 3})
		a.Merge(at, "b", b.Records(at))
		Expect(a.Blocked(at, 1)).To(BeFalse())
		b.Crashed(at, []uint64{1})
		// Nodes send their records repeatedly; each crash must count once.
		a.Merge(at, "b", b.Records(at))
		a.Merge(at, "b", b.Records(at))
		Expect(a.Blocked(at, 1)).To(BeTrue())
		Expect(a.Blocked(at, 2)).To(BeFalse())
		Expect(a.Blocked(at, 3)).To(BeFalse())
	})

	It("clears an answered request at all nodes", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", a.Records(at))
		Expect(b.Blocked(at, 1)).To(BeTrue())
		b.Answered(at, 1)
		a.Merge(at, "b", b.Records(at))
		Expect(a.Blocked(at, 1)).To(BeFalse())
		Expect(b.Blocked(at, 1)).To(BeFalse())
	})

	It("unblocks a request a minute after its last crash", func() {
		a := quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		Expect(a.Blocked(at.Add(59*time.Second), 1)).To(BeTrue())
		Expect(a.Blocked(at.Add(61*time.Second), 1)).To(BeFalse())
	})
})
