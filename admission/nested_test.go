package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
)

var _ = Describe("a gate with a knee", func() {
	It("runs no more than its share of the slots", func() {
		gate := admission.NewGate(10, admission.WithMaxUtilization(0.8))
		for range 8 {
			Expect(admit(gate, request(0)).Ready()).To(BeClosed())
		}
		Expect(admit(gate, request(0)).Ready()).NotTo(BeClosed())
		gate.SetMaxUtilization(1)
		Expect(gate.Load(now).Limit).To(Equal(uint32(10)))
	})

	It("keeps part of it for nested calls when there are such", func() {
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
		Expect(first.Ready()).NotTo(BeClosed(), "it queues, in front")
	})

	It("grants the more urgent of two calls first", func() {
		gate := admission.NewGate(2)
		running := admit(gate, request(0))
		admit(gate, request(0))
		low, high := request(0), request(0)
		low.Priority, high.Priority = 2, 1
		waitsLonger, waits := admit(gate, low), admit(gate, high)
		running.End(now, false)
		Expect(waits.Ready()).To(BeClosed())
		Expect(waitsLonger.Ready()).NotTo(BeClosed())
	})

	It("judges a deadline by the call's own run time", func() {
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
