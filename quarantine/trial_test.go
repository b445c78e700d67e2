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
	blocked := func() *quarantine.Blocklist {
		b := quarantine.NewBlocklist()
		for range 3 {
			b.Crashed(at, []uint64{1})
		}
		return b
	}

	It("is not admitted within a minute", func() {
		b := blocked()
		Expect(b.Refuses(at.Add(59*time.Second), 1)).To(BeTrue())
		Expect(b.Admit(at.Add(59*time.Second), 1)).To(BeFalse())
	})

	It("clears a request that is answered", func() {
		// Guards against a sound request that is refused for ever, as three upstreams that ran it
		// ended for other reasons.
		b := blocked()
		later := at.Add(longestPause)
		Expect(b.Refuses(later, 1)).To(BeFalse())
		Expect(b.Admit(later, 1)).To(BeTrue())
		Expect(b.Refuses(later, 1)).To(BeTrue())
		Expect(b.Admit(later, 1)).To(BeFalse())
		b.Answered(later.Add(time.Second), 1)
		Expect(b.Refuses(later.Add(time.Second), 1)).To(BeFalse())
		Expect(b.Admit(later.Add(time.Second), 1)).To(BeTrue())
	})

	It("is the last one of a request that crashes once more", func() {
		b := blocked()
		later := at.Add(longestPause)
		Expect(b.Admit(later, 1)).To(BeTrue())
		b.Crashed(later, []uint64{1})
		for range 10 {
			later = later.Add(24 * time.Hour)
			Expect(b.Admit(later, 1)).To(BeFalse())
		}
	})

	It("is admitted twice if nothing is known of its outcome", func() {
		b := blocked()
		admitted := 0
		for later := at; later.Before(at.Add(24 * time.Hour)); later = later.Add(time.Minute) {
			if b.Admit(later, 1) {
				admitted++
			}
		}
		Expect(admitted).To(Equal(2))
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
				if nodes[i].Refuses(now, 1) || !nodes[i].Admit(now, 1) {
					continue
				}
				runs++
				if rng.IntN(2) == 0 || runs <= 3 {
					nodes[i].Crashed(now, []uint64{1})
				}
				store.write(now, nodes[i])
			}
			Expect(runs).To(BeNumerically("<=", 5), "seed %d", seed)
			Expect(runs).To(BeNumerically(">", 3), "seed %d", seed)
		}
	})
})
