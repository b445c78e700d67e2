package ingress_test

import (
	"cmp"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/timeline"
)

// spread is a service with two upstreams in each of the failure domains z1 to z4; z1 and z2
// are in the region north, z3 and z4 in the region south.
type spread struct {
	// reasons receives why each request ended.
	reasons chan call.Reason
	table   func() *route.Table
	do      sendFunc
	options []ingress.Option
	// service is that of the host, stock if it is empty.
	service string
}

func regionOf(failureDomain string) string {
	return map[string]string{"z1": "north", "z2": "north", "z3": "south", "z4": "south"}[failureDomain]
}

// domainOf returns the failure domain of a host of a spread service.
func domainOf(host string) string { return host[:2] }

// start serves an Ingress in z1, and returns its sender and address.
func (s *spread) start() (*fakeSender, string) {
	GinkgoHelper()
	view := fleet.NewView()
	for _, domain := range []string{"z1", "z2", "z3", "z4"} {
		for _, suffix := range []string{"-a", "-b"} {
			name := domain + suffix
			view.Merge(time.Now(), fleet.Beacon{
				Host: name, Incarnation: 1, Sequence: 1, CallAddress: name, GossipAddress: name, FailureDomain: domain,
				Service: "stock", Upstream: "u", Phase: fleet.Ready, Slots: 10,
			})
		}
	}
	sender := &fakeSender{do: s.do}
	s.reasons = make(chan call.Reason, 1000)
	options := append([]ingress.Option{
		ingress.WithRetryBudget(largeBudget), ingress.WithStart(time.Now().Add(-time.Minute)), ingress.WithSeed(1),
		ingress.WithRegions(regionOf), ingress.WithObserver(func(o ingress.Observation) { s.reasons <- o.Reason }),
	}, s.options...)
	in := ingress.New("z1", s.table, func() string { return cmp.Or(s.service, "stock") }, view, sender, options...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := http1.NewServer(listener, in, func() http1.Limits { return http1.Limits{} })
	DeferCleanup(server.Close)
	return sender, listener.Addr().String()
}

// stockRoute is an idempotent route to the service, whose requests are hedged.
func stockRoute(regions ...string) route.Route {
	return route.Route{
		Name: "r", Host: "x", Prefix: "/", Idempotent: true, Timeout: 400 * time.Millisecond, Objective: 50 * time.Millisecond,
		MaxAttempts: 3, Priority: 2, Regions: regions, Targets: []route.WeightedService{{Service: "stock", Weight: 1}},
	}
}

// newTable returns a table with the routes and organisations.
func newTable(routes []route.Route, organisations ...*organisation.Organisation) func() *route.Table {
	GinkgoHelper()
	directory, err := organisation.NewDirectory(organisations)
	Expect(err).NotTo(HaveOccurred())
	table, err := route.NewTable(route.Definition{
		Revision: 1, Routes: routes, Organisations: directory,
		Services: map[string]route.Service{"stock": {}},
	})
	Expect(err).NotTo(HaveOccurred())
	return func() *route.Table { return table }
}

// newOrganisation returns an organisation whose key is its name and "-key".
func newOrganisation(name string, options ...organisation.Option) *organisation.Organisation {
	GinkgoHelper()
	o, err := organisation.New(name, []string{name + "-key"}, options...)
	Expect(err).NotTo(HaveOccurred())
	return o
}

// domainsOf returns the failure domains that attempts were sent to.
func domainsOf(attempts []sentAttempt) map[string]bool {
	domains := map[string]bool{}
	for _, a := range attempts {
		domains[domainOf(a.host)] = true
	}
	return domains
}

// knownEvacuation is the evacuation that an ingress knows.
type knownEvacuation struct{ atomic.Pointer[evacuation.Set] }

func newEvacuation() *knownEvacuation {
	known := &knownEvacuation{}
	known.Store(&evacuation.Set{})
	return known
}

func (k *knownEvacuation) get() evacuation.Set { return *k.Load() }

func (k *knownEvacuation) set(revision uint64, domains ...string) {
	set := evacuation.Update(timeline.NewPosition(0, revision), domains...)
	k.Store(&set)
}

// The ways in which a request comes to a second upstream.
var furtherAttempts = []TableEntry{
	Entry("a lost answer", connectionLost),
	Entry("a rejection by the gate", func() *egress.Answer { return egress.Refusal(call.NotRun, call.ReasonOverload) }),
	Entry("no answer, so that it is hedged", func() *egress.Answer { return nil }),
}

var _ = Describe("an evacuated failure domain", func() {
	DescribeTable("gets no attempt, first or further, after",
		func(answer func() *egress.Answer) {
			// The evacuation comes while a request is in progress.
			known := newEvacuation()
			s := spread{
				table: newTable([]route.Route{stockRoute()}), do: func(string, hop.Meta) *egress.Answer {
					known.set(2, "z1", "z3")
					return answer()
				},
				options: []ingress.Option{ingress.WithEvacuation(known.get)},
			}
			sender, address := s.start()
			for range 5 {
				get(address, "a")
			}
			attempts := sender.attempts()
			Expect(len(attempts)).To(BeNumerically(">=", 10))
			domains := domainsOf(attempts[1:])
			Expect(domains).To(HaveLen(2))
			Expect(domains).To(HaveKey("z2"))
			Expect(domains).To(HaveKey("z4"))
		}, furtherAttempts)

	It("leaves a request without an upstream if all are evacuated: it is rejected at once", func() {
		known := newEvacuation()
		known.set(2, "z1", "z2", "z3", "z4")
		s := spread{
			table:   newTable([]route.Route{stockRoute()}),
			options: []ingress.Option{ingress.WithEvacuation(known.get)},
		}
		sender, address := s.start()
		began := time.Now()
		Expect(get(address, "a").StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond), "the timeout is 400 ms")
		Expect(s.reasons).To(Receive(Equal(call.ReasonEvacuated)))
		Expect(sender.attempts()).To(BeEmpty())
		known.set(3, "z1", "z2", "z3")
		sender.do = func(string, hop.Meta) *egress.Answer { return connectionLost() }
		get(address, "b")
		Expect(domainsOf(sender.attempts())).To(Equal(map[string]bool{"z4": true}))
	})
})

var _ = Describe("a request that must stay in some regions", func() {
	abroad := organisation.WithRegions("south", "west")

	DescribeTable("reaches, and has its body sent to, no other after",
		func(answer func() *egress.Answer) {
			s := spread{
				table: newTable([]route.Route{stockRoute("south")}), do: func(string, hop.Meta) *egress.Answer { return answer() },
			}
			sender, address := s.start()
			for range 5 {
				get(address, "a")
			}
			attempts := sender.attempts()
			Expect(len(attempts)).To(BeNumerically(">=", 10))
			Expect(domainsOf(attempts)).To(Equal(map[string]bool{"z3": true, "z4": true}))
		}, furtherAttempts)

	DescribeTable("is bound by both its route and its organisation",
		func(routeRegions []string, want map[string]bool, organisationRegions ...string) {
			s := spread{
				table: newTable([]route.Route{stockRoute(routeRegions...)}, newOrganisation("shop", organisation.WithRegions(organisationRegions...))),
				do:    rejectAll,
			}
			sender, address := s.start()
			began := time.Now()
			for range 10 {
				Expect(ask(address, "a", withKey("shop-key")).StatusCode).To(Equal(http.StatusServiceUnavailable))
			}
			Expect(domainsOf(sender.attempts())).To(Equal(want))
			if len(want) == 0 {
				Expect(time.Since(began)).To(BeNumerically("<", time.Second), "each is rejected at once")
				Expect(s.reasons).To(Receive(Equal(call.ReasonNoRegion)))
			}
		},
		Entry("neither", nil, map[string]bool{"z1": true, "z2": true, "z3": true, "z4": true}),
		Entry("the organisation", nil, map[string]bool{"z3": true, "z4": true}, "south"),
		Entry("the route", []string{"north"}, map[string]bool{"z1": true, "z2": true}),
		Entry("both", []string{"north", "south"}, map[string]bool{"z3": true, "z4": true}, "south", "west"),
		Entry("both, with none in common", []string{"north"}, map[string]bool{}, "south"),
		Entry("a region without upstreams", []string{"west"}, map[string]bool{}),
	)

	It("is rejected at once if the rest is evacuated", func() {
		known := newEvacuation()
		known.set(2, "z3", "z4")
		s := spread{
			table:   newTable([]route.Route{stockRoute()}, newOrganisation("shop", abroad)),
			options: []ingress.Option{ingress.WithEvacuation(known.get)},
		}
		sender, address := s.start()
		Expect(ask(address, "a", withKey("shop-key")).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(s.reasons).To(Receive(Equal(call.ReasonEvacuated)))
		Expect(sender.attempts()).To(BeEmpty())
	})

	It("keeps to the regions of its run's organisation if it is a nested call", func() {
		s := spread{
			table: newTable([]route.Route{stockRoute()}, newOrganisation("shop", abroad)), do: rejectAll,
			options: []ingress.Option{ingress.WithParentLookup(func(id, _ string, _ int) (egress.Run, bool) {
				return egress.Run{Organisation: "shop"}, id == "running"
			})},
		}
		sender, address := s.start()
		for range 5 {
			ask(address, "running.1")
		}
		Expect(domainsOf(sender.attempts())).To(Equal(map[string]bool{"z3": true, "z4": true}))
	})
})
