package ingress

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/route"
)

// sessionOfCallers returns a request to the first of two services, each run of which calls
// the second once. Host i has an upstream of the service that serviceOf returns, in failure
// domain i modulo domains.
func sessionOfCallers(hosts, domains int, serviceOf func(i int) string) *session {
	table, err := route.NewTable(route.Definition{
		Revision: 1, Services: map[string]route.Service{"stock": {}, "price": {}},
		Routes: []route.Route{{Name: "r", Host: "x", Prefix: "/", Targets: []route.WeightedService{{Service: "stock", Weight: 1}}}},
	})
	if err != nil {
		panic(err)
	}
	view := fleet.NewView()
	for i := range hosts {
		name := fmt.Sprint("h", i)
		view.Merge(time.Now(), fleet.Beacon{
			Host: name, Incarnation: 1, Sequence: 1, CallAddress: name, GossipAddress: name, Service: serviceOf(i),
			Upstream: "u", Phase: fleet.Ready, Slots: 6, FailureDomain: fmt.Sprint("z", i%domains),
		})
	}
	in := New("z0", func() *route.Table { return table }, func() string { return "stock" }, view, nil,
		WithLeavingByRoom(locality.NewPrices(12<<10, 1, 2)))
	for range minNestedSamples {
		in.nestedCalls.observe(nestedKey{"r", "stock"}, map[string]int{"price": 1})
	}
	return &session{in: in, table: table, route: table.Match("x", "/"), service: "stock", received: time.Now(), request: &http1.Request{}}
}

var _ = Describe("the nested calls that a run would have to send away", func() {
	// away returns them by failure domain, if price is served in the given ones of three.
	away := func(priceIn ...int) map[string]float64 {
		s := sessionOfCallers(3+len(priceIn)*3, 3, func(i int) string {
			for at, domain := range priceIn {
				if i == 3+at*3+domain {
					return "price"
				}
			}
			return "stock"
		})
		result := map[string]float64{}
		for _, domain := range s.domainsOf(time.Now(), s.in.view.Serving("stock")) {
			result[domain.Name] = domain.NestedAway
		}
		return result
	}

	It("count where no upstream answers them", func() {
		Expect(away(0, 1)).To(Equal(map[string]float64{"z0": 0, "z1": 0, "z2": 1}))
	})

	It("do not count if the own failure domain has none, either", func() {
		Expect(away(1)).To(Equal(map[string]float64{"z0": 0, "z1": 0, "z2": 0}))
	})
})

func BenchmarkAddNestedCalls(b *testing.B) {
	s := sessionOfCallers(65, 6, func(i int) string {
		if i < 39 {
			return "stock"
		}
		return "price"
	})
	domains := s.domainsOf(time.Now(), s.in.view.Serving("stock"))
	for b.Loop() {
		s.addNestedCalls(domains)
	}
}
