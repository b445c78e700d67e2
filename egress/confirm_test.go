package egress_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/route"
)

// shiftedClock is the system's clock, set forward by a duration.
type shiftedClock struct {
	clock.System
	shift atomic.Int64
}

func (c *shiftedClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.shift.Load())) }

// checked is an upstream of which each spec decides how it answers health checks.
type checked struct {
	answer atomic.Pointer[http.HandlerFunc]
	checks atomic.Int64
	calls  atomic.Int64
}

func (u *checked) set(answer http.HandlerFunc) { u.answer.Store(&answer) }

func (u *checked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/healthz" {
		u.calls.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "s")
		return
	}
	(*u.answer.Load())(w, r)
	u.checks.Add(1)
}

// answers returns a health check's answer with a status and an identity.
func answers(status int, instance string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", instance)
		w.WriteHeader(status)
	}
}

func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", "i-1")
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

var _ = Describe("a gate that has just started", func() {
	var (
		u      *checked
		server *httptest.Server
		gate   *egress.Gate
		now    *shiftedClock
	)

	start := func(answer http.HandlerFunc, t *route.Table) {
		u, now = &checked{}, &shiftedClock{}
		u.set(answer)
		server = httptest.NewServer(u)
		DeferCleanup(server.Close)
		gate = egress.NewGate(server.Listener.Addr().String(), func() *route.Table { return t }, egress.WithClock(now))
		DeferCleanup(gate.Close)
	}
	beat := func(from, to int) {
		GinkgoHelper()
		for sequence := from; sequence <= to; sequence++ {
			Expect(gate.Heartbeat(heartbeat(server.Listener.Addr().String(), "i-1", "ready", 1000, sequence))).To(BeTrue())
		}
	}
	leaving := answers(http.StatusServiceUnavailable, "i-1")

	It("does not take an upstream into use by heartbeats that it may have sent before it left", func() {
		// Guards against calls to an upstream that left while an earlier process of the node ran.
		start(leaving, table())
		beat(1, 6)
		Expect(phase(gate)()).To(Equal(fleet.Absent), "before the first health check")
		Eventually(u.checks.Load).Should(BeNumerically(">", 1))
		beat(7, 12)
		Consistently(phase(gate), 300*time.Millisecond).Should(Equal(fleet.Absent))
		Expect(do(gate, meta("a")).Outcome).To(Equal(call.NotRun))
		Expect(u.calls.Load()).To(BeZero())

		u.set(answers(http.StatusOK, "i-1"))
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		Expect(do(gate, meta("b")).Outcome).To(Equal(call.Answered))
	})

	It("does not take it into use before it knows the health path", func() {
		start(leaving, nil)
		beat(1, 6)
		Expect(phase(gate)()).To(Equal(fleet.Absent))
	})

	It("withdraws an upstream whose first health check got no answer", func() {
		start(full, table())
		beat(1, 3)
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		u.set(leaving)
		Eventually(phase(gate)).Should(Equal(fleet.Absent))
		u.set(full)
		beat(4, 9)
		Consistently(phase(gate), 300*time.Millisecond).Should(Equal(fleet.Absent), "no room tells nothing new")
	})

	It("takes an upstream that calls itself unhealthy into use by heartbeats that cannot be late", func() {
		start(leaving, table())
		beat(1, 6)
		Eventually(u.checks.Load).Should(BeNumerically(">", 1))
		now.shift.Store(int64(14 * time.Second))
		beat(7, 7)
		Consistently(phase(gate), 200*time.Millisecond).Should(Equal(fleet.Absent))
		now.shift.Store(int64(16 * time.Second))
		Consistently(phase(gate), 200*time.Millisecond).Should(Equal(fleet.Absent), "the wait alone confirms nothing")
		beat(8, 8)
		Expect(phase(gate)()).To(Equal(fleet.Ready))
	})

	It("keeps an upstream in use that passed a health check", func() {
		start(answers(http.StatusOK, "i-1"), table())
		beat(1, 1)
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		u.set(leaving)
		Expect(do(gate, meta("a")).Outcome).To(Equal(call.Answered))
		Consistently(phase(gate), 300*time.Millisecond).Should(Equal(fleet.Ready))
	})

	DescribeTable("takes an upstream into use by three heartbeats where health checks do not tell", func(answer http.HandlerFunc) {
		start(answer, table())
		beat(1, 2)
		Eventually(u.checks.Load).Should(BeNumerically(">", 0))
		Consistently(phase(gate), 100*time.Millisecond).Should(Equal(fleet.Absent))
		beat(3, 3)
		Eventually(phase(gate), time.Second).Should(Equal(fleet.Ready))
	},
		Entry("rejected for lack of room", http.HandlerFunc(full)),
		Entry("no such path", answers(http.StatusNotFound, "i-1")),
		Entry("a server error", answers(http.StatusInternalServerError, "i-1")),
		Entry("without an identity", answers(http.StatusServiceUnavailable, "")),
		Entry("no answer", http.HandlerFunc(silent)),
	)
})
