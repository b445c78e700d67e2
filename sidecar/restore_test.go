package sidecar_test

import (
	"bytes"
	"fmt"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/sidecar"
	"github.com/banyancross/banyancross/standin"
)

// entriesTime is the time after the store's return within which the entries are back.
const entriesTime = 2 * time.Second

// outage is an absence of the store, which comes back from a copy.
type outage struct {
	// absence is how long the store is away.
	absence time.Duration
	// rewrite is the time from its return until the operators write again what was lost.
	rewrite time.Duration
}

// restore takes the store away and brings it back from a copy that was taken before.
func (f *testFleet) restore(c standin.Copy, o outage) {
	f.store.SetDown(true)
	time.Sleep(o.absence)
	f.store.Restore(c)
	time.Sleep(o.rewrite)
}

// waitForRevision waits until all hosts use a configuration in time, and checks meanwhile that
// none goes back to an earlier one than it had.
func (f *testFleet) waitForRevision(revision int) {
	GinkgoHelper()
	latest := map[*host]uint64{}
	Eventually(func(g Gomega) {
		for _, h := range f.hosts {
			Expect(h.sidecar.Revision()).To(BeNumerically(">=", latest[h]), h.name)
			latest[h] = h.sidecar.Revision()
		}
		for _, h := range f.hosts {
			g.Expect(h.revision()).To(Equal(fmt.Sprint(revision)), h.name)
		}
	}, configurationTime).Should(Succeed())
}

// registeredFleet returns a fleet of hosts of which some are in the store.
func registeredFleet(hosts int) *testFleet {
	GinkgoHelper()
	f := newTestFleet()
	f.publish(1)
	for range hosts {
		f.add()
	}
	for _, h := range f.hosts {
		Eventually(h.sidecar.Settled).Should(BeTrue())
	}
	f.waitForRevision(1)
	return f
}

var _ = Describe("a store that comes back from a copy", func() {
	// Guards against a configuration that is never in force, as the restored store has passed the
	// revision that the watches had reached, or gives out that of the last one again.
	DescribeTable("keeps the configuration in force, and passes on the one written again and the next", func(hosts int, outages ...outage) {
		f := registeredFleet(hosts)
		version := 1
		for _, o := range outages {
			c := f.store.Copy()
			for range 2 {
				version++
				f.publish(version)
			}
			f.waitForRevision(version)
			f.restore(c, o)
			f.publish(version)
			version++
			f.publish(version)
			f.waitForRevision(version)
		}
	},
		Entry("at once", 3, outage{absence: 100 * time.Millisecond}),
		Entry("at once, after an absence of which all nodes know", 2, outage{absence: 1500 * time.Millisecond}),
		Entry("later", 3, outage{absence: 300 * time.Millisecond, rewrite: 2 * time.Second}),
		Entry("without an absence", 3, outage{}),
		Entry("twice", 3, outage{absence: 100 * time.Millisecond}, outage{absence: time.Second, rewrite: 500 * time.Millisecond}),
		Entry("to nodes that do not watch it", 20, outage{absence: time.Second}),
	)

	It("passes on the next configuration that is all that is written again", func() {
		f := registeredFleet(3)
		c := f.store.Copy()
		f.publish(2)
		f.waitForRevision(2)
		f.restore(c, outage{absence: 500 * time.Millisecond})
		// Its revision of the store is that of the lost version.
		f.publish(3)
		f.waitForRevision(3)
	})

	It("passes on what is written between two restores in a row", func() {
		f := registeredFleet(3)
		first := f.store.Copy()
		f.publish(2)
		f.waitForRevision(2)
		f.restore(first, outage{absence: 300 * time.Millisecond})
		f.publish(3)
		f.restore(f.store.Copy(), outage{absence: 300 * time.Millisecond})
		f.waitForRevision(3)
		f.publish(4)
		f.waitForRevision(4)
	})

	It("has the entries of the nodes again within two seconds", func() {
		// Guards against nodes that renew leases of the lost history, and are not found.
		f := newTestFleet()
		c := f.store.Copy()
		f.publish(1)
		for range 3 {
			f.add()
		}
		entries := func() []string { return f.store.Keys("banyancross/nodes/") }
		for _, h := range f.hosts {
			Eventually(h.sidecar.Settled).Should(BeTrue())
		}
		Eventually(entries).Should(HaveLen(3))
		for _, absence := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond} {
			f.restore(c, outage{absence: absence})
			Eventually(entries, entriesTime).Should(HaveLen(3))
			_, writes, _ := f.store.Calls()
			Consistently(func() uint64 {
				_, now, _ := f.store.Calls()
				return now - writes
			}, "1s").Should(BeNumerically("<=", 6))
		}
	})

	It("has the estimates again", func() {
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		a.sendHeartbeat("ready")
		f.waitUntilServedBy(a, "i-stock-1")
		c := f.store.Copy()
		stored := func() []byte { return f.store.Value("banyancross/findings/stock") }
		a.sidecar.SetEstimate("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		Eventually(stored).ShouldNot(BeEmpty())
		f.restore(c, outage{})
		Expect(stored()).To(BeEmpty())
		Eventually(stored, "5s").ShouldNot(BeEmpty())
	})

	It("has the crash counts again, and ends no block", func() {
		// Guards against a request that crashes upstreams again after a restore.
		f, entry := fleetAfterCrashes()
		last := f.unharmed()
		Eventually(blocksDeadly(entry)).Should(BeTrue())
		f.waitUntilStored()
		f.restore(standin.NewPlatform().Copy(), outage{absence: 300 * time.Millisecond})
		f.publish(1)
		Eventually(f.storedCrashes, "5s").ShouldNot(BeEmpty())
		f.waitUntilStored()
		for _, h := range f.hosts {
			Expect(blocksDeadly(h)()).To(BeTrue(), h.name)
		}
		f.killAll()
		last.sendHeartbeat("ready")
		f.waitUntilAvailable(entry, last)
		f.expectNoRun(entry, "last")
	})

	It("neither ends an evacuation that it lacks, nor begins one that has ended", func() {
		// Guards against calls to an evacuated failure domain until the operators write again.
		logs := &syncBuffer{w: &bytes.Buffer{}}
		f, _, _ := twoDomains()
		gossiping := f.addIn("z2", f.unwatchable(), sidecar.WithLogger(log.NewJSONLogger(logs)))
		Eventually(gossiping.sidecar.Settled).Should(BeTrue())
		f.store.Store("op/evacuate/z9", nil)
		f.waitForEvacuation("z9")
		c := f.store.Copy()
		f.store.Store(evacuationOfZ2, nil)
		f.store.Remove("op/evacuate/z9")
		f.waitForEvacuation("z2")
		before := len(logs.text())
		f.restore(c, outage{absence: 500 * time.Millisecond})
		expectZ2 := func(g Gomega) {
			for _, h := range f.hosts {
				g.Expect(h.sidecar.Evacuated()).To(ConsistOf("z2"), h.name)
			}
		}
		Consistently(expectZ2, "1500ms").Should(Succeed())
		f.store.Store(evacuationOfZ2, nil)
		f.store.Remove("op/evacuate/z9")
		Consistently(expectZ2, "1500ms").Should(Succeed())
		f.store.Remove(evacuationOfZ2)
		f.waitForEvacuation()
		Expect(logs.text()[before:]).NotTo(ContainSubstring("z9"))
	})

	It("is logged by each node", func() {
		logs := &syncBuffer{w: &bytes.Buffer{}}
		f := registeredFleet(2)
		f.add(f.unwatchable(), sidecar.WithLogger(log.NewJSONLogger(logs)))
		Eventually(f.hosts[2].sidecar.Settled).Should(BeTrue())
		f.restore(f.store.Copy(), outage{})
		Eventually(logs.text).Should(MatchRegexp(`"event":"store-restored",.*"previous":1,.*"timeline":2`))
	})
})
