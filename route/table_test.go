package route_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

func definition(routes ...route.Route) route.Definition {
	return route.Definition{
		Revision: 7, Routes: routes,
		Services: map[string]route.Service{"stock": {}, "pay": {}, "archive": {}},
	}
}

func simple(name, prefix, service string) route.Route {
	return route.Route{Name: name, Host: "shop.example", Prefix: prefix, Targets: []route.WeightedService{{Service: service, Weight: 1}}}
}

var _ = Describe("a table", func() {
	It("matches the longest prefix of the host", func() {
		table, err := route.NewTable(definition(
			simple("all", "/", "stock"), simple("pay", "/pay/", "pay"), simple("old", "/pay/old/", "archive"),
		))
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Match("shop.example", "/pay/old/1").Name).To(Equal("old"))
		Expect(table.Match("SHOP.example:8080", "/pay/1").Name).To(Equal("pay"))
		Expect(table.Match("shop.example", "/payment").Name).To(Equal("all"))
		Expect(table.Match("other.example", "/pay/1")).To(BeNil())
	})

	It("matches the weights within a short series", func() {
		r := simple("split", "/", "stock")
		r.Targets = []route.WeightedService{{Service: "stock", Weight: 90}, {Service: "pay", Weight: 10}}
		table, err := route.NewTable(definition(r))
		Expect(err).NotTo(HaveOccurred())
		counts := map[string]int{}
		for range 200 {
			counts[table.Match("shop.example", "/x").NextService()]++
		}
		Expect(counts).To(Equal(map[string]int{"stock": 180, "pay": 20}))
	})

	DescribeTable("rejects a definition with an invalid route",
		func(change func(*route.Route)) {
			r := simple("r", "/a/", "stock")
			change(&r)
			_, err := route.NewTable(definition(simple("other", "/b/", "pay"), r))
			Expect(err).To(HaveOccurred())
		},
		Entry("with an unknown service", func(r *route.Route) { r.Targets[0].Service = "nobody" }),
		Entry("without a service", func(r *route.Route) { r.Targets = nil }),
		Entry("with a negative weight", func(r *route.Route) { r.Targets[0].Weight = -1 }),
		Entry("with a negative timeout", func(r *route.Route) { r.Timeout = -1 }),
		Entry("with a prefix without slashes", func(r *route.Route) { r.Prefix = "a" }),
		Entry("with the host and prefix of another route", func(r *route.Route) { r.Prefix = "/b/" }),
	)
})
