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
		a.Merge(at, "b", 1, b.RecentRecords(at))
		Expect(a.Blocked(1)).To(BeFalse())
		b.Crashed(at, []uint64{1})
		// Nodes send their records repeatedly; each crash must count once.
		a.Merge(at, "b", 1, b.RecentRecords(at))
		a.Merge(at, "b", 1, b.RecentRecords(at))
		Expect(a.Blocked(1)).To(BeTrue())
		Expect(a.Blocked(2)).To(BeFalse())
		Expect(a.Blocked(3)).To(BeFalse())
	})

	It("clears an answered request at all nodes", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.RecentRecords(at))
		Expect(b.Blocked(1)).To(BeTrue())
		b.Answered(at, 1)
		a.Merge(at, "b", 1, b.RecentRecords(at))
		Expect(a.Blocked(1)).To(BeFalse())
		Expect(b.Blocked(1)).To(BeFalse())
	})

	It("blocks a request that comes again days after its last crash", func() {
		// Guards against a request that crashes three more upstreams each minute.
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.RecentRecords(at))
		later := at.Add(48 * time.Hour)
		a.Crashed(later, []uint64{2})
		b.Merge(later, "a", 1, a.RecentRecords(later))
		Expect(a.Blocked(1)).To(BeTrue())
		Expect(b.Blocked(1)).To(BeTrue())
		Expect(a.Blocked(2)).To(BeFalse())
	})

	It("counts crashes however long the pauses between them", func() {
		// Guards against a request that crashes an upstream every two minutes for ever.
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for i, list := range []*quarantine.Blocklist{a, b, a} {
			now := at.Add(time.Duration(i) * 2 * time.Hour)
			list.Crashed(now, []uint64{1})
			a.Merge(now, "b", 1, b.RecentRecords(now))
			b.Merge(now, "a", 1, a.RecentRecords(now))
		}
		Expect(a.Blocked(1)).To(BeTrue())
		Expect(b.Blocked(1)).To(BeTrue())
	})

	It("keeps blocks in place of other counts when there are too many", func() {
		a := quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		for i := range uint64(10_000) {
			a.Crashed(at.Add(time.Duration(i)*time.Millisecond), []uint64{i + 2})
		}
		Expect(a.Blocked(1)).To(BeTrue())
	})

	It("counts a crash of a request that was forgotten for want of room", func() {
		// Guards against a later crash that other nodes take for one that was answered.
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		a.Answered(at, 1)
		b.Merge(at, "a", 1, a.RecentRecords(at))
		for i := range uint64(5_000) {
			a.Crashed(at.Add(time.Second), []uint64{i + 2})
		}
		later := at.Add(time.Hour)
		for range 3 {
			a.Crashed(later, []uint64{1})
		}
		b.Merge(later, "a", 1, a.RecentRecords(later))
		Expect(b.Blocked(1)).To(BeTrue())
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
						receiver.Merge(now, from, incarnation, sender.RecentRecords(now))
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
			Expect(node.Blocked(1)).To(BeTrue())
		}
	})

	It("ends with an answer, however often and late nodes tell each other", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		const delay = 400 * time.Millisecond
		answered := at.Add(10 * time.Second)
		for now := at; now.Before(at.Add(5 * time.Minute)); now = now.Add(200 * time.Millisecond) {
			fromA, fromB := a.RecentRecords(now), b.RecentRecords(now)
			a.Merge(now.Add(delay), "b", 1, fromB)
			b.Merge(now.Add(delay), "a", 1, fromA)
			if now.Equal(answered) {
				Expect(a.Blocked(1) && b.Blocked(1)).To(BeTrue())
				b.Answered(now, 1)
			}
			if now.After(answered.Add(2 * delay)) {
				Expect(a.Blocked(1) || b.Blocked(1)).To(BeFalse(), "after %v", now.Sub(at))
			}
		}
	})

	It("is not begun again by a node that is told late", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Answered(at, 1)
		late := at.Add(50 * time.Second)
		records := a.RecentRecords(late)
		b.Merge(late, "a", 1, records)
		Expect(b.Blocked(1)).To(BeTrue())
		b.Answered(late.Add(time.Second), 1)
		b.Merge(late.Add(2*time.Second), "a", 1, records)
		Expect(b.Blocked(1)).To(BeFalse())
	})

	It("adds the crashes that a node counted before and after a restart", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		a.Crashed(at, []uint64{1})
		b.Merge(at, "a", 1, a.RecentRecords(at))
		a = quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		b.Merge(at, "a", 2, a.RecentRecords(at))
		Expect(b.Blocked(1)).To(BeTrue())
	})

	It("counts crashes again after a block has ended", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.RecentRecords(at))
		a.Answered(at.Add(10*time.Second), 1)
		b.Merge(at.Add(10*time.Second), "a", 1, a.RecentRecords(at.Add(10*time.Second)))
		again := at.Add(61 * time.Second)
		for range 2 {
			a.Crashed(again, []uint64{1})
		}
		b.Merge(again, "a", 1, a.RecentRecords(again))
		Expect(a.Blocked(1) || b.Blocked(1)).To(BeFalse())
		b.Crashed(again, []uint64{1})
		Expect(b.Blocked(1)).To(BeTrue())
	})

	It("is not told again by a node that has not heard of the answer", func() {
		a, b, c := quarantine.NewBlocklist(), quarantine.NewBlocklist(), quarantine.NewBlocklist()
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.RecentRecords(at))
		c.Merge(at, "a", 1, a.RecentRecords(at))
		answered := at.Add(time.Second)
		b.Answered(answered, 1)
		b.Merge(answered, "c", 1, c.RecentRecords(answered))
		b.Merge(answered, "a", 1, a.RecentRecords(answered))
		Expect(b.Blocked(1)).To(BeFalse())
		c.Merge(answered, "b", 1, b.RecentRecords(answered))
		Expect(c.Blocked(1)).To(BeFalse())
	})

	It("counts crashes after an answer although the answer is told again", func() {
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Crashed(at, []uint64{1})
		a.Answered(at, 1)
		later := at.Add(5 * time.Second)
		for range 3 {
			b.Crashed(later, []uint64{1})
		}
		b.Merge(later, "a", 1, a.RecentRecords(later))
		Expect(b.Blocked(1)).To(BeTrue())
	})

	It("understands a node of an earlier version", func() {
		a := quarantine.NewBlocklist()
		a.Merge(at, "b", 1, []quarantine.Record{{Fingerprint: 1, Crashes: 3}})
		Expect(a.Blocked(1)).To(BeTrue())
		a.Merge(at.Add(time.Second), "b", 1, []quarantine.Record{{Fingerprint: 1, Answered: true}})
		Expect(a.Blocked(1)).To(BeFalse())
	})
})
