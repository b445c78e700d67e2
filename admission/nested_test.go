package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
)

var _ = Describe("a gate with a maximum utilization", func() {
	It("runs calls in no more than that share of the slots", func() {
		gate := admission.NewGate(10, admission.WithMaxUtilization(0.8))
		for range 8 {
			Expect(admit(gate, request(0)).Ready()).To(BeClosed())
		}
		Expect(admit(gate, request(0)).Ready()).NotTo(BeClosed())
		gate.SetMaxUtilization(1)
		Expect(gate.Load(now).Limit).To(Equal(uint32(10)))
	})

	It("reserves part of its limit for nested calls when they are frequent", func() {
		gate := admission.NewGate(10, admission.WithMaxUtilization(0.8))
		for range 40 {
			admit(gate, request(1)).End(now, false)
		}
		for range 6 {
			Expect(admit(gate, request(0)).Ready()).To(BeClosed())
		}
		Expect(admit(gate, request(0)).Ready()).NotTo(BeClosed())
		Expect(gate.Load(now).Waiting).To(Equal(uint32(1)))
		first := admit(gate, request(1))
		Expect(first.Ready()).NotTo(BeClosed(), "the nested call waits at the head of the queue")
	})

	It("grants the more urgent of two calls first", func() {
		gate := admission.NewGate(2)
		running := admit(gate, request(0))
		admit(gate, request(0))
		low, high := request(0), request(0)
		low.Priority, high.Priority = 2, 1
		lowPass, highPass := admit(gate, low), admit(gate, high)
		running.End(now, false)
		Expect(highPass.Ready()).To(BeClosed())
		Expect(lowPass.Ready()).NotTo(BeClosed())
	})

	It("compares a deadline with the call's own expected service time", func() {
		gate := admission.NewGate(1, admission.WithMaxUtilization(1))
		at := round(gate, 1, now, 300*time.Millisecond)
		_, refusal := gate.Admit(at, admission.Request{Deadline: at.Add(time.Hour)})
		Expect(refusal).To(BeNil())
		short := admission.Request{Deadline: at.Add(350 * time.Millisecond), Expected: 20 * time.Millisecond, Depth: 1}
		_, refusal = gate.Admit(at, short)
		Expect(refusal).To(BeNil())
		short.Expected = 0
		_, refusal = gate.Admit(at, short)
		Expect(refusal.Reason()).To(Equal(call.ReasonDeadline))
	})
})
