package egress_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/standin"
)

// newCrashingUpstream returns a gate, the listener of its upstream, which is ready, and the
// connections on which the upstream gets requests and does not answer them.
func newCrashingUpstream(blocklist *quarantine.Blocklist) (*egress.Gate, net.Listener, <-chan net.Conn) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	running := make(chan net.Conn, 1)
	go serveUntilClosed(listener, running)
	t := table()
	gate := egress.NewGate(listener.Addr().String(), func() *route.Table { return t }, egress.WithBlocklist(blocklist))
	DeferCleanup(gate.Close)
	Expect(gate.Heartbeat(heartbeat(listener.Addr().String(), "i-1", "ready", 1000, 1))).To(BeTrue())
	Eventually(phase(gate)).Should(Equal(fleet.Ready))
	return gate, listener, running
}

// newGateWithBlocklist returns a gate whose upstream is ready.
func newGateWithBlocklist(blocklist *quarantine.Blocklist, options ...egress.Option) (*egress.Gate, *standin.Backend) {
	GinkgoHelper()
	backend, t := newBackend(), table()
	gate := egress.NewGate(backend.Address(), func() *route.Table { return t }, append(options, egress.WithBlocklist(blocklist))...)
	DeferCleanup(gate.Close)
	ready(gate, backend)
	return gate, backend
}

var _ = Describe("a request whose connection breaks after its upstream was found to have ended", func() {
	It("counts as one that crashed the upstream", func() {
		// Guards against a request that crashes more upstreams than three, as a health check notices
		// a crash before the connection of the run breaks.
		const fingerprint, crashes = 7, 3
		blocklist := quarantine.NewBlocklist()
		for i := range crashes {
			gate, listener, running := newCrashingUpstream(blocklist)
			outcome := make(chan call.Outcome, 1)
			go func() {
				m := meta(fmt.Sprint(i))
				m.Idempotent, m.Fingerprint = false, fingerprint
				outcome <- do(gate, m).Outcome
			}()
			var conn net.Conn
			Eventually(running).Should(Receive(&conn))
			Expect(listener.Close()).To(Succeed())
			Eventually(phase(gate)).Should(Equal(fleet.Absent))
			Expect(blocklist.Blocked(fingerprint)).To(BeFalse())
			Expect(conn.Close()).To(Succeed())
			Eventually(outcome).Should(Receive(Equal(call.Unknown)))
		}
		Eventually(func() bool { return blocklist.Blocked(fingerprint) }).Should(BeTrue())
	})
})

var _ = Describe("a request whose upstream ends in the middle of the response", func() {
	It("counts as one that crashed the upstream", func() {
		// Guards against a request that crashes upstreams without end, as the head of the response
		// clears its count.
		const fingerprint = 7
		blocklist := quarantine.NewBlocklist()
		for i := range 3 {
			gate, listener, running := newCrashingUpstream(blocklist)
			m := meta(fmt.Sprint(i))
			m.Idempotent, m.Fingerprint = false, fingerprint
			go func() {
				conn := <-running
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %d\r\nResponse-Stamp: s\r\nContent-Length: 9\r\n\r\nbody", i)
				_ = listener.Close()
				_ = conn.Close()
			}()
			Expect(blocklist.Blocked(fingerprint)).To(BeFalse())
			do(gate, m)
			Eventually(phase(gate)).Should(Equal(fleet.Absent))
		}
		Eventually(func() bool { return blocklist.Blocked(fingerprint) }).Should(BeTrue())
	})

	It("is still counted after a response that is cut off", func() {
		const fingerprint = 7
		blocklist := quarantine.NewBlocklist()
		for range 2 {
			blocklist.Crashed(time.Now(), []uint64{fingerprint})
		}
		gate, backend := newGateWithBlocklist(blocklist)
		backend.InjectFaults(standin.FaultTruncate)
		m := meta("cut")
		m.Fingerprint = fingerprint
		do(gate, m)
		blocklist.Crashed(time.Now(), []uint64{fingerprint})
		Expect(blocklist.Blocked(fingerprint)).To(BeTrue())
	})
})

var _ = Describe("a request whose connection broke before another start of its upstream", func() {
	const fingerprint = 7
	// breakRun has a run end with its connection while the upstream's address goes on to accept
	// connections, and returns the gate and the address.
	breakRun := func(blocklist *quarantine.Blocklist) (*egress.Gate, string) {
		GinkgoHelper()
		gate, listener, running := newCrashingUpstream(blocklist)
		m := meta("a")
		m.Fingerprint = fingerprint
		outcome := make(chan call.Outcome, 1)
		go func() { outcome <- do(gate, m).Outcome }()
		var conn net.Conn
		Eventually(running).Should(Receive(&conn))
		Expect(conn.Close()).To(Succeed())
		Eventually(outcome).Should(Receive(Equal(call.Unknown)))
		return gate, listener.Addr().String()
	}

	It("counts as one that crashed the upstream", func() {
		// Guards against a request that crashes upstreams without end, as they are back before a
		// connection is refused.
		blocklist := quarantine.NewBlocklist()
		for range 3 {
			Expect(blocklist.Blocked(fingerprint)).To(BeFalse())
			gate, address := breakRun(blocklist)
			time.Sleep(time.Second)
			Expect(gate.Heartbeat(heartbeat(address, "i-2", "ready", 2000, 1))).To(BeTrue())
		}
		Expect(blocklist.Blocked(fingerprint)).To(BeTrue())
	})

	DescribeTable("does not count if the upstream outlived it",
		func(state string) {
			blocklist := quarantine.NewBlocklist()
			gate, address := breakRun(blocklist)
			time.Sleep(time.Second)
			Expect(gate.Heartbeat(heartbeat(address, "i-1", state, 1000, 2))).To(BeTrue())
			Expect(gate.Heartbeat(heartbeat(address, "i-2", "ready", 2000, 1))).To(BeTrue())
			Expect(blocklist.Snapshot().Requests).To(BeEmpty())
		},
		Entry("and went on", "ready"),
		Entry("and left", "draining"),
	)
})

var _ = Describe("a request that was given up while it ran", func() {
	// Guards against a request that crashes upstreams without end, as its callers leave or its
	// time is up before each crash is seen.
	DescribeTable("counts as one that crashed the upstream",
		func(remaining time.Duration, cancels bool) {
			const fingerprint = 7
			blocklist := quarantine.NewBlocklist()
			for i := range 3 {
				Expect(blocklist.Blocked(fingerprint)).To(BeFalse())
				gate, listener, running := newCrashingUpstream(blocklist)
				ctx, cancel := context.WithCancel(context.Background())
				m := meta(fmt.Sprint(i))
				m.Fingerprint, m.Remaining = fingerprint, remaining
				outcome := make(chan hop.AnswerMeta, 1)
				go func() {
					answer := gate.Do(ctx, m, &egress.Call{Method: http.MethodGet, Target: "/x", Host: "x", Header: http.Header{}})
					answer.Finish()
					outcome <- answer.Meta
				}()
				var conn net.Conn
				Eventually(running).Should(Receive(&conn))
				if cancels {
					cancel()
				}
				var answer hop.AnswerMeta
				Eventually(outcome).Should(Receive(&answer))
				Expect(answer.Outcome).To(Equal(call.Unknown))
				Expect(listener.Close()).To(Succeed())
				Expect(conn.Close()).To(Succeed())
				Eventually(phase(gate)).Should(Equal(fleet.Absent))
				cancel()
			}
			Eventually(func() bool { return blocklist.Blocked(fingerprint) }).Should(BeTrue())
		},
		Entry("by a caller that leaves", 20*time.Second, true),
		Entry("at its timeout", 50*time.Millisecond, false),
	)

	It("does not count if its upstream goes on", func() {
		const fingerprint = 7
		blocklist := quarantine.NewBlocklist()
		gate, listener, running := newCrashingUpstream(blocklist)
		m := meta("short")
		m.Fingerprint, m.Remaining = fingerprint, 50*time.Millisecond
		Expect(do(gate, m).Reason).To(Equal(call.ReasonDeadline))
		Eventually(running).Should(Receive())
		time.Sleep(time.Second)
		Expect(listener.Close()).To(Succeed())
		Expect(do(gate, meta("after")).Outcome).To(Equal(call.NotRun))
		Expect(blocklist.Snapshot().Requests).To(BeEmpty())
	})
})

var _ = Describe("a request that an upstream fails or sheds", func() {
	// Guards against a request that crashes upstreams without end, as the failures of another
	// upstream clear its count.
	DescribeTable("keeps its crash count",
		func(fault standin.Fault) {
			const fingerprint = 7
			blocklist := quarantine.NewBlocklist()
			for range 2 {
				blocklist.Crashed(time.Now(), []uint64{fingerprint})
			}
			gate, backend := newGateWithBlocklist(blocklist)
			backend.InjectFaults(fault)
			m := meta("failed")
			m.Fingerprint = fingerprint
			do(gate, m)
			Expect(backend.Runs()).To(HaveLen(1))
			blocklist.Crashed(time.Now(), []uint64{fingerprint})
			Expect(blocklist.Blocked(fingerprint)).To(BeTrue())
		},
		Entry("with 500", standin.FaultError),
		Entry("with 503", standin.FaultRunUnavailable),
		Entry("with 429", standin.FaultRunLimited),
		Entry("with 408", standin.FaultRunTimeout),
	)
})

var _ = Describe("a request that is blocked while it is queued", func() {
	It("does not run", func() {
		const fingerprint = 7
		blocklist := quarantine.NewBlocklist()
		gate, backend := newGateWithBlocklist(blocklist)
		release := backend.Hold()
		for i := range 2 {
			go do(gate, meta(fmt.Sprintf("slot-%d", i)))
			Eventually(gate.Running).Should(Equal(i + 1))
		}
		queued := make(chan hop.AnswerMeta, 1)
		m := meta("queued")
		m.Fingerprint, m.MaxWait = fingerprint, 10*time.Second
		go func() { queued <- do(gate, m) }()
		Eventually(func() int { return int(gate.Load().Waiting) }).Should(Equal(1))
		for range 3 {
			blocklist.Crashed(time.Now(), []uint64{fingerprint})
		}
		release()
		var answer hop.AnswerMeta
		Eventually(queued).Should(Receive(&answer))
		Expect(answer.Outcome).To(Equal(call.NotRun))
		Expect(answer.Reason).To(Equal(call.ReasonQuarantined))
		for _, run := range backend.Runs() {
			Expect(run.ID).NotTo(Equal("queued"))
		}
	})
})

var _ = Describe("a blocked request", func() {
	const fingerprint = 7
	var (
		blocklist *quarantine.Blocklist
		gate      *egress.Gate
		stored    bool
		trials    int
		m         hop.Meta
	)
	// afterPause sends the request to a gate that asks whether a trial is stored.
	afterPause := func() hop.AnswerMeta {
		GinkgoHelper()
		blocklist, trials = quarantine.NewBlocklist(), 0
		for range 3 {
			blocklist.Crashed(time.Now(), []uint64{fingerprint})
		}
		now := &shiftedClock{}
		var backend *standin.Backend
		gate, backend = newGateWithBlocklist(blocklist, egress.WithClock(now), egress.WithTrials(func(_ context.Context, requested uint64) bool {
			Expect(requested).To(Equal(uint64(fingerprint)))
			trials++
			return stored
		}))
		m = meta("blocked")
		m.Fingerprint = fingerprint
		Expect(do(gate, m).Reason).To(Equal(call.ReasonQuarantined))
		Expect(trials).To(BeZero())
		now.shift.Add(int64(10 * time.Minute))
		Expect(gate.Heartbeat(heartbeat(backend.Address(), "i-1", "ready", 1000, 2))).To(BeTrue())
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		m.ID = "trial"
		answer := do(gate, m)
		Expect(trials).To(Equal(1))
		return answer
	}

	It("runs at an upstream for a trial, whose answer clears it", func() {
		stored = true
		Expect(afterPause().Outcome).To(Equal(call.Answered))
		Expect(blocklist.Blocked(fingerprint)).To(BeFalse())
		m.ID = "after"
		Expect(do(gate, m).Outcome).To(Equal(call.Answered))
		Expect(trials).To(Equal(1))
	})

	It("does not run for a trial that is not stored", func() {
		stored = false
		Expect(afterPause().Reason).To(Equal(call.ReasonQuarantined))
		Expect(gate.Running()).To(BeZero())
		Expect(blocklist.Blocked(fingerprint)).To(BeTrue())
	})
})

// serveUntilClosed answers the health checks on the connections of a listener and closes
// each of them afterwards. It passes on the connections of other requests, unanswered.
func serveUntilClosed(listener net.Listener, running chan<- net.Conn) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && r.URL.Path != "/healthz" {
				running <- conn
				return
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}()
	}
}
