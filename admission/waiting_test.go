package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
)

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns factor times a rate within a span of the demand.
func between(from, to time.Duration, rate, factor float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since >= from && since < to {
			return factor * rate
		}
		return rate
	}
}

// chainReplay plays catalogue, whose runs each send two calls to studio together and hold
// their slots until both have ended. From 2 s to 6 s, lookups come 1.6 times as often and
// studio has half of its servers: room for 0.73 of the nested calls.
func chainReplay() *replay { return chain(0, true, 0) }

// ordersReplay plays the chain with entry nodes beside orders that need catalogue only.
// Without trouble, all servers stay and demand is constant.
func ordersReplay(entries int, trouble bool) *replay { return chain(entries, trouble, 120) }

func chain(entries int, trouble bool, orders float64) *replay {
	const end = 9 * time.Second
	r := newReplay(2)
	r.addGates("catalogue", 14+int(orders)/60)
	r.addGates("studio", 6)
	r.addEntries(entries, end)
	burst := 1.0
	if trouble {
		burst = 1.6
	}
	r.offer(&kind{
		name: "item-lookup", service: "catalogue", rate: between(2*time.Second, 6*time.Second, 250, burst), work: 100 * time.Millisecond,
		objective: 400 * time.Millisecond, timeout: 1500 * time.Millisecond, priority: 1, nested: "studio", nestedWork: 26 * time.Millisecond, retries: 1,
	}, end)
	r.offer(&kind{
		name: "payout-release", service: "studio", rate: constant(45), work: 83 * time.Millisecond, objective: 250 * time.Millisecond,
		timeout: 1200 * time.Millisecond, priority: 0, retries: 1,
	}, end)
	r.offer(&kind{
		name: "photo-upload", service: "studio", rate: constant(45), work: 120 * time.Millisecond, objective: 1200 * time.Millisecond,
		timeout: 2000 * time.Millisecond, priority: 2, retries: 1,
	}, end)
	if orders > 0 {
		r.offer(&kind{
			name: "order-place", service: "catalogue", rate: constant(orders), work: 130 * time.Millisecond, objective: 400 * time.Millisecond,
			timeout: 2000 * time.Millisecond, priority: 1, retries: 1,
		}, end)
	}
	for _, g := range r.gates["studio"][:3] {
		if !trouble {
			break
		}
		r.after(2*time.Second, func() { g.gone = true })
		r.after(6*time.Second, func() { g.gone = false })
	}
	r.run()
	return r
}

// burstReplay plays 8 servers of 6 slots at 0.7 of their capacity. From 2 s to 6 s, callers
// ask for 1.5 times the capacity; they come back twice after a rejection.
func burstReplay(ordered, atOnce bool) *replay {
	const end = 10 * time.Second
	r := newReplay(3)
	r.ignoreObjectives = !ordered
	r.addGates("claims", 8)
	r.offer(&kind{
		name: "claim-status", service: "claims", rate: between(2*time.Second, 6*time.Second, 290, 1.5/0.7), work: 100 * time.Millisecond,
		objective: 500 * time.Millisecond, timeout: 3 * time.Second, retries: 2, atOnce: atOnce,
	}, end)
	r.run()
	return r
}

func (r *replay) describe() {
	GinkgoWriter.Printf("wasted %.3f of %.0f s, worst %.3f\n", r.wasted.Seconds()/r.work.Seconds(), r.work.Seconds(), r.worst())
	for name, t := range r.byKind {
		GinkgoWriter.Printf("  %s %.3f %+v, mean wait before a rejection %s\n", name, t.share(), *t, t.wait/time.Duration(max(t.rejected, 1)))
	}
	for i := range len(r.bySecond) {
		GinkgoWriter.Printf("  %d s %.3f %+v\n", i, r.bySecond[i].share(), *r.bySecond[i])
	}
}

var _ = Describe("waiting", func() {
	It("loses no more runs to nested calls than there is no room for", func() {
		r := chainReplay()
		r.describe()
		const askedInTrouble, room = 4 * 1.6 * 250, 0.73
		Expect(r.byKind["item-lookup"].failed).To(BeNumerically("<", (1-room)*askedInTrouble))
		Expect(r.within(7, 9).share()).To(BeNumerically(">", 0.9*0.97))
	})

	DescribeTable("serves nine tenths of what there is room for in time while callers come back, and all a second later",
		func(atOnce bool) {
			r := burstReplay(true, atOnce)
			r.describe()
			// With 3 % of the runs seven times as long, a run takes 118 ms on average.
			const room = 48 / 0.118 / (290 * 1.5 / 0.7)
			Expect(r.worst()).To(BeNumerically(">", 0.9*room))
			// All but the long runs.
			Expect(r.within(7, 9).share()).To(BeNumerically(">", 0.9*0.97))
		},
		Entry("as told", false), Entry("at once", true),
	)

	It("serves fewer by deadline alone, because those that come back are first and late", func() {
		inTime, byDeadline := burstReplay(true, false), burstReplay(false, false)
		byDeadline.describe()
		Expect(inTime.worst()).To(BeNumerically(">", 1.5*byDeadline.worst()))
	})

	It("grants a call that can be in time before one that cannot, and that one when there is room", func() {
		gate := admission.NewGate(2)
		running := admit(gate, admission.Request{Deadline: now.Add(time.Minute), Exclusive: true})
		waiting := map[*admission.Pass]string{}
		for name, left := range map[string]time.Duration{"late": 5 * time.Millisecond, "in time": 50 * time.Millisecond} {
			r := admission.Request{Deadline: now.Add(2 * time.Second), Objective: now.Add(left), Expected: 10 * time.Millisecond, Exclusive: true}
			if name == "late" {
				r.Deadline = now.Add(time.Second)
			}
			waiting[admit(gate, r)] = name
		}
		Expect(grantOrder(running, waiting)).To(Equal([]string{"in time", "late"}))
	})

	It("keeps late nested calls and late calls of higher priority first", func() {
		gate := admission.NewGate(3)
		running := admit(gate, admission.Request{Deadline: now.Add(time.Minute), Exclusive: true})
		waiting := map[*admission.Pass]string{}
		add := func(name string, depth, priority int, left time.Duration) {
			r := admission.Request{Deadline: now.Add(time.Second), Objective: now.Add(left), Depth: depth, Priority: priority, Expected: 10 * time.Millisecond, Exclusive: true}
			waiting[admit(gate, r)] = name
		}
		add("in time", 0, 1, 50*time.Millisecond)
		add("urgent", 0, 0, 5*time.Millisecond)
		add("nested", 1, 1, 5*time.Millisecond)
		Expect(grantOrder(running, waiting)).To(Equal([]string{"nested", "urgent", "in time"}))
	})

	It("sheds no queued call for one that would not wait", func() {
		gate := admission.NewGate(1)
		admit(gate, request(0))
		queued := admit(gate, request(0))
		urgent := request(0)
		urgent.Deadline, urgent.Immediate = now.Add(time.Second), true
		_, refusal := gate.Admit(now, urgent)
		Expect(refusal.Reason()).To(Equal(call.ReasonOverload))
		Expect(queued.Ready()).NotTo(BeClosed())
	})

	It("rejects a call at once whose turn comes long after its longest wait", func() {
		gate := admission.NewGate(2, admission.WithMaxUtilization(1))
		at := round(gate, 2, now, 100*time.Millisecond)
		for range 3 {
			_, refusal := gate.Admit(at, admission.Request{Deadline: at.Add(time.Minute)})
			Expect(refusal).To(BeNil())
		}
		_, refusal := gate.Admit(at, admission.Request{Deadline: at.Add(time.Minute), MaxWait: 30 * time.Millisecond})
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason()).To(Equal(call.ReasonOverload))
		_, refusal = gate.Admit(at, admission.Request{Deadline: at.Add(time.Minute), MaxWait: 40 * time.Millisecond})
		Expect(refusal).To(BeNil())
	})

	It("queues nested calls beyond its capacity while it drains fast enough for them", func() {
		gate := admission.NewGate(2, admission.WithMaxUtilization(1))
		at := round(gate, 2, now, 20*time.Millisecond)
		nested := admission.Request{Deadline: at.Add(300 * time.Millisecond), Depth: 1, MaxWait: 150 * time.Millisecond, Expected: 20 * time.Millisecond}
		admitted := 0
		for range 20 {
			if _, refusal := gate.Admit(at, nested); refusal == nil {
				admitted++
			}
		}
		// Two run, and 75 ms drain 7.5 more calls before the last.
		Expect(admitted).To(Equal(2 + 8))
		_, refusal := gate.Admit(at, admission.Request{Deadline: at.Add(time.Minute), MaxWait: time.Minute})
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason()).To(Equal(call.ReasonOverload))
	})
})
