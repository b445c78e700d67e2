package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var now = time.UnixMilli(1_800_000_000_000)

const crasher = 1

var _ = Describe("a request that crashes its server", func() {
	It("is quarantined after a second crash, alone, and innocent ones are not", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		falsePositives := 0
		for range 200 {
			var broadcast []quarantine.Entry
			q := quarantine.New(quarantine.WithBroadcast(func(entries []quarantine.Entry) { broadcast = append(broadcast, entries...) }))
			innocent := []uint64{}
			for range 1 + rng.IntN(15) {
				innocent = append(innocent, 100+rng.Uint64N(1000))
			}
			q.Begin(crasher)
			for _, fingerprint := range innocent {
				q.Begin(fingerprint)
			}
			for range 1 + len(innocent) {
				q.Crashed(now) // every connection reports the crash
			}
			q.End(crasher, false)
			for _, fingerprint := range innocent {
				q.End(fingerprint, false)
			}
			for _, fingerprint := range innocent {
				_, exclusive := q.Check(now, fingerprint)
				if exclusive {
					q.Begin(fingerprint)
					q.End(fingerprint, true)
				}
			}
			_, exclusive := q.Check(now, crasher)
			Expect(exclusive).To(BeTrue())
			q.Begin(crasher)
			q.Crashed(now)
			q.End(crasher, false)
			refused, _ := q.Check(now, crasher)
			Expect(refused).To(BeTrue())
			for _, fingerprint := range innocent {
				if refused, exclusive := q.Check(now, fingerprint); refused || exclusive {
					falsePositives++
				}
			}
			Expect(broadcast).To(ContainElement(HaveField("Level", quarantine.Quarantined)))
		}
		Expect(falsePositives).To(BeZero())
	})

	It("may run again after the quarantine expires", func() {
		q := quarantine.New()
		q.Merge(now, []quarantine.Entry{{Fingerprint: crasher, Level: quarantine.Quarantined, Remaining: time.Minute}})
		refused, _ := q.Check(now.Add(59*time.Second), crasher)
		Expect(refused).To(BeTrue())
		refused, _ = q.Check(now.Add(time.Minute), crasher)
		Expect(refused).To(BeFalse())
	})

	It("does not make a recently answered request a suspect", func() {
		q := quarantine.New()
		q.Begin(7)
		q.End(7, true)
		q.Begin(7)
		q.Begin(crasher)
		q.Crashed(now)
		_, exclusive := q.Check(now, 7)
		Expect(exclusive).To(BeFalse())
		_, exclusive = q.Check(now, crasher)
		Expect(exclusive).To(BeTrue())
	})
})
