package ingress_test

import (
	"cmp"
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
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/route"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// sendFunc answers an attempt in place of the gate of a host. A nil answer stands
// for a gate that does not answer.
type sendFunc func(host string, meta hop.Meta) *egress.Answer

// fakeSender records attempts and answers them with a sendFunc.
type fakeSender struct {
	do sendFunc

	mu   sync.Mutex
	sent []sentAttempt
}

type sentAttempt struct {
	host string
	meta hop.Meta
	call *egress.Call
	at   time.Time
}

// Send implements ingress.Sender.
func (sender *fakeSender) Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, c *egress.Call) *egress.Answer {
	host := peer.Beacon().Host
	sender.mu.Lock()
	sender.sent = append(sender.sent, sentAttempt{host: host, meta: meta, call: c, at: time.Now()})
	sender.mu.Unlock()
	answer := sender.do(host, meta)
	if answer == nil {
		<-ctx.Done()
		return egress.Refusal(call.Unknown, call.ReasonCancelled)
	}
	answer.Meta.FromGate = true
	return answer
}

func (sender *fakeSender) attempts() []sentAttempt {
	sender.mu.Lock()
	defer sender.mu.Unlock()
	return append([]sentAttempt(nil), sender.sent...)
}

// connectionLost returns the answer to an attempt whose connection to the upstream
// broke after the request was sent.
func connectionLost() *egress.Answer {
	answer := egress.Refusal(call.Unknown, call.ReasonConnection)
	answer.Meta.ReachedUpstream = true
	return answer
}

type setup struct {
	idempotent bool
	attempts   int
	timeout    time.Duration
	hosts      int
	budget     ingress.RetryBudget
	// meanResponseBytes is the mean length of a response.
	meanResponseBytes int64
	longResponses     bool
	// objective is the latency objective, a minute if it is not set.
	objective time.Duration
	// noObjective makes the route one without a latency objective.
	noObjective bool
	// loads holds the load of each host. If it is set, the first host is in the
	// failure domain of the ingress and the others are not.
	loads []call.Load
	// domains holds the failure domain of each host, in place of that rule.
	domains []string
	options []ingress.Option
	// uptime is the age of the process, a minute if it is not set.
	uptime time.Duration
	// calledService is a service that no route leads to, "" for none.
	calledService string
	// organisations are those whose callers need a key, nil for none.
	organisations *organisation.Directory
	quota         ingress.Quota
}

// start serves an Ingress whose attempts are answered by do, and returns its
// sender and address.
func start(s setup, do sendFunc) (*fakeSender, string) {
	GinkgoHelper()
	services := map[string]route.Service{"stock": {}}
	if s.calledService != "" {
		services[s.calledService] = route.Service{}
	}
	objective := cmp.Or(s.objective, time.Minute)
	if s.noObjective {
		objective = 0
	}
	table, err := route.NewTable(route.Definition{
		Revision: 1, Services: services, Organisations: s.organisations,
		Routes: []route.Route{{
			Name: "r", Host: "x", Prefix: "/", Idempotent: s.idempotent, Timeout: s.timeout, LongResponses: s.longResponses,
			Objective: objective, MaxAttempts: s.attempts, Targets: []route.WeightedService{{Service: "stock", Weight: 1}},
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
			if len(s.domains) > 0 {
				b.FailureDomain = s.domains[i]
			}
		}
		beacons = append(beacons, b)
		view.Merge(time.Now(), b)
	}
	sender := &fakeSender{do: do}
	in := ingress.New("z1", func() *route.Table { return table }, func() string { return "stock" }, view, sender, append([]ingress.Option{
		ingress.WithRetryBudget(s.budget), ingress.WithQuota(s.quota), ingress.WithStart(time.Now().Add(-cmp.Or(s.uptime, time.Minute))), ingress.WithSeed(1),
	}, s.options...)...)
	in.SetMeanSize("r", s.meanResponseBytes)
	for _, b := range beacons {
		if len(s.loads) > 0 {
			in.UpdateLoad(&b)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := http1.NewServer(listener, in, func() http1.Limits { return http1.Limits{} })
	DeferCleanup(server.Close)
	return sender, listener.Addr().String()
}

var largeBudget = ingress.RetryBudget{Ratio: 1, Slack: 1000, Window: 10 * time.Second}

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
	It("gets a 503 with Retry-After when every gate refuses it", func() {
		sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget}, func(string, hop.Meta) *egress.Answer {
			return egress.Refusal(call.NotRun, call.ReasonOverload)
		})
		response := get(address, "a")
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.Header.Get("Request-Id")).To(Equal("a"))
		hosts := map[string]bool{}
		for _, s := range sender.attempts() {
			hosts[s.host] = true
		}
		Expect(hosts).To(HaveLen(3), "a refusal by a gate does not count as an attempt")
	})

	It("is not retried after an attempt without a response unless it is idempotent", func() {
		sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget}, func(string, hop.Meta) *egress.Answer {
			return connectionLost()
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
		Expect(sender.attempts()).To(HaveLen(1))
	})

	It("reaches at most as many upstreams as its route has attempts", func() {
		sender, address := start(setup{idempotent: true, attempts: 2, hosts: 5, budget: largeBudget}, func(string, hop.Meta) *egress.Answer {
			return connectionLost()
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
		Expect(sender.attempts()).To(HaveLen(2))
		Expect(sender.attempts()[0].host).NotTo(Equal(sender.attempts()[1].host))
		Expect(sender.attempts()[1].meta.Repeated).To(BeTrue())
	})

	// The pattern: most upstreams of a service reject a share of what they get.
	It("goes on after rejections by upstreams, which have not run it", func() {
		rejections := 0
		sender, address := start(setup{attempts: 2, hosts: 6, budget: largeBudget}, func(string, hop.Meta) *egress.Answer {
			rejections++
			answer := egress.Refusal(call.NotRun, call.ReasonRejected)
			if rejections > 3 {
				answer = egress.Refusal(call.Unknown, call.ReasonConnection)
			}
			answer.Meta.ReachedUpstream = true
			return answer
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
		attempts := sender.attempts()
		Expect(attempts).To(HaveLen(4), "it is not repeated once it may have run")
		for _, a := range attempts {
			Expect(a.meta.Repeated).To(BeFalse())
		}
	})

	It("returns to the only upstream after a rejection by it", func() {
		// Guards against the assumption that an upstream gets a request only once.
		rejected := false
		sender, address := start(setup{attempts: 2, hosts: 1, budget: largeBudget}, func(string, hop.Meta) *egress.Answer {
			if rejected {
				return connectionLost()
			}
			rejected = true
			answer := egress.Refusal(call.NotRun, call.ReasonRejected)
			answer.Meta.ReachedUpstream = true
			return answer
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
		attempts := sender.attempts()
		Expect(attempts).To(HaveLen(2))
		for _, a := range attempts {
			Expect(a.host).To(Equal("h0"))
			Expect(a.meta.ID).To(Equal("a"))
			Expect(a.meta.Idempotent).To(BeFalse())
		}
	})

	It("does not get a 503 when an earlier attempt may have run", func() {
		first := true
		_, address := start(setup{idempotent: true, attempts: 2, hosts: 2, budget: largeBudget}, func(string, hop.Meta) *egress.Answer {
			if first {
				first = false
				return connectionLost()
			}
			return egress.Refusal(call.NotRun, call.ReasonOverload)
		})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("gets a 503 when an upstream rejects it and no retry budget is left", func() {
		sender, address := start(setup{attempts: 2, hosts: 3, budget: ingress.RetryBudget{Ratio: 0, Slack: 0, Window: time.Second}},
			func(string, hop.Meta) *egress.Answer {
				answer := egress.Refusal(call.NotRun, call.ReasonRejected)
				answer.Meta.ReachedUpstream = true
				return answer
			})
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(sender.attempts()).To(HaveLen(1))
	})

	It("is answered at its route's timeout, and attempts carry the remaining time", func() {
		sender, address := start(setup{idempotent: true, attempts: 1, hosts: 2, timeout: 300 * time.Millisecond, budget: largeBudget},
			func(string, hop.Meta) *egress.Answer { return nil })
		began := time.Now()
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 300*time.Millisecond))
		Expect(sender.attempts()[0].meta.Remaining).To(BeNumerically("<=", 300*time.Millisecond))
	})

	It("is retried within the node's share of the retry budget when attempts fail", func() {
		budget := ingress.RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
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
			return connectionLost()
		})
		for i := range requests {
			get(address, fmt.Sprint(i))
		}
		// The slack is divided equally among the nodes.
		Expect(float64(arrivals)).To(BeNumerically("<=", requests+budget.Ratio*requests+budget.Slack/hosts))
	})

	DescribeTable("prefers its own failure domain if responses are long and it would not wait long there",
		func(bytes int64, running, waiting uint32, local bool) {
			loads := []call.Load{{Running: running, Waiting: waiting, Limit: 10, Slowdown: 5}, {Limit: 10}, {Limit: 10}}
			sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget, meanResponseBytes: bytes, loads: loads},
				func(string, hop.Meta) *egress.Answer { return egress.Refusal(call.NotRun, call.ReasonOverload) })
			get(address, "a")
			first := sender.attempts()[0]
			Expect(first.host == "h0").To(Equal(local))
			Expect(first.meta.Declinable).To(Equal(!local), "a slow host in the own domain must not decline")
		},
		Entry("short responses", int64(400), uint32(0), uint32(0), false),
		Entry("long responses", int64(90_000), uint32(0), uint32(0), true),
		Entry("long responses, no free slots", int64(90_000), uint32(10), uint32(0), true),
		Entry("long responses, a long queue", int64(90_000), uint32(10), uint32(10), false),
	)

	It("of a route with long responses stays in its failure domain before the first response", func() {
		loads := []call.Load{{Limit: 10, Slowdown: 5}, {Limit: 10}, {Limit: 10}}
		sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget, loads: loads, longResponses: true},
			func(string, hop.Meta) *egress.Answer { return egress.Refusal(call.NotRun, call.ReasonOverload) })
		get(address, "a")
		Expect(sender.attempts()[0].host).To(Equal("h0"))
	})

	DescribeTable("that is declined in its own failure domain",
		func(bytes int64, returns bool) {
			loads := []call.Load{{Limit: 10, Slowdown: 1}, {Limit: 10}, {Limit: 10}}
			sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget, meanResponseBytes: bytes, loads: loads},
				func(string, hop.Meta) *egress.Answer {
					refusal := egress.Refusal(call.NotRun, call.ReasonOverload)
					refusal.Meta.Load = &call.Load{Running: 10, Limit: 10, Slowdown: 1}
					return refusal
				})
			get(address, "a")
			first, second := sender.attempts()[0], sender.attempts()[1]
			Expect(first.host).To(Equal("h0"))
			Expect(first.meta.Declinable).To(BeTrue())
			Expect(second.host == "h0").To(Equal(returns))
			if returns {
				Expect(second.meta.Declinable).To(BeFalse())
				Expect(second.meta.MaxWait).To(BeNumerically(">", 0), "the second attempt is queued")
			}
		},
		Entry("returns to be queued there if its transfer costs more", int64(9_000), true),
		Entry("goes to another one if its transfer costs little", int64(400), false),
	)

	It("is hedged again when the gate of the hedge declines it", func() {
		var mu sync.Mutex
		hedges := 0
		sender, address := start(setup{
			idempotent: true, attempts: 2, hosts: 4, budget: largeBudget, timeout: time.Second, objective: 100 * time.Millisecond,
		}, func(_ string, meta hop.Meta) *egress.Answer {
			mu.Lock()
			defer mu.Unlock()
			if !meta.Repeated {
				return nil
			}
			hedges++
			if hedges == 1 {
				return egress.Refusal(call.NotRun, call.ReasonSlowed)
			}
			return nil
		})
		began := time.Now()
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusGatewayTimeout))
		attempts := sender.attempts()
		Expect(attempts).To(HaveLen(3))
		Expect(attempts[2].at.Sub(began)).To(BeNumerically("<", 300*time.Millisecond), "the second hedge follows at once")
	})

	DescribeTable("that takes long is hedged",
		func(bytes int64, attempts int) {
			loads := []call.Load{{Limit: 10}, {Limit: 10}, {Limit: 10}}
			sender, address := start(setup{
				idempotent: true, attempts: 2, hosts: 3, budget: largeBudget, meanResponseBytes: bytes, loads: loads,
				timeout: 300 * time.Millisecond, objective: 100 * time.Millisecond,
			}, func(string, hop.Meta) *egress.Answer { return nil })
			Expect(get(address, "a").StatusCode).To(Equal(http.StatusGatewayTimeout))
			Expect(sender.attempts()).To(HaveLen(attempts))
		},
		Entry("in another failure domain", int64(400), 2),
		Entry("only in its own if responses are long", int64(90_000), 1),
	)
})
