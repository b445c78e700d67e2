package quarantine_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/quarantine"
)

// longestPause is the longest pause between the block of a request and a trial.
const longestPause = 5 * time.Minute

var _ = Describe("a trial of a blocked request", func() {
	at := time.Unix(1_800_000_000, 0)
	var store *storedCounts
	BeforeEach(func() { store = &storedCounts{} })
	blocked := func() *quarantine.Blocklist {
		b := store.start(at)
		for range 3 {
			b.Crashed(at, []uint64{1})
		}
		return b
	}

	It("is not due within a minute", func() {
		b := blocked()
		Expect(b.Refuses(at.Add(59*time.Second), 1)).To(BeTrue())
		Expect(store.trial(at.Add(59*time.Second), b)).To(BeFalse())
	})

	It("clears a request that is answered", func() {
		// Guards against a sound request that is refused for ever, as three upstreams that ran it
		// ended for other reasons.
		b := blocked()
		later := at.Add(longestPause)
		Expect(b.Refuses(later, 1)).To(BeFalse())
		Expect(store.trial(later, b)).To(BeTrue())
		Expect(b.Refuses(later, 1)).To(BeTrue())
		Expect(store.trial(later, b)).To(BeFalse())
		b.Answered(later.Add(time.Second), 1)
		Expect(b.Refuses(later.Add(time.Second), 1)).To(BeFalse())
		Expect(b.Blocked(1)).To(BeFalse())
	})

	It("is the last one of a request that crashes once more", func() {
		b := blocked()
		later := at.Add(longestPause)
		Expect(store.trial(later, b)).To(BeTrue())
		b.Crashed(later, []uint64{1})
		for range 10 {
			later = later.Add(24 * time.Hour)
			Expect(store.trial(later, b)).To(BeFalse())
		}
	})

	It("comes twice if nothing is known of its outcome", func() {
		b := blocked()
		trials := 0
		for later := at; later.Before(at.Add(24 * time.Hour)); later = later.Add(time.Minute) {
			if store.trial(later, b) {
				trials++
			}
		}
		Expect(trials).To(Equal(2))
	})

	It("comes at one of many nodes at a time", func() {
		// Guards against a blocked request that crashes as many upstreams at once as there are
		// nodes, where it comes again after a long pause.
		nodes := []*quarantine.Blocklist{blocked()}
		store.write(at, nodes[0])
		for range 9 {
			nodes = append(nodes, store.start(at))
		}
		later := at.Add(24 * time.Hour)
		trials := 0
		for _, b := range nodes {
			Expect(b.Refuses(later, 1)).To(BeFalse())
			if store.trial(later, b) {
				trials++
			}
		}
		Expect(trials).To(Equal(1))
	})

	It("is not due at a node that reads the trial of another", func() {
		a := blocked()
		store.write(at, a)
		b, later := store.start(at), at.Add(longestPause)
		_, due := b.Trial(later, 1)
		Expect(due).To(BeTrue())
		Expect(store.trial(later, a)).To(BeTrue())
		Expect(store.trial(later, b)).To(BeFalse())
	})

	It("is counted beside a crash at the same node meanwhile", func() {
		b := blocked()
		store.write(at, b)
		later := at.Add(longestPause)
		snapshot, due := b.Trial(later, 1)
		Expect(due).To(BeTrue())
		b.Crashed(later, []uint64{1})
		store.put(later, b, snapshot)
		Expect(b.Snapshot().Requests[0].Unanswered()).To(Equal(uint64(5)))
	})

	It("reaches upstreams at most twice after the third crash, whatever ends", func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 1))
			store := &storedCounts{}
			nodes := []*quarantine.Blocklist{store.start(at), store.start(at), store.start(at)}
			runs := 0
			for now := at; now.Before(at.Add(12 * time.Hour)); now = now.Add(time.Duration(rng.IntN(120)) * time.Second) {
				i := rng.IntN(len(nodes))
				if rng.IntN(4) == 0 {
					nodes[i] = store.start(now)
				}
				store.read(now, nodes[i])
				if nodes[i].Refuses(now, 1) || nodes[i].Blocked(1) && !store.trial(now, nodes[i]) {
					continue
				}
				runs++
				if rng.IntN(2) == 0 || runs <= 3 {
					nodes[i].Crashed(now, []uint64{1})
				}
				if runs <= 3 || rng.IntN(2) == 0 {
					store.write(now, nodes[i])
				}
			}
			Expect(runs).To(BeNumerically("<=", 5), "seed %d", seed)
			Expect(runs).To(BeNumerically(">", 3), "seed %d", seed)
		}
	})
})
