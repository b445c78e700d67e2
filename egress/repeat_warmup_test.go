package egress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/route"
)

// chiller is an upstream that turns cold in the middle of its life. Once it has got calls
// while it is cold, it writes on each connection a health response from before once more,
// where that to the next health check is expected.
type chiller struct {
	address string

	mu       sync.Mutex
	turned   time.Time
	arrivals []time.Time
}

func newChiller() *chiller {
	GinkgoHelper()
	u := &chiller{}
	u.address = listen(u.serve)
	return u
}

func (u *chiller) serve(conn net.Conn) {
	br := bufio.NewReader(conn)
	warm := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := u.respond(r)
		if r.URL.Path == "/healthz" {
			u.mu.Lock()
			switch {
			case u.turned.IsZero():
				warm = text
			case warm != "" && u.rested():
				text, warm = warm+text, ""
			}
			u.mu.Unlock()
		}
		_, _ = io.WriteString(conn, text)
	}
}

// rested reports whether the upstream got calls while it was cold, but not lately; u.mu is
// held.
func (u *chiller) rested() bool {
	last := u.arrivals[len(u.arrivals)-1]
	return last.Sub(u.turned) > 500*time.Millisecond && time.Since(last) > 100*time.Millisecond
}

func (u *chiller) respond(r *http.Request) string {
	const empty = "Content-Length: 0\r\n\r\n"
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.URL.Path == "/healthz" {
		left := 0
		if !u.turned.IsZero() {
			left = 3_600_000
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nLoad-Report: 1,0,20,100\r\nCold-Ms: %d\r\n%s", left, empty)
	}
	u.arrivals = append(u.arrivals, time.Now())
	return "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\n" + empty
}

var _ = Describe("the gate of an upstream that turns cold and repeats earlier health responses", func() {
	It("sends no more than the upstream tolerates in any second", func() {
		// Guards against a copy of a health response that says warm, which let the gate send as much again.
		u := newChiller()
		t, err := route.NewTable(route.Definition{Revision: 1, Services: map[string]route.Service{"stock": {HealthPath: "/healthz", WarmupRate: warmupRate}}})
		Expect(err).NotTo(HaveOccurred())
		gate := egress.NewGate(u.address, func() *route.Table { return t },
			egress.WithWarmupBounds(func() (float64, float64) { return warmupOverage, warmupSlack }))
		DeferCleanup(gate.Close)
		gate.Heartbeat(coldHeartbeat(u.address, 1, 0))
		Eventually(func() int { room, _ := gate.WarmupRoom(); return room }).Should(BeNumerically(">", int(warmupRate*warmupOverage)))
		timer := time.AfterFunc(500*time.Millisecond, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.turned = time.Now()
		})
		defer timer.Stop()
		warming := 0
		for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(200 * time.Microsecond) {
			if do(gate, meta(fmt.Sprint(time.Since(start)))).Reason == call.ReasonWarming {
				warming++
			}
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		Expect(warming).To(BeNumerically(">", 0))
		Expect(largestBurst(u.arrivals, u.turned)).To(BeNumerically("<=", coldBound))
	})
})

// largestBurst returns the largest number of times in a second from a time on.
func largestBurst(times []time.Time, from time.Time) int {
	largest := 0
	for i, at := range times {
		count := 0
		for _, later := range times[i:] {
			if !at.Before(from) && later.Sub(at) <= time.Second {
				count++
			}
		}
		largest = max(largest, count)
	}
	return largest
}
