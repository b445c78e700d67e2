package egress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/route"
)

const (
	rejected    = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
	misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
	failed      = "HTTP/1.1 500 Internal Server Error\r\nResponse-Stamp: s\r\n"
	succeeded   = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"
)

// copier is an upstream that answers the first sends of one request with initial, and
// runs the next one. On a connection that has carried the request, copies of the earlier
// response precede the one that is due.
type copier struct {
	address string
	// id is that of the request; others run at once, those to /hold until release closes.
	id      string
	initial string
	first   int
	copies  int
	release chan struct{}

	mu          sync.Mutex
	connections int
	running     int
	sends       int
	runs        int
}

func (u *copier) serve(conn net.Conn) {
	u.mu.Lock()
	u.connections++
	u.mu.Unlock()
	br := bufio.NewReader(conn)
	earlier := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		text := u.respond(id, r.URL.Path) + "Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		if id == u.id {
			text, earlier = strings.Repeat(earlier, u.copies)+text, text
		}
		_, _ = io.WriteString(conn, text)
	}
}

// respond returns the status line and the first headers of the response to a request.
func (u *copier) respond(id, path string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case id == u.id && u.sends < u.first:
		u.sends++
		return u.initial
	case id == u.id:
		u.sends++
		u.runs++
	case path == "/hold":
		u.running++
		u.mu.Unlock()
		<-u.release
		u.mu.Lock()
		u.running--
	}
	return succeeded
}

// count returns a function that reads one of the counts of u.
func (u *copier) count(of *int) func() int {
	return func() int {
		u.mu.Lock()
		defer u.mu.Unlock()
		return *of
	}
}

// hold sends n calls that run until the returned function, which waits for their end.
func (u *copier) hold(gate *egress.Gate, name string, n int) func() {
	GinkgoHelper()
	u.mu.Lock()
	u.release = make(chan struct{})
	u.mu.Unlock()
	var done sync.WaitGroup
	for i := range n {
		done.Go(func() { sendOnce(gate, meta(fmt.Sprintf("%s-%d", name, i)), "/hold") })
	}
	Eventually(u.count(&u.running)).Should(Equal(n))
	return func() {
		close(u.release)
		done.Wait()
	}
}

// result is what the caller of a gate gets.
type result struct {
	outcome call.Outcome
	status  int
	id      string
}

func sendOnce(gate *egress.Gate, m hop.Meta, target string) result {
	header := http.Header{}
	header.Set("Request-Id", m.ID)
	answer := gate.Do(context.Background(), m, &egress.Call{Method: http.MethodPost, Target: target, Host: "x", Header: header})
	defer answer.Finish()
	r := result{outcome: answer.Meta.Outcome}
	if answer.Response != nil {
		r.status, r.id = answer.Response.Status, answer.Response.Header.Get("Request-Id")
	}
	return r
}

// sendFrom sends a call from another node to the handler at address.
func sendFrom(entryHost, address string, m hop.Meta) result {
	GinkgoHelper()
	m.EntryHost = entryHost
	text, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Request-Id", m.ID)
	request.Header.Set(hop.CallHeader, text)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	answer, err := hop.DecodeAnswerMeta(response.Header.Get(hop.AnswerHeader))
	Expect(err).NotTo(HaveOccurred())
	r := result{outcome: answer.Outcome, id: response.Header.Get("Request-Id")}
	if answer.Outcome == call.Answered {
		r.status = response.StatusCode
	}
	return r
}

// resend is a case of a request that is sent to an upstream again.
type resend struct {
	initial    string
	outcome    call.Outcome
	copies     int
	idempotent bool
	// between is the number of other requests between the sends.
	between int
	// entryNodes makes each send come from another entry node.
	entryNodes bool
	// connections is the number of sends that get the initial response, each on its own
	// connection, one if it is not set.
	connections int
}

var _ = Describe("a gate whose upstream repeats the response to an earlier send of a request", func() {
	DescribeTable("takes it for no response to the latest send", func(c resend) {
		// Guards against a request that runs, and is reported as not run or failed, after a late
		// copy of the response to its earlier send.
		u := &copier{id: "resent", initial: c.initial, first: max(1, c.connections), copies: c.copies}
		u.address = listen(u.serve)
		// Without health checks, which would use the connections too.
		t, err := route.NewTable(route.Definition{Revision: 1, Services: map[string]route.Service{"stock": {}}})
		Expect(err).NotTo(HaveOccurred())
		gate := egress.NewGate(u.address, func() *route.Table { return t })
		DeferCleanup(gate.Close)
		sequence := 0
		beat := func() {
			sequence++
			Expect(gate.Heartbeat(heartbeat(u.address, "i-1", "ready", 1000, sequence))).To(BeTrue())
		}
		for range 3 {
			beat()
		}
		Expect(phase(gate)()).To(Equal(fleet.Ready))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := http1.NewServer(listener, egress.NewHandler(gate), func() http1.Limits { return http1.Limits{} })
		DeferCleanup(server.Close)
		m := meta(u.id)
		m.Idempotent = c.idempotent
		send := func(number int) result {
			if c.entryNodes {
				return sendFrom(fmt.Sprintf("entry-%d", number), listener.Addr().String(), m)
			}
			return sendOnce(gate, m, "/x")
		}
		u.hold(gate, "opening", u.first)()
		release := func() {}
		for number := range u.first {
			Expect(send(number).outcome).To(Equal(c.outcome))
			release()
			if number+1 < u.first {
				// The next send takes another connection.
				release = u.hold(gate, fmt.Sprintf("held-%d", number), 1)
			}
		}
		// The upstream may have been marked unreachable.
		beat()
		for i := range c.between {
			Expect(sendOnce(gate, meta(fmt.Sprintf("other-%d", i)), "/x").outcome).To(Equal(call.Answered))
		}
		Expect(u.count(&u.connections)()).To(Equal(u.first), "connections, all open")
		got, runs := send(u.first), u.count(&u.runs)()
		Expect(got).To(Equal(result{call.Answered, http.StatusOK, u.id}), "runs: %d", runs)
		Expect(runs).To(Equal(1))
	},
		Entry("a rejection, once", resend{initial: rejected, outcome: call.NotRun, copies: 1}),
		Entry("a rejection, twice", resend{initial: rejected, outcome: call.NotRun, copies: 2}),
		Entry("a rejection, after another request", resend{initial: rejected, outcome: call.NotRun, copies: 1, between: 1}),
		Entry("a rejection, after many other requests", resend{initial: rejected, outcome: call.NotRun, copies: 1, between: 500}),
		Entry("a rejection as misdirected", resend{initial: misdirected, outcome: call.NotRun, copies: 1}),
		Entry("a rejection, to another entry node", resend{initial: rejected, outcome: call.NotRun, copies: 1, entryNodes: true}),
		Entry("a rejection, of an idempotent request", resend{initial: rejected, outcome: call.NotRun, copies: 1, idempotent: true}),
		Entry("a server error, of an idempotent request", resend{initial: failed, outcome: call.Answered, copies: 1, idempotent: true}),
		Entry("a rejection, after two on different connections", resend{initial: rejected, outcome: call.NotRun, copies: 1, connections: 2}),
	)

	It("reports no request as not run that ran, at random", func() {
		// Guards against requests that run although all their sends are reported as rejected.
		const seed, workers, calls, maxSends = 45, 8, 2000, 4
		u, t := newRepeater(seed), table()
		u.maxResponses = 16
		gate := egress.NewGate(u.address, func() *route.Table { return t }, egress.WithClock(fastTimers{}))
		DeferCleanup(gate.Close)
		h, err := platform.DecodeHeartbeat("i-1", fmt.Appendf(nil,
			`{"addr":%q,"born":1000,"info":{"service":"stock","version":"v1","zone":"z1","slots":%d},`+
				`"status":{"state":"ready","seq":1,"cold_left_ms":0}}`, u.address, 2*workers))
		Expect(err).NotTo(HaveOccurred())
		Expect(gate.Heartbeat(h)).To(BeTrue())
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		var mu sync.Mutex
		var hidden, foreign []string
		answered, resent := map[string]int{}, 0
		var done sync.WaitGroup
		for worker := range workers {
			done.Go(func() {
				for i := range calls {
					m := meta(fmt.Sprintf("%d-%d", worker, i))
					m.Idempotent, m.MaxWait = i%2 == 0, time.Minute
					for number := range maxSends {
						before := u.runsOf(m.ID)
						r := sendOnce(gate, m, "/x")
						after := u.runsOf(m.ID)
						mu.Lock()
						if number > 0 {
							resent++
						}
						if r.outcome == call.NotRun && after != before {
							hidden = append(hidden, m.ID)
						}
						if r.outcome == call.Answered {
							answered[m.ID]++
							if r.id != m.ID {
								foreign = append(foreign, m.ID)
							}
						}
						mu.Unlock()
						if r.outcome != call.NotRun {
							break
						}
					}
				}
			})
		}
		done.Wait()
		u.mu.Lock()
		defer u.mu.Unlock()
		var repeated []string
		for id, runs := range u.runs {
			if runs > answered[id] {
				repeated = append(repeated, id)
			}
		}
		Expect(u.repeats).To(BeNumerically(">", workers*calls/10))
		Expect(resent).To(BeNumerically(">", workers*calls/10))
		Expect(hidden).To(BeEmpty(), "seed %d: reported as not run", seed)
		Expect(repeated).To(BeEmpty(), "seed %d: ran more often than answered", seed)
		Expect(foreign).To(BeEmpty(), "seed %d: answered by another call's response", seed)
	})
})
