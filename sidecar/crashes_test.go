package sidecar_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/sidecar"
	"github.com/banyancross/banyancross/standin"
)

const crashesKey = "banyancross/crashes"

// storedCrashes returns the stored crash counts, nil if there are none.
func (f *testFleet) storedCrashes() []byte { return f.store.Value(crashesKey) }

// waitUntilStored waits until the stored counts hold the three crashes of a blocked request. A
// node may block the request, or have stored it, before the last of them is stored.
func (f *testFleet) waitUntilStored() {
	GinkgoHelper()
	Eventually(func() (stored int) {
		var snapshot quarantine.Snapshot
		if value := f.storedCrashes(); value != nil {
			Expect(codec.Unmarshal(value, &snapshot)).To(Succeed())
		}
		for _, request := range snapshot.Requests {
			for _, count := range request.Counts {
				stored += int(count.Crashes)
			}
		}
		return stored
	}).Should(Equal(3))
}

// killAll kills all nodes at once, starts them again and waits until they are ready.
func (f *testFleet) killAll() {
	GinkgoHelper()
	for _, h := range f.hosts {
		h.sidecar.Kill()
	}
	for _, h := range f.hosts {
		h.start()
	}
	for _, h := range f.hosts {
		Eventually(h.sidecar.Ready).Should(BeTrue())
	}
}

// blocksDeadly returns whether a host's node blocks the request of fleetAfterCrashes.
func blocksDeadly(h *host) func() bool {
	return func() bool { return h.sidecar.Blocks("POST", "x", "/pay/deadly", "body") }
}

// expectNoRun sends the request of fleetAfterCrashes once more, which must be refused.
func (f *testFleet) expectNoRun(entry *host, id string) {
	GinkgoHelper()
	Expect(call(entry, http.MethodPost, "/pay/deadly", id).status).To(Equal(http.StatusServiceUnavailable))
	Expect(f.runs(id)).To(BeEmpty())
}

// movedClock is the system's clock, set forward by a duration.
type movedClock struct {
	clock.System
	ahead atomic.Int64
}

// Now returns the time.
func (c *movedClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.ahead.Load())) }

// impatientClock is the system's clock, whose waits of over 100 ms do not end while it is
// impatient.
type impatientClock struct {
	clock.System
	impatient atomic.Bool
}

// After returns a channel that receives the time after a wait.
func (c *impatientClock) After(d time.Duration) <-chan time.Time {
	if c.impatient.Load() && d > 100*time.Millisecond {
		return nil
	}
	return c.System.After(d)
}

// unharmed returns the host whose upstream fleetAfterCrashes has left.
func (f *testFleet) unharmed() *host {
	GinkgoHelper()
	for _, h := range f.hosts[1:] {
		if len(h.backend.Runs()) == 0 {
			return h
		}
	}
	Fail("all upstreams have crashed")
	return nil
}

var _ = Describe("crash counts", func() {
	It("block a request after all nodes were killed at once", func() {
		// Guards against a blocked request that crashes upstreams again once no node remembers it.
		f, entry := fleetAfterCrashes()
		Eventually(blocksDeadly(entry)).Should(BeTrue())
		f.waitUntilStored()
		last := f.unharmed()
		for range 2 {
			f.killAll()
			for _, h := range f.hosts {
				Expect(blocksDeadly(h)()).To(BeTrue(), h.name)
			}
			last.sendHeartbeat("ready")
			f.waitUntilAvailable(entry, last)
			f.expectNoRun(entry, "last")
		}
	})

	It("are those of one caller's service, whatever others get for the same request", func() {
		// Guards against a request that crashes upstreams without end, as callers of another
		// service get answers to the same method, path and body, and against their refusal.
		f := newTestFleet()
		f.publish(1)
		harmless := f.add()
		f.service = "shop"
		deadly := []*host{f.add(), f.add()}
		f.service = ""
		var upstreams []*host
		for range 4 {
			h := f.add()
			h.backend.SetCrashCaller("shop")
			h.sendHeartbeat("ready")
			upstreams = append(upstreams, h)
		}
		awaitAnswer := func() {
			GinkgoHelper()
			Eventually(func() int { return f.send(harmless, http.MethodPost, "/pay/deadly").status }).Should(Equal(http.StatusOK))
		}
		crashed := func(h *host) bool {
			return slices.ContainsFunc(h.backend.Runs(), func(r standin.Run) bool { return r.Caller == "shop" })
		}
		sound := func() []*host { return slices.DeleteFunc(slices.Clone(upstreams), crashed) }
		for i := range 3 {
			entry := deadly[i%2]
			awaitAnswer()
			for _, h := range sound() {
				f.waitUntilAvailable(entry, h)
			}
			Expect(call(entry, http.MethodPost, "/pay/deadly", fmt.Sprintf("d%d", i)).status).To(Equal(http.StatusBadGateway))
			Expect(sound()).To(HaveLen(3 - i))
			awaitAnswer()
		}
		blocked := func(h *host) func() bool {
			return func() bool { return h.sidecar.BlocksFrom("shop", "POST", "x", "/pay/deadly", "body") }
		}
		for _, h := range f.hosts {
			Eventually(blocked(h)).Should(BeTrue(), h.name)
		}
		f.waitUntilStored()
		awaitAnswer()
		f.killAll()
		for _, h := range sound() {
			h.sendHeartbeat("ready")
			f.waitUntilAvailable(deadly[0], h)
			f.waitUntilAvailable(deadly[1], h)
		}
		awaitAnswer()
		for _, h := range f.hosts {
			Expect(blocked(h)()).To(BeTrue(), h.name)
			Expect(h.sidecar.BlocksFrom("stock", "POST", "x", "/pay/deadly", "body")).To(BeFalse(), h.name)
		}
		f.expectNoRun(deadly[0], "last-0")
		f.expectNoRun(deadly[1], "last-1")
	})

	It("include the crashes before all nodes were killed at once", func() {
		// Guards against a request that crashes upstreams without end, as its count begins anew.
		f := newTestFleet()
		f.publish(1)
		entry := f.add()
		for i := range 3 {
			f.addCrashing(entry)
			before := f.storedCrashes()
			Expect(call(entry, http.MethodPost, "/pay/deadly", fmt.Sprintf("d%d", i)).status).To(Equal(http.StatusBadGateway))
			Eventually(f.storedCrashes).ShouldNot(Equal(before))
			f.killAll()
		}
		h := f.add()
		h.sendHeartbeat("ready")
		f.waitUntilAvailable(entry, h)
		f.expectNoRun(entry, "last")
	})

	It("are stored with no wait of over 100 ms", func() {
		// Guards against a request that crashes upstreams without end, as all nodes are killed soon
		// after each crash.
		f := newTestFleet()
		f.publish(1)
		entry := f.add()
		clock := &impatientClock{}
		h := f.add(sidecar.WithClock(clock))
		h.sendHeartbeat("ready")
		h.backend.InjectFaults(standin.FaultCrash)
		f.waitUntilAvailable(entry, h)
		clock.impatient.Store(true)
		Expect(call(entry, http.MethodPost, "/pay/deadly", "d").status).To(Equal(http.StatusBadGateway))
		Eventually(f.storedCrashes, "5s").ShouldNot(BeEmpty())
	})

	It("are stored once the store is back", func() {
		f := newTestFleet()
		f.publish(1)
		entry := f.add()
		for range 3 {
			f.addCrashing(entry)
		}
		f.store.SetDown(true)
		for i := range 3 {
			Expect(call(entry, http.MethodPost, "/pay/deadly", fmt.Sprintf("d%d", i)).status).To(Equal(http.StatusBadGateway))
		}
		Eventually(blocksDeadly(entry)).Should(BeTrue())
		Expect(f.storedCrashes()).To(BeEmpty())
		f.store.SetDown(false)
		f.waitUntilStored()
		f.killAll()
		Expect(blocksDeadly(entry)()).To(BeTrue())
	})

	It("are learned from another node while the store is down", func() {
		f, entry := fleetAfterCrashes()
		other := f.unharmed()
		Eventually(blocksDeadly(other)).Should(BeTrue())
		f.store.SetDown(true)
		entry.sidecar.Kill()
		entry.start()
		Eventually(entry.sidecar.Ready).Should(BeTrue())
		Expect(blocksDeadly(entry)()).To(BeTrue())
	})

	It("are as they were after an answer of the store is lost", func() {
		f, entry := fleetAfterCrashes()
		Eventually(blocksDeadly(entry)).Should(BeTrue())
		f.store.DropAnswers(2)
		f.killAll()
		f.expectNoRun(entry, "last")
	})

	It("are written a few times for several crashes, and not without any", func() {
		f, entry := fleetAfterCrashes()
		Eventually(blocksDeadly(entry)).Should(BeTrue())
		f.waitUntilStored()
		value := f.storedCrashes()
		for range 20 {
			f.expectNoRun(entry, "again")
		}
		Consistently(f.storedCrashes, "1s").Should(Equal(value))
	})

	It("admit a trial of a blocked request at one of many nodes at a time", func() {
		// Guards against a blocked request that crashes as many upstreams at once as there are
		// nodes, where it comes again after a long pause.
		f, entry := fleetAfterCrashes()
		f.waitUntilStored()
		clock := &movedClock{}
		for range 5 {
			f.add(sidecar.WithClock(clock))
		}
		later := f.hosts[len(f.hosts)-5:]
		for _, h := range later {
			Eventually(blocksDeadly(h)).Should(BeTrue())
			Expect(h.sidecar.StoreTrial("POST", "x", "/pay/deadly", "body")).To(BeFalse())
		}
		clock.ahead.Store(int64(10 * time.Minute))
		f.store.SetDown(true)
		Expect(later[0].sidecar.StoreTrial("POST", "x", "/pay/deadly", "body")).To(BeFalse())
		f.store.SetDown(false)
		admitted := make(chan bool, len(later))
		for _, h := range later {
			go func() { admitted <- h.sidecar.StoreTrial("POST", "x", "/pay/deadly", "body") }()
		}
		trials := 0
		for range later {
			if <-admitted {
				trials++
			}
		}
		Expect(trials).To(Equal(1))
		f.killAll()
		Expect(blocksDeadly(entry)()).To(BeTrue())
	})

	// Guards against a blocked request that crashes upstreams again, as another writer has
	// replaced the counts before all nodes end.
	DescribeTable("are stored again after another writer",
		func(write func(f *testFleet)) {
			f, entry := fleetAfterCrashes()
			f.waitUntilStored()
			clock := &movedClock{}
			reader := f.add(sidecar.WithClock(clock))
			Eventually(blocksDeadly(reader)).Should(BeTrue())
			Expect(reader.sidecar.ReadFleet()).To(Succeed())
			before := f.storedCrashes()
			write(f)
			clock.ahead.Store(int64(time.Minute))
			Expect(reader.sidecar.ReadFleet()).To(Succeed())
			Eventually(f.storedCrashes, "5s").Should(Equal(before))
			f.killAll()
			Expect(blocksDeadly(entry)()).To(BeTrue())
		},
		Entry("has removed them", func(f *testFleet) { f.store.Remove(crashesKey) }),
		Entry("has written what cannot be read", func(f *testFleet) { f.store.Store(crashesKey, []byte("{}")) }),
	)

	DescribeTable("are ignored where they cannot be read",
		func(value string) {
			f := newTestFleet()
			f.store.Store(crashesKey, []byte(value))
			f.publish(1)
			a := f.add()
			a.sendHeartbeat("ready")
			Eventually(a.sidecar.Ready).Should(BeTrue())
			f.waitUntilServedBy(a, "i-stock-1")
		},
		Entry("text", "{}"),
		Entry("an array", "\x83\x01\x02\x03"),
		Entry("nothing", ""),
	)
})
