package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var now = time.UnixMilli(1_800_000_000_000)

func request(depth int) admission.Request {
	return admission.Request{Deadline: now.Add(time.Minute), Depth: depth}
}

func admit(gate *admission.Gate, r admission.Request) *admission.Pass {
	GinkgoHelper()
	pass, refusal := gate.Admit(now, r)
	Expect(refusal).To(BeNil())
	return pass
}

// round runs the given number of calls at once, each for the service time, and
// returns the time at which they end.
func round(gate *admission.Gate, calls uint32, at time.Time, service time.Duration) time.Time {
	GinkgoHelper()
	var passes []*admission.Pass
	for range calls {
		pass, refusal := gate.Admit(at, admission.Request{Deadline: at.Add(time.Hour)})
		Expect(refusal).To(BeNil())
		passes = append(passes, pass)
	}
	at = at.Add(service)
	for _, pass := range passes {
		pass.End(at, true)
	}
	return at
}

var _ = Describe("a gate", func() {
	It("runs as many calls as there are slots and queues the rest", func() {
		gate := admission.NewGate(2)
		first, second, third := admit(gate, request(0)), admit(gate, request(0)), admit(gate, request(0))
		Expect(first.Ready()).To(BeClosed())
		Expect(second.Ready()).To(BeClosed())
		Expect(third.Ready()).NotTo(BeClosed())
		first.End(now, true)
		Expect(third.Ready()).To(BeClosed())
		Expect(third.Refusal()).To(BeNil())
	})

	It("sheds the shallowest call when the queue is full", func() {
		gate := admission.NewGate(1)
		running := admit(gate, request(0))
		shallow := admit(gate, request(0))
		deep := admit(gate, request(5))
		Expect(shallow.Ready()).To(BeClosed())
		Expect(shallow.Refusal().Reason()).To(Equal(call.ReasonOverload))
		_, refusal := gate.Admit(now, request(1))
		Expect(refusal.Reason()).To(Equal(call.ReasonOverload))
		Expect(refusal.Outcome()).To(Equal(call.NotRun))
		running.End(now, true)
		Expect(deep.Refusal()).To(BeNil())
	})

	It("rejects a call that would miss its deadline", func() {
		gate := admission.NewGate(1)
		admit(gate, request(0)).End(now.Add(100*time.Millisecond), true)
		admit(gate, request(0))
		_, refusal := gate.Admit(now, admission.Request{Deadline: now.Add(150 * time.Millisecond)})
		Expect(refusal.Reason()).To(Equal(call.ReasonDeadline))
	})

	It("raises its limit linearly during a cold start", func() {
		gate := admission.NewGate(16, admission.WithColdStart(now, time.Second))
		Expect(gate.Load(now).Limit).To(Equal(uint32(4)))
		Expect(gate.Load(now.Add(500 * time.Millisecond)).Limit).To(Equal(uint32(10)))
		Expect(gate.Load(now.Add(time.Second)).Limit).To(Equal(uint32(16)))
	})

	It("lowers its limit for a slow upstream to no less than a quarter, and raises it again", func() {
		gate := admission.NewGate(16)
		at := now
		run := func(service time.Duration) {
			at = round(gate, gate.Load(at).Limit, at, service)
		}
		for range 20 {
			run(10 * time.Millisecond)
		}
		Expect(gate.Load(at).Limit).To(Equal(uint32(16)))
		for range 20 {
			run(200 * time.Millisecond)
		}
		Expect(gate.Load(at).Limit).To(BeNumerically("<", 10))
		Expect(gate.Load(at).Limit).To(BeNumerically(">=", 4))
		for range 100 {
			run(10 * time.Millisecond)
		}
		Expect(gate.Load(at).Limit).To(Equal(uint32(16)))
	})

	It("keeps its limit when service times vary by less than a millisecond", func() {
		gate := admission.NewGate(16)
		at := now
		for i := range 200 {
			service := 100 * time.Microsecond
			if i >= 100 {
				service = time.Millisecond
			}
			at = round(gate, 16, at, service)
		}
		Expect(gate.Load(at).Limit).To(Equal(uint32(16)))
	})

	It("runs an exclusive call alone", func() {
		gate := admission.NewGate(4)
		first := admit(gate, request(0))
		alone := admit(gate, admission.Request{Deadline: now.Add(time.Minute), Exclusive: true})
		after := admit(gate, request(0))
		Expect(alone.Ready()).NotTo(BeClosed())
		first.End(now, true)
		Expect(alone.Ready()).To(BeClosed())
		Expect(after.Ready()).NotTo(BeClosed())
		alone.End(now, true)
		Expect(after.Ready()).To(BeClosed())
	})

	It("is drained when the last call has ended", func() {
		gate := admission.NewGate(1)
		running, waiting := admit(gate, request(0)), admit(gate, request(0))
		idle := gate.Drain(now)
		Expect(waiting.Refusal().Reason()).To(Equal(call.ReasonLeaving))
		Expect(idle).NotTo(BeClosed())
		running.End(now, true)
		Expect(idle).To(BeClosed())
	})
})

// Property: for any sequence of admissions, ends and abandoned passes, at most
// as many calls run as there are slots, and none is left running or queued.
func TestGateKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		gate := admission.NewGate(slots)
		at := now
		var open []*admission.Pass
		granted := func(p *admission.Pass) bool {
			select {
			case <-p.Ready():
				return p.Refusal() == nil
			default:
				return false
			}
		}
		drop := func(i int) { open = append(open[:i], open[i+1:]...) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				running := 0
				for _, p := range open {
					if granted(p) {
						running++
					}
				}
				if running > slots {
					t.Fatalf("%d calls run in %d slots", running, slots)
				}
			},
			"admit": func(t *rapid.T) {
				pass, refusal := gate.Admit(at, admission.Request{
					Deadline:  at.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond),
					Depth:     rapid.IntRange(0, 3).Draw(t, "depth"),
					Exclusive: rapid.IntRange(0, 9).Draw(t, "alone") == 0,
					Immediate: rapid.IntRange(0, 3).Draw(t, "immediate") == 0,
					MaxWait:   time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond,
					Objective: at.Add(time.Duration(rapid.IntRange(-100, 200).Draw(t, "objective")) * time.Millisecond),

					Organisation: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation"),
				})
				if refusal == nil {
					open = append(open, pass)
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "pass")
				if !granted(open[i]) && open[i].Abandon() {
					t.Fatal("an abandoned pass was granted")
				}
				open[i].End(at, true)
				drop(i)
			},
			"wait": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for len(open) > 0 {
			if granted(open[0]) {
				open[0].End(at, false)
			} else {
				open[0].Abandon()
			}
			drop(0)
		}
		if load := gate.Load(at); load.Running != 0 || load.Waiting != 0 {
			t.Fatalf("calls left after the last pass ended: %+v", load)
		}
	})
}
