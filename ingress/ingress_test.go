package ingress_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/route"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// send is what a gate does with an attempt.
type send func(host string, meta hop.Meta) *egress.Answer

// gates stands for the gates of a fleet.
type gates struct {
	do send

	mu   sync.Mutex
	sent []sent
}

type sent struct {
	host string
	meta hop.Meta
	at   time.Time
}

// Send implements ingress.Sender.
func (g *gates) Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, _ *egress.Call) *egress.Answer {
	host := peer.Beacon().Host
	g.mu.Lock()
	g.sent = append(g.sent, sent{host: host, meta: meta, at: time.Now()})
	g.mu.Unlock()
	answer := g.do(host, meta)
	if answer == nil {
		<-ctx.Done()
		return egress.Refusal(call.Unknown, call.ReasonCancelled)
	}
	answer.Meta.Gate = true
	return answer
}

func (g *gates) attempts() []sent {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]sent(nil), g.sent...)
}

// ran is the answer to an attempt whose connection broke.
func ran() *egress.Answer {
	answer := egress.Refusal(call.Unknown, call.ReasonConnection)
	answer.Meta.Ran = true
	return answer
}

type setup struct {
	idempotent bool
	attempts   int
	timeout    time.Duration
	hosts      int
	budget     ingress.Budget
	// answerBytes is how long answers usually are.
	answerBytes int64
	// loads are those of the hosts; the first host is in the failure domain of
	// the ingress when there are any.
	loads []call.Load
}

// start returns the address of an ingress whose gates answer by do.
func start(s setup, do send) (*gates, string) {
	GinkgoHelper()
	table, err := route.NewTable(route.Definition{
		Revision: 1, Services: map[string]route.Service{"stock": {}},
		Routes: []route.Route{{
			Name: "r", Host: "x", Prefix: "/", Idempotent: s.idempotent, Timeout: s.timeout,
			Objective: time.Minute, MaxAttempts: s.attempts, Services: []route.WeightedService{{Service: "stock", Weight: 1}},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	view := fleet.NewView()
	var beacons []fleet.Beacon
	for i := range s.hosts {
		name := fmt.Sprintf("h%d", i)
		b := fleet.Beacon{
			Host: name, Incarnation: 1, Sequence: 1, CallAddress: name, GossipAddress: name,
			Service: "stock", Upstream: "u", Phase: fleet.Ready, Slots: 10,
		}
		if len(s.loads) > 0 {
			b.Load = s.loads[i]
			if i == 0 {
				b.FailureDomain = "z1"
			}
		}
		beacons = append(beacons, b)
		view.Merge(time.Now(), b)
	}
	g := &gates{do: do}
	in := ingress.New("z1", func() *route.Table { return table }, func() string { return "stock" }, view, g,
		ingress.WithBudget(s.budget), ingress.WithSeed(1))
	in.SetSize("r", s.answerBytes)
	for _, b := range beacons {
		if len(s.loads) > 0 {
			in.Report(b)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := http1.NewServer(listener, in, func() http1.Limits { return http1.Limits{} })
	DeferCleanup(server.Close)
	return g, listener.Addr().String()
}

var plenty = ingress.Budget{Ratio: 1, Slack: 1000, Window: 10 * time.Second}

func get(address, id string) *http.Response {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/1", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "x"
	request.Header.Set("Request-Id", id)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	Expect(response.Body.Close()).To(Succeed())
	return response
}

var _ = Describe("a request", func() {
	It("that is refused everywhere is refused with a time to come back", func() {
		g, address := start(setup{attempts: 2, hosts: 3, budget: plenty}, func(string, hop.Meta) *egress.Answer {
			return egress.Refusal(call.NotRun, call.ReasonOverload)
		})
		response := get(address, "a")
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.Header.Get("Request-Id")).To(Equal("a"))
		hosts := map[string]bool{}
		for _, s := range g.attempts() {
			hosts[s.host] = true
		}
		Expect(hosts).To(HaveLen(3), "refusals that ran nothing cost no attempts")
	})

	It("that may run only once is sent no second time after an attempt without an answer", func() {
		g, address := start(setup{attempts: 2, hosts: 3, budget: plenty}, func(string, hop.Meta) *egress.Answer {
			return ran()
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
		Expect(g.attempts()).To(HaveLen(1))
	})

	It("that is idempotent reaches no more upstreams than its route allows", func() {
		g, address := start(setup{idempotent: true, attempts: 2, hosts: 5, budget: plenty}, func(string, hop.Meta) *egress.Answer {
			return ran()
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
		Expect(g.attempts()).To(HaveLen(2))
		Expect(g.attempts()[0].host).NotTo(Equal(g.attempts()[1].host))
		Expect(g.attempts()[1].meta.Repeated).To(BeTrue())
	})

	It("is not told to have not run when an earlier attempt may have", func() {
		first := true
		_, address := start(setup{idempotent: true, attempts: 2, hosts: 2, budget: plenty}, func(string, hop.Meta) *egress.Answer {
			if first {
				first = false
				return ran()
			}
			return egress.Refusal(call.NotRun, call.ReasonOverload)
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("that was rejected by an upstream is refused truthfully without a budget", func() {
		g, address := start(setup{attempts: 2, hosts: 3, budget: ingress.Budget{Ratio: 0, Slack: 0, Window: time.Second}},
			func(string, hop.Meta) *egress.Answer {
				answer := egress.Refusal(call.NotRun, call.ReasonRejected)
				answer.Meta.Ran = true
				return answer
			})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(g.attempts()).To(HaveLen(1))
	})

	It("is answered at its route's timeout, and tells gates what is left of it", func() {
		g, address := start(setup{idempotent: true, attempts: 1, hosts: 2, timeout: 300 * time.Millisecond, budget: plenty},
			func(string, hop.Meta) *egress.Answer { return nil })
		began := time.Now()
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 300*time.Millisecond))
		Expect(g.attempts()[0].meta.Remaining).To(BeNumerically("<=", 300*time.Millisecond))
	})

	It("keeps repeats within the share of the budget, whatever fails", func() {
		budget := ingress.Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
		const hosts, requests = 6, 300
		rng := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		arrivals := 0
		_, address := start(setup{idempotent: true, attempts: 4, hosts: hosts, budget: budget}, func(string, hop.Meta) *egress.Answer {
			mu.Lock()
			defer mu.Unlock()
			if rng.IntN(3) == 0 {
				return egress.Refusal(call.NotRun, call.ReasonOverload)
			}
			arrivals++
			return ran()
		})
		for i := range requests {
			get(address, fmt.Sprint(i))
		}
		// The node has its part of the slack that all nodes share.
		Expect(float64(arrivals)).To(BeNumerically("<=", requests+budget.Ratio*requests+budget.Slack/hosts))
	})

	DescribeTable("goes to its own failure domain if its answer is long and there is room",
		func(bytes int64, running uint32, near bool) {
			loads := []call.Load{{Running: running, Limit: 10, Slowdown: 5}, {Limit: 10}, {Limit: 10}}
			g, address := start(setup{attempts: 2, hosts: 3, budget: plenty, answerBytes: bytes, loads: loads},
				func(string, hop.Meta) *egress.Answer { return egress.Refusal(call.NotRun, call.ReasonOverload) })
			get(address, "a")
			first := g.attempts()[0]
			Expect(first.host == "h0").To(Equal(near))
			Expect(first.meta.Selective).To(Equal(!near), "a slow host is good enough")
		},
		Entry("short", int64(400), uint32(0), false),
		Entry("long", int64(90_000), uint32(0), true),
		Entry("long, and the domain is full", int64(90_000), uint32(10), false),
	)
})
