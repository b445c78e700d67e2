package egress_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/standin"
)

func TestEgress(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "egress")
}

func table() *route.Table {
	t, err := route.NewTable(route.Definition{Revision: 1, Services: map[string]route.Service{"stock": {HealthPath: "/healthz"}}})
	Expect(err).NotTo(HaveOccurred())
	return t
}

func newGate() (*egress.Gate, *standin.Backend) {
	GinkgoHelper()
	backend, err := standin.NewBackend("i-1", "stock", "z1", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	t := table()
	gate := egress.NewGate(backend.Address(), func() *route.Table { return t })
	DeferCleanup(gate.Close)
	return gate, backend
}

func heartbeat(address, instance, state string, born, sequence int) platform.Heartbeat {
	GinkgoHelper()
	h, err := platform.DecodeHeartbeat(instance, fmt.Appendf(nil,
		`{"addr":%q,"born":%d,"info":{"service":"stock","slots":2},"status":{"state":%q,"seq":%d}}`, address, born, state, sequence))
	Expect(err).NotTo(HaveOccurred())
	return h
}

func phase(gate *egress.Gate) func() fleet.Phase {
	return func() fleet.Phase {
		var b fleet.Beacon
		gate.FillBeacon(&b)
		return b.Phase
	}
}

func meta(id string) hop.Meta {
	return hop.Meta{ID: id, Service: "stock", Upstream: "i-1", Remaining: 20 * time.Second, Idempotent: true, CallerService: "stock", EntryHost: "entry"}
}

func do(gate *egress.Gate, m hop.Meta) hop.AnswerMeta {
	header := http.Header{}
	header.Set("Request-Id", m.ID)
	answer := gate.Do(context.Background(), m, &egress.Call{Method: http.MethodGet, Target: "/x", Host: "x", Header: header})
	if answer.Response != nil {
		_, _, _ = answer.Response.Body.Buffer(1 << 20)
	}
	answer.Finish()
	return answer.Meta
}

func ready(gate *egress.Gate, backend *standin.Backend) {
	GinkgoHelper()
	Expect(gate.Heartbeat(heartbeat(backend.Address(), "i-1", "ready", 1000, 1))).To(BeTrue())
	Eventually(phase(gate)).Should(Equal(fleet.Ready))
}

var _ = Describe("a gate", func() {
	It("refuses what is meant for another upstream", func() {
		gate, backend := newGate()
		Expect(do(gate, meta("a")).Reason).To(Equal(call.ReasonNotReady))
		ready(gate, backend)
		other := meta("b")
		other.Upstream = "i-2"
		Expect(do(gate, other).Outcome).To(Equal(call.NotRun))
		other = meta("c")
		other.Service = "pay"
		Expect(do(gate, other).Outcome).To(Equal(call.NotRun))
		Expect(do(gate, meta("d")).Outcome).To(Equal(call.Answered))
		Expect(backend.Runs()).To(HaveLen(1))
	})

	It("keeps to a leaving, whatever heartbeats come afterwards", func() {
		gate, backend := newGate()
		ready(gate, backend)
		Expect(gate.Heartbeat(heartbeat(backend.Address(), "i-1", "draining", 1000, 5))).To(BeTrue())
		for _, sequence := range []int{1, 4, 5, 6, 70} {
			gate.Heartbeat(heartbeat(backend.Address(), "i-1", "ready", 1000, sequence))
			Expect(phase(gate)()).To(Equal(fleet.Draining))
		}
		// An older incarnation's heartbeat was held up on its way.
		gate.Heartbeat(heartbeat(backend.Address(), "i-0", "ready", 500, 9))
		Expect(do(gate, meta("a")).Reason).To(Equal(call.ReasonLeaving))
		Expect(backend.Runs()).To(BeEmpty())
	})

	It("takes the same identity for a new upstream when it was started later", func() {
		gate, backend := newGate()
		ready(gate, backend)
		gate.Leave("i-1", time.Time{})
		Expect(phase(gate)()).To(Equal(fleet.Draining))
		gate.Heartbeat(heartbeat(backend.Address(), "i-1", "ready", 2000, 1))
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
	})

	It("does not know another address", func() {
		gate, _ := newGate()
		Expect(gate.Heartbeat(heartbeat("10.0.0.9:1", "i-1", "ready", 1000, 1))).To(BeFalse())
	})

	It("stops sending to an address that another upstream has", func() {
		gate, backend := newGate()
		Expect(gate.Heartbeat(heartbeat(backend.Address(), "i-old", "ready", 1000, 1))).To(BeTrue())
		for sequence := 2; sequence < 4; sequence++ {
			gate.Heartbeat(heartbeat(backend.Address(), "i-old", "ready", 1000, sequence))
		}
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		old := meta("a")
		old.Upstream = "i-old"
		answer := do(gate, old)
		Expect(answer.Outcome).To(Equal(call.NotRun))
		Expect(answer.Reason).To(Equal(call.ReasonRejected))
		Expect(phase(gate)()).To(Equal(fleet.Absent))
		Expect(backend.Runs()).To(BeEmpty())
	})

	It("lets a call wait as long as it is patient, and no more run than there are slots", func() {
		gate, backend := newGate()
		ready(gate, backend)
		release := backend.Hold()
		running := make(chan hop.AnswerMeta, 2)
		for i := range 2 {
			go func() { running <- do(gate, meta(fmt.Sprintf("held-%d", i))) }()
		}
		Eventually(func() int { return len(backend.Runs()) }).Should(Equal(2))
		Expect(do(gate, meta("impatient")).Reason).To(Equal(call.ReasonOverload))
		patient := meta("patient")
		patient.MaxWait = 10 * time.Second
		waiting := make(chan hop.AnswerMeta, 1)
		go func() { waiting <- do(gate, patient) }()
		Eventually(func() uint32 { return gate.Load().Waiting }).Should(Equal(uint32(1)))
		release()
		Expect((<-waiting).Outcome).To(Equal(call.Answered))
		for range 2 {
			Expect((<-running).Outcome).To(Equal(call.Answered))
		}
	})

	It("refuses a selective call while its host is slower than others", func() {
		gate, backend := newGate()
		ready(gate, backend)
		backend.SetSlowdown(500)
		Expect(do(gate, meta("first")).Outcome).To(Equal(call.Answered), "it brings the report")
		selective := meta("selective")
		selective.Declinable = true
		Expect(do(gate, selective).Reason).To(Equal(call.ReasonSlowed))
		selective.MinSlowdown = 5
		Expect(do(gate, selective).Outcome).To(Equal(call.Answered), "all are slow")
	})

	It("counts as failing when most answers are failures, and is tried now and then", func() {
		gate, backend := newGate()
		ready(gate, backend)
		for i := range 6 {
			backend.Fail(standin.FaultNoise)
			Expect(do(gate, meta(fmt.Sprintf("bad-%d", i))).Outcome).To(Equal(call.Unknown))
		}
		Expect(gate.Load().Failing).To(BeTrue())
		selective := meta("selective")
		selective.Declinable = true
		refused, answered := 0, 0
		for range 16 {
			switch do(gate, selective).Outcome {
			case call.NotRun:
				refused++
			case call.Answered:
				answered++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(answered).To(BeNumerically(">", 0))
	})

	It("finds the run that makes a call", func() {
		gate, backend := newGate()
		ready(gate, backend)
		release := backend.Hold()
		done := make(chan hop.AnswerMeta, 1)
		parent := meta("parent")
		parent.Depth, parent.Repeated = 1, true
		go func() { done <- do(gate, parent) }()
		Eventually(func() bool { _, ok := gate.RecordNestedCall("parent"); return ok }).Should(BeTrue())
		run, _ := gate.RecordNestedCall("parent")
		Expect(run.Depth).To(Equal(1))
		Expect(run.Repeated).To(BeTrue())
		_, ok := gate.RecordNestedCall("stranger")
		Expect(ok).To(BeFalse())
		release()
		<-done
		_, ok = gate.RecordNestedCall("parent")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("what a gate has learned", func() {
	It("counts a run once, however often its answer is finished", func() {
		gate, backend := newGate()
		ready(gate, backend)
		m := meta("a")
		m.Route = "r"
		header := http.Header{}
		header.Set("Request-Id", m.ID)
		answer := gate.Do(context.Background(), m, &egress.Call{Method: http.MethodGet, Target: "/x", Host: "x", Header: header})
		_, _, err := answer.Response.Body.Buffer(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		answer.Finish()
		answer.Finish()
		Expect(gate.TimedRuns("r")).To(Equal(1))
	})

	It("outlives the process when it is recalled, for the same service only", func() {
		gate, backend := newGate()
		gate.RestoreEstimate("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		ready(gate, backend)
		Expect(gate.Load().Limit).To(Equal(uint32(1)), "of two slots")

		gate, backend = newGate()
		gate.RestoreEstimate("pay", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		ready(gate, backend)
		Expect(gate.Load().Limit).To(Equal(uint32(2)))
	})

	It("is recalled also after the upstream has appeared", func() {
		gate, backend := newGate()
		ready(gate, backend)
		Expect(gate.Load().Limit).To(Equal(uint32(2)))
		gate.RestoreEstimate("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		Expect(gate.Load().Limit).To(Equal(uint32(1)))
	})

	It("passes to the next upstream of the service", func() {
		gate, backend := newGate()
		gate.RestoreEstimate("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 200})
		ready(gate, backend)
		gate.Leave("i-1", time.Time{})
		gate.Heartbeat(heartbeat(backend.Address(), "i-1", "ready", 2000, 1))
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		Expect(gate.Load().Limit).To(Equal(uint32(1)))
	})
})
