package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/quarantine"
)

var _ = Describe("holds", func() {
	at := time.Unix(1_800_000_000, 0)

	It("hold a request under which three upstreams ended, at whichever nodes", func() {
		a, b := quarantine.NewHolds(), quarantine.NewHolds()
		a.Crashed(at, []uint64{1, 2})
		b.Crashed(at, []uint64{1, 3})
		a.Learn(at, "b", b.Records(at))
		Expect(a.Held(at, 1)).To(BeFalse())
		b.Crashed(at, []uint64{1})
		// Records are told again and again.
		a.Learn(at, "b", b.Records(at))
		a.Learn(at, "b", b.Records(at))
		Expect(a.Held(at, 1)).To(BeTrue())
		Expect(a.Held(at, 2)).To(BeFalse())
		Expect(a.Held(at, 3)).To(BeFalse())
	})

	It("clear a request that was answered, at all nodes", func() {
		a, b := quarantine.NewHolds(), quarantine.NewHolds()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Learn(at, "a", a.Records(at))
		Expect(b.Held(at, 1)).To(BeTrue())
		b.Answered(at, 1)
		a.Learn(at, "b", b.Records(at))
		Expect(a.Held(at, 1)).To(BeFalse())
		Expect(b.Held(at, 1)).To(BeFalse())
	})

	It("forget", func() {
		a := quarantine.NewHolds()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		Expect(a.Held(at.Add(59*time.Second), 1)).To(BeTrue())
		Expect(a.Held(at.Add(61*time.Second), 1)).To(BeFalse())
	})
})
