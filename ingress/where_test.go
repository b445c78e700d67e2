package ingress_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/route"
)

var _ = Describe("the explanation of where a request would go", func() {
	var view *fleet.View
	var table *route.Table
	var in *ingress.Ingress
	regions := map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	create := func(options ...ingress.Option) {
		sender := &fakeSender{do: func(string, hop.Meta) *egress.Answer {
			Fail("nothing must be sent")
			return nil
		}}
		in = ingress.New("z1", func() *route.Table { return table }, func() string { return "stock" }, view, sender, append([]ingress.Option{
			ingress.WithHost("h0"), ingress.WithSeed(1), ingress.WithRegions(func(domain string) string { return regions[domain] }),
		}, options...)...)
	}
	add := func(host, domain string, phase fleet.Phase, load call.Load) {
		b := fleet.Beacon{
			Host: host, Incarnation: 1, Sequence: 1, CallAddress: host, GossipAddress: host, FailureDomain: domain,
			Service: "stock", Upstream: "u", Phase: phase, Slots: 10, Load: load,
		}
		view.Merge(time.Now(), b)
		in.UpdateLoad(&b)
	}
	BeforeEach(func() {
		view = fleet.NewView()
		studio, err := organisation.New("studio", []string{"key-of-studio"}, organisation.WithPriority(2),
			organisation.WithRegions("r1"), organisation.WithQuota(organisation.Quota{Rate: 50}))
		Expect(err).NotTo(HaveOccurred())
		directory, err := organisation.NewDirectory([]*organisation.Organisation{studio})
		Expect(err).NotTo(HaveOccurred())
		table, err = route.NewTable(route.Definition{
			Revision: 7, Services: map[string]route.Service{"stock": {}, "crate": {}}, Organisations: directory,
			Routes: []route.Route{
				{Name: "r", Host: "x", Prefix: "/", Objective: 300 * time.Millisecond, MaxAttempts: 2, Targets: []route.WeightedService{{Service: "stock", Weight: 1}}},
				{Name: "split", Host: "y", Prefix: "/", MaxAttempts: 2, Targets: []route.WeightedService{{Service: "stock", Weight: 1}, {Service: "crate", Weight: 1}}},
			},
		})
		Expect(err).NotTo(HaveOccurred())
	})

	It("names the candidates, the excluded ones and the choice", func() {
		create()
		add("h0", "z1", fleet.Ready, call.Load{Running: 9, Limit: 10})
		add("h1", "z1", fleet.Ready, call.Load{Running: 2, Limit: 10})
		add("h2", "z2", fleet.Draining, call.Load{Limit: 10})
		add("h3", "z3", fleet.Ready, call.Load{Limit: 10})
		p, err := in.Where(ingress.Query{Host: "x", Path: "/a", Organisation: "studio"})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Route).To(Equal("r"))
		Expect(p.Revision).To(Equal(uint64(7)))
		Expect(p.Organisation).To(Equal("studio"))
		Expect(p.QuotaRate).To(Equal(50.0))
		Expect(p.Choice).To(Equal("h1"))
		excluded := map[string]string{}
		for _, u := range p.Peers {
			excluded[u.Host] = u.Excluded
		}
		Expect(excluded).To(Equal(map[string]string{"h0": "", "h1": "", "h2": "draining", "h3": "region"}))
		Expect(p.Peers[0].Host).To(Equal("h1"))
		Expect(p.Peers[0].Cost.Load).To(BeNumerically("~", 0.2, 1e-9))
		Expect(p.Peers[0].Total).To(BeNumerically("<", p.Peers[1].Total))
	})

	It("says why nothing is left", func() {
		create()
		add("h3", "z3", fleet.Ready, call.Load{Limit: 10})
		p, err := in.Where(ingress.Query{Host: "x", Path: "/a", Organisation: "studio"})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Choice).To(BeEmpty())
		Expect(p.Reason).To(Equal(string(call.ReasonNoRegion)))
	})

	It("shows the costs of the failure domains, and changes no shares, counts or weights", func() {
		create(ingress.WithLeavingByRoom(locality.NewPrices(12<<10, 1, 2)))
		add("h0", "z1", fleet.Ready, call.Load{Running: 10, Waiting: 10, Limit: 10})
		add("h2", "z2", fleet.Ready, call.Load{Limit: 10})
		add("h3", "z3", fleet.Ready, call.Load{Limit: 10})
		first, err := in.Where(ingress.Query{Host: "x", Path: "/a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Leaves).To(Equal("by-room"))
		Expect(first.Domains).To(HaveLen(3))
		Expect(first.Domains[1].Way).To(Equal("between-domains"))
		Expect(first.Domains[1].Share).To(BeNumerically(">", 0.3))
		Expect(first.Domains[2].DelayCost).To(BeNumerically(">", first.Domains[1].DelayCost))
		services := map[string]int{}
		for range 50 {
			again, err := in.Where(ingress.Query{Host: "x", Path: "/a"})
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Peers).To(HaveLen(3))
			for i := range again.Domains {
				Expect(again.Domains[i].Share).To(BeNumerically("~", first.Domains[i].Share, 0.01), "reports age")
			}
			split, err := in.Where(ingress.Query{Host: "y", Path: "/a"})
			Expect(err).NotTo(HaveOccurred())
			services[split.Service]++
		}
		Expect(services).To(HaveLen(1))
		Expect(in.LeavingShare()).To(BeZero())
		route := table.Match("y", "/a")
		Expect(route.NextService()).To(Equal("stock"))
		Expect(route.PeekService()).To(Equal("crate"))
		Expect(route.NextService()).To(Equal("crate"))
	})

	It("has clear errors", func() {
		create()
		_, err := in.Where(ingress.Query{Host: "z", Path: "/a"})
		Expect(err).To(MatchError(ContainSubstring(`no route matches host "z" and path "/a"`)))
		_, err = in.Where(ingress.Query{Host: "x", Path: "/a", Service: "crate"})
		Expect(err).To(MatchError(ContainSubstring(`leads to stock, not to service "crate"`)))
		_, err = in.Where(ingress.Query{Host: "x", Path: "/a", Organisation: "none"})
		Expect(err).To(MatchError(ContainSubstring(`no organisation "none"`)))
	})
})
