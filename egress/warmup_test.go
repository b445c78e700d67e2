package egress_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/standin"
)

const (
	warmupRate    = 10
	warmupOverage = 1.5
	warmupSlack   = 8
	// coldBound is how many requests a cold upstream may get in any second.
	coldBound = int(warmupRate*warmupOverage + warmupSlack)
)

// newWarmupGate starts a gate of a service whose cold upstreams tolerate rate.
func newWarmupGate(backend *standin.Backend, rate float64) *egress.Gate {
	GinkgoHelper()
	t, err := route.NewTable(route.Definition{Revision: 1, Services: map[string]route.Service{"stock": {HealthPath: "/healthz", WarmupRate: rate}}})
	Expect(err).NotTo(HaveOccurred())
	gate := egress.NewGate(backend.Address(), func() *route.Table { return t },
		egress.WithWarmupBounds(func() (float64, float64) { return warmupOverage, warmupSlack }))
	DeferCleanup(gate.Close)
	return gate
}

func newBackend() *standin.Backend {
	GinkgoHelper()
	backend, err := standin.NewBackend("i-1", "stock", "z1", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	return backend
}

// coldHeartbeat is a heartbeat of an upstream with 20 slots that stays cold for left.
func coldHeartbeat(address string, sequence int, left time.Duration) platform.Heartbeat {
	GinkgoHelper()
	h, err := platform.DecodeHeartbeat("i-1", fmt.Appendf(nil,
		`{"addr":%q,"born":1000,"info":{"service":"stock","version":"v1","zone":"z1","slots":20},`+
			`"status":{"state":"ready","seq":%d,"cold_left_ms":%d}}`,
		address, sequence, left.Milliseconds()))
	Expect(err).NotTo(HaveOccurred())
	return h
}

// readyWarm registers the backend and waits until the gate knows it as warm, and no longer
// presumes requests of an earlier process.
func readyWarm(gate *egress.Gate, backend *standin.Backend) {
	GinkgoHelper()
	gate.Heartbeat(coldHeartbeat(backend.Address(), 1, 0))
	Eventually(func() int { room, _ := gate.WarmupRoom(); return room }).Should(BeNumerically(">", int(warmupRate*warmupOverage)))
}

// herd sends calls from 20 callers, each in a loop, for a time, and returns the answers.
func herd(gate func() *egress.Gate, duration, maxWait time.Duration) map[call.Reason]int {
	var mu sync.Mutex
	reasons := map[call.Reason]int{}
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for caller := range 20 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				m := meta(fmt.Sprintf("%p-%d-%d", &mu, caller, i))
				m.MaxWait = maxWait
				answer := do(gate(), m)
				mu.Lock()
				reasons[answer.Reason]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return reasons
}

// largestSecond returns the largest number of requests that the backend got in a second
// from a time on.
func largestSecond(backend *standin.Backend, from time.Time) int {
	var times []time.Time
	for _, arrival := range backend.Arrivals() {
		if !arrival.At.Before(from) {
			times = append(times, arrival.At)
		}
	}
	largest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

var _ = Describe("the gate of a cold upstream", func() {
	It("sends no more than the upstream tolerates in any second, and counts no rejected call", func() {
		backend := newBackend()
		backend.SetWarmup(time.Hour)
		gate := newWarmupGate(backend, warmupRate)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, time.Hour))
		Eventually(func() int { room, _ := gate.WarmupRoom(); return room }).Should(Equal(int(warmupRate * warmupOverage)))
		began := time.Now()
		reasons := herd(func() *egress.Gate { return gate }, 2500*time.Millisecond, 0)
		Expect(largestSecond(backend, began)).To(BeNumerically("<=", coldBound))
		Expect(reasons[""]).To(BeNumerically(">=", 2*int(warmupRate*warmupOverage)))
		Expect(reasons[call.ReasonWarming]).To(BeNumerically(">", 100))
		load := gate.Load()
		Expect(load.Cold).To(BeTrue())
		Expect(load.Limit).To(Equal(uint32(1)), "a call takes a few milliseconds")
	})

	It("notices a warm upstream that turns cold in the middle of a herd", func() {
		backend := newBackend()
		backend.SetServiceTime(100 * time.Millisecond)
		gate := newWarmupGate(backend, warmupRate)
		readyWarm(gate, backend)
		var turned time.Time
		timer := time.AfterFunc(time.Second, func() {
			turned = time.Now()
			backend.SetWarmup(time.Hour)
		})
		defer timer.Stop()
		herd(func() *egress.Gate { return gate }, 3*time.Second, 0)
		Expect(len(backend.Arrivals())).To(BeNumerically(">", 60), "it was not limited while it was warm")
		Expect(largestSecond(backend, turned)).To(BeNumerically("<=", coldBound))
		Expect(gate.Load().Cold).To(BeTrue())
	})

	It("keeps the bound when the node restarts", func() {
		backend := newBackend()
		backend.SetWarmup(time.Hour)
		var mu sync.Mutex
		gate := newWarmupGate(backend, warmupRate)
		current := func() *egress.Gate { mu.Lock(); defer mu.Unlock(); return gate }
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, time.Hour))
		restarted := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(restarted)
			time.Sleep(1500 * time.Millisecond)
			next := newWarmupGate(backend, warmupRate)
			next.Heartbeat(coldHeartbeat(backend.Address(), 2, time.Hour))
			mu.Lock()
			gate = next
			mu.Unlock()
		}()
		herd(current, 4*time.Second, 0)
		<-restarted
		Expect(largestSecond(backend, time.Time{})).To(BeNumerically("<=", coldBound))
		Expect(len(backend.Arrivals())).To(BeNumerically(">", int(warmupRate*warmupOverage)))
	})

	It("sends as much as before once the upstream is warm", func() {
		backend := newBackend()
		backend.SetWarmup(1500 * time.Millisecond)
		gate := newWarmupGate(backend, warmupRate)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, 1500*time.Millisecond))
		reasons := herd(func() *egress.Gate { return gate }, 4*time.Second, 200*time.Millisecond)
		Expect(reasons[""]).To(BeNumerically(">", 200))
		Expect(gate.Load().Cold).To(BeFalse())
	})

	It("lets a call wait for its place, and not in vain", func() {
		backend := newBackend()
		backend.SetWarmup(time.Hour)
		gate := newWarmupGate(backend, warmupRate)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, time.Hour))
		Eventually(func() int { room, _ := gate.WarmupRoom(); return room }).Should(Equal(int(warmupRate * warmupOverage)))
		for i := range int(warmupRate * warmupOverage) {
			Expect(do(gate, meta(fmt.Sprintf("first-%d", i))).Outcome).To(Equal(call.Answered))
		}
		m := meta("impatient")
		m.MaxWait = 200 * time.Millisecond
		began := time.Now()
		Expect(do(gate, m).Reason).To(Equal(call.ReasonWarming))
		Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
		m = meta("patient")
		m.MaxWait = 3 * time.Second
		Expect(do(gate, m).Outcome).To(Equal(call.Answered))
		Expect(gate.Load().ServiceTime).To(BeNumerically("<", 100*time.Millisecond), "the wait is no run time")
	})

	It("reports nested calls that it has no room for as excess, and no others", func() {
		backend := newBackend()
		backend.SetWarmup(time.Hour)
		gate := newWarmupGate(backend, warmupRate)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, time.Hour))
		Eventually(func() int { room, _ := gate.WarmupRoom(); return room }).Should(Equal(int(warmupRate * warmupOverage)))
		for i := range int(warmupRate * warmupOverage) {
			Expect(do(gate, meta(fmt.Sprintf("first-%d", i))).Outcome).To(Equal(call.Answered))
		}
		lost := 0
		lose := func(depth int, maxWait time.Duration) {
			lost++
			m := meta(fmt.Sprintf("lost-%d", lost))
			m.Depth, m.MaxWait = depth, maxWait
			Expect(do(gate, m).Reason).To(Equal(call.ReasonWarming))
		}
		for range 3 {
			lose(0, 20*time.Millisecond)
			lose(1, 0)
		}
		time.Sleep(150 * time.Millisecond)
		Expect(gate.Load().NestedExcess).To(BeZero())
		Eventually(func() float32 {
			lose(1, 20*time.Millisecond)
			return gate.Load().NestedExcess
		}).WithTimeout(600 * time.Millisecond).WithPolling(20 * time.Millisecond).Should(BeNumerically(">", 0.2))
	})

	It("gives back the place of a call that another upstream refused, or that was not sent", func() {
		backend := newBackend()
		backend.SetWarmup(time.Hour)
		gate := newWarmupGate(backend, warmupRate)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, time.Hour))
		Eventually(func() int { room, _ := gate.WarmupRoom(); return room }).Should(Equal(int(warmupRate * warmupOverage)))
		backend.Close()
		Expect(do(gate, meta("a")).Outcome).To(Equal(call.NotRun))
		room, _ := gate.WarmupRoom()
		Expect(room).To(Equal(int(warmupRate * warmupOverage)))
	})

	It("believes reports of an upstream whose status check fails, and takes a missing one for warm only if it never says warm", func() {
		backend := newBackend()
		backend.SetWarmup(standin.NoWarmupReport)
		gate := newWarmupGate(backend, warmupRate)
		readyWarm(gate, backend)
		room := func() int { room, _ := gate.WarmupRoom(); return room }
		fill := func(name string) {
			for i := 0; room() > 3; i++ {
				do(gate, meta(fmt.Sprintf("%s-%d", name, i)))
			}
		}
		fill("a")
		Eventually(room).WithTimeout(900*time.Millisecond).Should(BeNumerically(">", 10), "the answers to probes say nothing, so it is warm")
		backend.SetWarmup(0)
		fill("b")
		Eventually(room).WithTimeout(900 * time.Millisecond).Should(BeNumerically(">", 10))
		backend.SetWarmup(standin.NoWarmupReport)
		time.Sleep(1200 * time.Millisecond)
		fill("c")
		Consistently(room).WithTimeout(300*time.Millisecond).Should(BeNumerically("<=", 3), "now nobody knows")
		backend.SetHealthy(false)
		backend.SetWarmup(time.Hour)
		do(gate, meta("d"))
		Eventually(func() bool { return gate.Load().Cold }).WithTimeout(900 * time.Millisecond).Should(BeTrue())
	})

	It("costs a service without a warmup rate nothing", func() {
		backend := newBackend()
		backend.SetWarmup(time.Hour)
		gate := newWarmupGate(backend, 0)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, time.Hour))
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		for i := range 100 {
			Expect(do(gate, meta(fmt.Sprintf("c-%d", i))).Outcome).To(Equal(call.Answered))
		}
		Expect(gate.Load().Cold).To(BeFalse())
		_, limited := gate.WarmupRoom()
		Expect(limited).To(BeFalse())
	})
})

// The pattern: a service is full, and few of its upstreams have a warmup to speak of.
var _ = Describe("the gate of a full upstream that is warm", func() {
	It("declines a call as full, not as cold, while there is room for its rate", func() {
		const rate = 5
		backend := newBackend()
		gate := newWarmupGate(backend, rate)
		gate.Heartbeat(coldHeartbeat(backend.Address(), 1, 0))
		room := func() int { room, _ := gate.WarmupRoom(); return room }
		const full = 13 // rate x overage and three quarters of the slack
		Eventually(room).Should(Equal(full))
		release := backend.Hold()
		var wg sync.WaitGroup
		DeferCleanup(wg.Wait)
		DeferCleanup(release)
		// 20 slots, and a queue that is longer than the room for sends.
		for i := range 20 + full + 2 {
			wg.Go(func() {
				m := meta(fmt.Sprintf("held-%d", i))
				m.MaxWait = 10 * time.Second
				do(gate, m)
			})
		}
		Eventually(func() uint32 { return gate.Load().Waiting }).Should(BeNumerically(">=", full))
		Eventually(room).Should(Equal(full))
		Expect(gate.Load().Cold).To(BeFalse())
		Expect(do(gate, meta("declinable")).Reason).To(Equal(call.ReasonOverload))
	})
})
