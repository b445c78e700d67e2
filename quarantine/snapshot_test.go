package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/timeline"
)

// storedCounts is a store of crash counts with conditional writes.
type storedCounts struct {
	timeline uint64
	version  uint64
	snapshot quarantine.Snapshot
}

// read applies the stored counts to a node's.
func (s *storedCounts) read(now time.Time, b *quarantine.Blocklist) {
	b.Restore(now, timeline.NewPosition(s.timeline, s.version), s.snapshot)
}

// write reads and then writes the counts that a node knows.
func (s *storedCounts) write(now time.Time, b *quarantine.Blocklist) {
	s.read(now, b)
	s.put(now, b, b.Snapshot())
}

// put writes a snapshot of a node.
func (s *storedCounts) put(now time.Time, b *quarantine.Blocklist, snapshot quarantine.Snapshot) {
	s.version++
	s.snapshot = snapshot
	b.Saved(now, s.timeline, snapshot)
}

// trial reads the counts and writes a trial of request 1, and reports whether one was due.
func (s *storedCounts) trial(now time.Time, b *quarantine.Blocklist) bool {
	s.read(now, b)
	snapshot, due := b.Trial(now, 1)
	if due {
		s.put(now, b, snapshot)
	}
	return due
}

// start returns the counts of a node that has just started and read the stored ones.
func (s *storedCounts) start(now time.Time) *quarantine.Blocklist {
	b := quarantine.NewBlocklist()
	s.read(now, b)
	return b
}

var _ = Describe("stored crash counts", func() {
	at := time.Unix(1_800_000_000, 0)
	var store *storedCounts
	BeforeEach(func() { store = &storedCounts{timeline: 1} })

	It("end at all nodes with an answer, also at those that were not told", func() {
		a, b, c := store.start(at), store.start(at), store.start(at)
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		store.write(at, a)
		store.read(at, b)
		store.read(at, c)
		a.Answered(at.Add(time.Second), 1)
		Expect(a.Unsaved(at.Add(time.Second))).To(BeTrue())
		b.Merge(at.Add(time.Second), "a", 1, a.RecentRecords(at.Add(time.Second)))
		// One node writes, and not each that hears of the answer.
		Expect(b.Unsaved(at.Add(time.Second))).To(BeFalse())
		Expect(b.Unsaved(at.Add(2 * time.Minute))).To(BeTrue())
		store.write(at.Add(time.Second), a)
		Expect(a.Unsaved(at.Add(time.Second))).To(BeFalse())
		Expect(c.Blocked(1)).To(BeTrue())
		store.read(at.Add(2*time.Second), c)
		Expect(c.Blocked(1)).To(BeFalse())
		Expect(store.start(at).Blocked(1)).To(BeFalse())
	})

	It("do not begin a block again that was answered before they were written", func() {
		a, b := store.start(at), store.start(at)
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.RecentRecords(at))
		b.Answered(at.Add(time.Second), 1)
		store.write(at.Add(time.Second), a)
		store.read(at.Add(2*time.Second), b)
		Expect(b.Blocked(1)).To(BeFalse())
		store.write(at.Add(2*time.Second), b)
		store.read(at.Add(2*time.Second), a)
		Expect(a.Blocked(1)).To(BeFalse())
	})

	It("are written by another node if the one that counted is lost", func() {
		a, b := store.start(at), store.start(at)
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		b.Merge(at, "a", 1, a.RecentRecords(at))
		Expect(b.Unsaved(at.Add(time.Second))).To(BeFalse())
		later := at.Add(time.Minute)
		Expect(b.Unsaved(later)).To(BeTrue())
		store.write(later, b)
		Expect(b.Unsaved(later)).To(BeFalse())
		Expect(store.start(later).Blocked(1)).To(BeTrue())
	})

	It("are announced until they are stored, and to a node that joins", func() {
		a := store.start(at)
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		later := at.Add(time.Hour)
		Expect(a.RecentRecords(later)).To(HaveLen(1))
		store.write(later, a)
		Expect(a.RecentRecords(later)).To(BeEmpty())
		Expect(a.Records()).To(HaveLen(1))
		b := quarantine.NewBlocklist()
		b.Merge(later, "a", 1, a.Records())
		Expect(b.Blocked(1)).To(BeTrue())
	})

	It("are not undone by an earlier version that is read late", func() {
		a := store.start(at)
		a.Crashed(at, []uint64{2})
		store.write(at, a)
		earlier := *store
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		store.write(at, a)
		store.read(at, a)
		earlier.read(at, a)
		Expect(a.Blocked(1)).To(BeTrue())
	})

	It("are passed on by a node to one that joins", func() {
		a := store.start(at)
		a.Crashed(at, []uint64{1, 2})
		a.Crashed(at, []uint64{1, 2})
		a.Crashed(at, []uint64{1})
		b := quarantine.NewBlocklist()
		b.Merge(at, "a", 1, a.Snapshot().Requests)
		Expect(b.Blocked(1)).To(BeTrue())
		Expect(b.Blocked(2)).To(BeFalse())
		b.Crashed(at.Add(time.Hour), []uint64{2})
		Expect(b.Blocked(2)).To(BeTrue())
	})

	It("that a restored store has lost end no block, and are stored again at once", func() {
		// Guards against a request that runs again since a copy of the store lacks its crashes.
		a, b, c := store.start(at), store.start(at), store.start(at)
		copied := *store
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		store.write(at, a)
		store.read(at, b)
		store.read(at, c)
		*store = copied
		store.timeline++
		// Another request brings the store beyond the version that it had.
		for range 3 {
			store.version++
			a.Crashed(at, []uint64{2})
		}
		store.put(at, quarantine.NewBlocklist(), quarantine.Snapshot{Requests: a.Snapshot().Requests[1:]})
		for _, node := range []*quarantine.Blocklist{b, c} {
			store.read(at, node)
			Expect(node.Blocked(1)).To(BeTrue())
			Expect(node.Unsaved(at)).To(BeTrue())
		}
		store.write(at, b)
		Expect(b.Unsaved(at)).To(BeFalse())
		Expect(store.start(at).Blocked(1)).To(BeTrue())
		// An answer ends it as before.
		b.Answered(at.Add(time.Second), 1)
		store.write(at.Add(time.Second), b)
		store.read(at.Add(time.Second), c)
		Expect(c.Blocked(1)).To(BeTrue(), "it is not known whether the store had its crashes here")
		store.read(at.Add(time.Second), a)
		Expect(a.Blocked(2)).To(BeTrue())
	})

	It("that a restored store still has are cleared by the answer since the copy", func() {
		a, b := store.start(at), store.start(at)
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		store.write(at, a)
		store.read(at, b)
		copied := *store
		a.Answered(at, 1)
		store.write(at, a)
		*store = copied
		store.timeline++
		store.read(at, a)
		Expect(a.Blocked(1)).To(BeFalse())
		Expect(a.Unsaved(at)).To(BeTrue())
		store.write(at, a)
		Expect(store.start(at).Blocked(1)).To(BeFalse())
	})

	It("are not taken for stored if the store was restored since the write", func() {
		// Guards against a block that ends as the store lacks counts that it had in another timeline.
		a := store.start(at)
		for range 3 {
			a.Crashed(at, []uint64{1})
		}
		a.Restore(at, timeline.NewPosition(2, 5), quarantine.Snapshot{})
		a.Saved(at, 1, a.Snapshot())
		a.Restore(at, timeline.NewPosition(2, 6), quarantine.Snapshot{})
		Expect(a.Blocked(1)).To(BeTrue())
	})

	It("are bounded, and keep blocks", func() {
		a := store.start(at)
		for i := range uint64(3000) {
			a.Crashed(at.Add(time.Duration(i)*time.Second), []uint64{i})
		}
		a.Crashed(at, []uint64{5000})
		a.Crashed(at, []uint64{5000})
		a.Crashed(at, []uint64{5000})
		snapshot := a.Snapshot()
		Expect(len(snapshot.Requests)).To(BeNumerically("<=", 1024))
		b := quarantine.NewBlocklist()
		b.Restore(at, timeline.NewPosition(1, 1), snapshot)
		Expect(b.Blocked(5000)).To(BeTrue())
	})

	It("block the same requests at all nodes after any crashes, answers, restarts and losses of messages", func() {
		for seed := range uint64(300) {
			checkStoredCounts(seed, at)
		}
	})
})

// checkStoredCounts plays random crashes, each of which is stored before its node ends, and
// checks that each node that has read the store blocks the requests that have crashed three
// upstreams since their latest answer.
func checkStoredCounts(seed uint64, at time.Time) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(seed, seed))
	store := &storedCounts{timeline: 1}
	const hosts, requests = 4, 3
	nodes := make([]*quarantine.Blocklist, hosts)
	for i := range nodes {
		nodes[i] = store.start(at)
	}
	crashes, now := map[uint64]int{}, at
	var steps []string
	for range 60 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Second)
		i, request := rng.IntN(hosts), rng.Uint64N(requests)
		switch rng.IntN(6) {
		case 0, 1:
			steps = append(steps, fmt.Sprintf("%d counts %d", i, request))
			nodes[i].Crashed(now, []uint64{request})
			crashes[request]++
			store.write(now, nodes[i])
		case 2:
			if nodes[i].Blocked(request) {
				continue
			}
			steps = append(steps, fmt.Sprintf("%d answers %d", i, request))
			nodes[i].Answered(now, request)
			crashes[request] = 0
			store.write(now, nodes[i])
		case 3:
			steps = append(steps, fmt.Sprintf("%d restarts", i))
			nodes[i] = store.start(now)
		case 4:
			steps = append(steps, "all restart")
			for i := range nodes {
				nodes[i] = store.start(now)
			}
		case 5:
			for j := range nodes {
				if j != i && rng.IntN(2) == 0 {
					steps = append(steps, fmt.Sprintf("%d hears %d", j, i))
					nodes[j].Merge(now, fmt.Sprint(i), 1, nodes[i].RecentRecords(now))
				}
			}
		}
		for j := range nodes {
			store.read(now, nodes[j])
			for request := range uint64(requests) {
				Expect(nodes[j].Blocked(request)).To(Equal(crashes[request] >= 3), "seed %d, request %d at node %d: %v", seed, request, j, steps)
			}
		}
	}
}
