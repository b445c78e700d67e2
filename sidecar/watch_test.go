package sidecar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/sidecar"
)

// setBack is a clock whose time of day is an hour behind.
type setBack struct{ clock.System }

// Now implements sidecar.Clock.
func (c setBack) Now() time.Time { return c.System.Now().Add(-time.Hour) }

var _ = Describe("the store", func() {
	watching := func(hosts []*host) (watching, others []*host) {
		for _, h := range hosts {
			if h.sidecar.Watches() {
				watching = append(watching, h)
			} else {
				others = append(others, h)
			}
		}
		return watching, others
	}

	It("is watched by some nodes, and by others when those are lost", func() {
		w := newWorld()
		w.publish(1)
		for range 12 {
			w.add()
		}
		count := func() int {
			some, _ := watching(w.hosts)
			return len(some)
		}
		Eventually(count).Should(Equal(8))
		for _, h := range w.hosts {
			Eventually(h.metricsRevision).Should(Equal("1"))
		}
		some, others := watching(w.hosts)
		w.publish(2)
		for _, h := range others {
			Eventually(h.metricsRevision).Should(Equal("2"))
		}
		for _, h := range some {
			h.sidecar.Kill()
		}
		w.publish(3)
		for _, h := range others {
			Eventually(h.metricsRevision).Should(Equal("3"))
		}
	})

	It("keeps the entry of a node that is started again", func() {
		w, a, b := pair()
		_, writes, _ := w.store.Calls()
		b.sidecar.Kill()
		b.start()
		b.beat("ready")
		Eventually(b.sidecar.Ready).Should(BeTrue())
		w.reaches(b, "i-stock-1")
		w.knows(a, b)
		_, after, _ := w.store.Calls()
		Expect(after).To(Equal(writes))
	})

	It("makes a node that is started again later than before, whatever its clock says", func() {
		w, a, b := pair()
		b.sidecar.Kill()
		Eventually(func() bool { return a.sidecar.Sees(b.name) }).Should(BeFalse())
		b.start(sidecar.WithClock(setBack{}))
		b.beat("ready")
		w.knows(a, b)
	})
})
