package egress_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/standin"
)

// The pattern: operators evacuate the failure domain of an upstream while calls run and wait there.
var _ = Describe("a gate in an evacuated failure domain", func() {
	It("rejects new and queued calls, and lets running ones end", func() {
		backend, err := standin.NewBackend("i-1", "stock", "z1", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Close)
		t := table()
		var evacuated atomic.Bool
		gate := egress.NewGate(backend.Address(), func() *route.Table { return t }, egress.WithEvacuation(evacuated.Load))
		DeferCleanup(gate.Close)
		ready(gate, backend)
		release := backend.Hold()
		running, queued := make(chan hop.AnswerMeta, 2), make(chan hop.AnswerMeta, 1)
		for _, id := range []string{"held-1", "held-2"} {
			go func() { running <- do(gate, meta(id)) }()
		}
		Eventually(func() int { return len(backend.Runs()) }).Should(Equal(2))
		m := meta("queued")
		m.MaxWait = 10 * time.Second
		go func() { queued <- do(gate, m) }()
		Eventually(func() uint32 { return gate.Load().Waiting }).Should(Equal(uint32(1)))

		evacuated.Store(true)
		Expect(do(gate, meta("new")).Reason).To(Equal(call.ReasonEvacuated))
		release()
		for range 2 {
			Expect((<-running).Outcome).To(Equal(call.Answered))
		}
		answer := <-queued
		Expect(answer.Outcome).To(Equal(call.NotRun))
		Expect(answer.Reason).To(Equal(call.ReasonEvacuated))
		Expect(answer.ReachedUpstream).To(BeFalse())
		Expect(backend.Runs()).To(HaveLen(2))

		evacuated.Store(false)
		Expect(do(gate, meta("later")).Outcome).To(Equal(call.Answered))
	})
})
