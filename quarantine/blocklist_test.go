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
		a.Merge(at, "b", 1, b.Records(at), b.Blocks(at))
		Expect(a.Blocked(at, 1)).To(BeFalse())
		b.Crashed(at, []uint64{1})
		// Nodes send their records repeatedly; each crash must count once.
		a.Merge(at, "b", 1, b.Records(at), b.Blocks(at))
		a.Merge(at, "b", 1, b.Records(at), b.Blocks(at))
		Expect(a.Blocked(at, 1)).To(BeTrue())
		Expect(a.Blocked(at, 2)).To(BeFalse())
		Expect(a.Blocked(at, 3)).To(BeFalse())
	})

	It("clears an answered request at all nodes", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.Records(at), a.Blocks(at))
		Expect(b.Blocked(at, 1)).To(BeTrue())
		b.Answered(at, 1)
		a.Merge(at, "b", 1, b.Records(at), b.Blocks(at))
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

	It("is told to nodes that restart one after the other", func() {
		nodes := map[string]*quarantine.Blocklist{}
		for _, host := range []string{"a", "b", "c"} {
			nodes[host] = quarantine.NewBlocklist()
			nodes[host].Crashed(at, []uint64{1})
		}
		tell := func(now time.Time, incarnation int64) {
			for from, sender := range nodes {
				for to, receiver := range nodes {
					if from != to {
						receiver.Merge(now, from, incarnation, sender.Records(now), sender.Blocks(now))
					}
				}
			}
		}
		tell(at, 1)
		for i, host := range []string{"a", "b", "c", "a", "b", "c"} {
			nodes[host] = quarantine.NewBlocklist()
			tell(at.Add(time.Duration(i)*9*time.Second), int64(i+2))
		}
		for _, node := range nodes {
			Expect(node.Blocked(at.Add(59*time.Second), 1)).To(BeTrue())
		}
	})

	It("ends a minute after the last crash, however often and late nodes tell each other", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		const delay = 400 * time.Millisecond
		for now := at; now.Before(at.Add(5 * time.Minute)); now = now.Add(200 * time.Millisecond) {
			fromA, fromB, blocksA, blocksB := a.Records(now), b.Records(now), a.Blocks(now), b.Blocks(now)
			a.Merge(now.Add(delay), "b", 1, fromB, blocksB)
			b.Merge(now.Add(delay), "a", 1, fromA, blocksA)
			if now.After(at.Add(time.Minute + 2*delay)) {
				Expect(a.Blocked(now, 1) || b.Blocked(now, 1)).To(BeFalse(), "after %v", now.Sub(at))
			}
		}
	})

	It("ends a minute after the last crash at a node that was told late", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		late := at.Add(50 * time.Second)
		b.Merge(late, "a", 1, a.Records(late), a.Blocks(late))
		Expect(b.Blocked(late, 1)).To(BeTrue())
		Expect(b.Blocked(at.Add(61*time.Second), 1)).To(BeFalse())
	})

	It("adds the crashes that a node counted before and after a restart", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		a.Crashed(at, []uint64{1})
		b.Merge(at, "a", 1, a.Records(at), a.Blocks(at))
		a = quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		b.Merge(at, "a", 2, a.Records(at), a.Blocks(at))
		Expect(b.Blocked(at, 1)).To(BeTrue())
	})

	It("counts crashes again after a block has ended", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.Records(at), a.Blocks(at))
		again := at.Add(61 * time.Second)
		for range 2 {
			a.Crashed(again, []uint64{1})
		}
		b.Merge(again, "a", 1, a.Records(again), a.Blocks(again))
		Expect(a.Blocked(again, 1) || b.Blocked(again, 1)).To(BeFalse())
		b.Crashed(again, []uint64{1})
		Expect(b.Blocked(again, 1)).To(BeTrue())
	})

	It("is not told again by a node that has not heard of the answer", func() {
		a, b, c := quarantine.NewBlocklist(), quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.Records(at), a.Blocks(at))
		c.Merge(at, "a", 1, a.Records(at), a.Blocks(at))
		answered := at.Add(time.Second)
		b.Answered(answered, 1)
		b.Merge(answered, "c", 1, c.Records(answered), c.Blocks(answered))
		b.Merge(answered, "a", 1, a.Records(answered), a.Blocks(answered))
		Expect(b.Blocked(answered, 1)).To(BeFalse())
		c.Merge(answered, "b", 1, b.Records(answered), b.Blocks(answered))
		Expect(c.Blocked(answered, 1)).To(BeFalse())
	})

	It("counts crashes after an answer although the answer is told again", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		a.Answered(at, 1)
		later := at.Add(5 * time.Second)
		for range 3 {
			b.Crashed(later, []uint64{1})
		}
		b.Merge(later, "a", 1, a.Records(later), a.Blocks(later))
		Expect(b.Blocked(later, 1)).To(BeTrue())
	})

	It("understands a node that does not tell the time that is left", func() {
		a := quarantine.NewBlocklist()
		a.Merge(at, "b", 1, []quarantine.Record{{Fingerprint: 1, Crashes: 3}}, nil)
		Expect(a.Blocked(at.Add(59*time.Second), 1)).To(BeTrue())
		a.Merge(at.Add(time.Second), "b", 1, []quarantine.Record{{Fingerprint: 1, Answered: true}}, nil)
		Expect(a.Blocked(at.Add(time.Second), 1)).To(BeFalse())
	})
})
