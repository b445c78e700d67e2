package egress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/route"
)

// fastTimers is a clock whose timers fire early, so that a gate probes often.
type fastTimers struct{ clock.System }

// After implements egress.Clock.
func (fastTimers) After(d time.Duration) <-chan time.Time { return time.After(d / 50) }

// repeater is an upstream that writes any earlier response of a connection once more
// where the next one is expected. It runs or rejects calls and health checks at random.
type repeater struct {
	address string
	// maxResponses is the number of responses after which a connection is closed, 0 for
	// no bound.
	maxResponses int

	mu      sync.Mutex
	rng     *rand.Rand
	runs    map[string]int
	repeats int
}

func newRepeater(seed uint64) *repeater {
	GinkgoHelper()
	u := &repeater{rng: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}}
	u.address = listen(u.serve)
	return u
}

// chance reports true with a probability of one in n.
func (u *repeater) chance(n int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.IntN(n) == 0
}

func (u *repeater) serve(conn net.Conn) {
	br := bufio.NewReader(conn)
	var earlier []string
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if len(earlier) > 0 && u.chance(8) {
			u.mu.Lock()
			text := earlier[u.rng.IntN(len(earlier))]
			u.repeats++
			u.mu.Unlock()
			_, _ = io.WriteString(conn, text)
		}
		text := u.respond(r)
		last := len(earlier)+1 == u.maxResponses
		if last {
			text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
		}
		if u.chance(10) {
			text = "HTTP/1.1 102 Processing\r\n\r\n" + text
		}
		_, _ = io.WriteString(conn, text)
		if last {
			return
		}
		earlier = append(earlier, text)
	}
}

// runsOf returns how often the request with the ID ran.
func (u *repeater) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// respond runs or rejects a request and returns the response.
func (u *repeater) respond(r *http.Request) string {
	reject := u.chance(4)
	const empty = "Content-Length: 0\r\n\r\n"
	id := r.Header.Get("Request-Id")
	switch {
	case id == "" && reject:
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + empty
	case id == "":
		return "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\n" + empty
	case reject:
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\n" + empty
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	return "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: " + id + "\r\n" + empty
}

var _ = Describe("a gate whose upstream repeats earlier responses", func() {
	It("takes no response for that of another call", func() {
		// Guards against calls that are reported as not run, and run again elsewhere, after a late
		// copy of an earlier rejection.
		const workers, calls = 2, 10_000
		u, t := newRepeater(29), table()
		gate := egress.NewGate(u.address, func() *route.Table { return t }, egress.WithClock(fastTimers{}))
		DeferCleanup(gate.Close)
		h := heartbeat(u.address, "i-1", "ready", 1000, 1)
		Expect(gate.Heartbeat(h)).To(BeTrue())
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		var mu sync.Mutex
		var rejected, foreign []string
		var done sync.WaitGroup
		for worker := range workers {
			done.Go(func() {
				for i := range calls {
					m := meta(fmt.Sprintf("%d-%d", worker, i))
					m.Idempotent, m.MaxWait = false, time.Minute
					header := http.Header{}
					header.Set("Request-Id", m.ID)
					answer := gate.Do(context.Background(), m, &egress.Call{Method: http.MethodPost, Target: "/x", Host: "x", Header: header})
					mu.Lock()
					switch {
					case answer.Meta.Outcome == call.NotRun && answer.Meta.ReachedUpstream:
						rejected = append(rejected, m.ID)
					case answer.Response != nil && answer.Response.Header.Get("Request-Id") != m.ID:
						foreign = append(foreign, m.ID)
					}
					mu.Unlock()
					answer.Finish()
				}
			})
		}
		done.Wait()
		u.mu.Lock()
		defer u.mu.Unlock()
		var ran []string
		for _, id := range rejected {
			if u.runs[id] > 0 {
				ran = append(ran, id)
			}
		}
		Expect(u.repeats).To(BeNumerically(">", calls/10))
		Expect(rejected).NotTo(BeEmpty())
		Expect(ran).To(BeEmpty(), "reported as not run")
		Expect(foreign).To(BeEmpty(), "answered by another call's response")
	})
})
