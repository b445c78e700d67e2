package route_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/organisation"
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

	It("matches like a scan of all prefixes, among many", func() {
		var routes []route.Route
		for i := range 40 {
			routes = append(routes, simple(fmt.Sprint("a", i), fmt.Sprintf("/a-%d/", i), "stock"),
				simple(fmt.Sprint("b", i), fmt.Sprintf("/a-%d/b/", i), "stock"))
		}
		routes = append(routes, simple("empty segment", "/a-1//", "stock"))
		table, err := route.NewTable(definition(slices.Clone(routes)...))
		Expect(err).NotTo(HaveOccurred())
		for _, path := range []string{
			"/a-1/", "/a-1", "/a-1/b", "/a-1/b/", "/a-1/b/c/d", "/a-1//", "/a-1//b/", "/a-11/b/x", "/", "", "*", "//", "/b/a-1/",
			"/a-1/b" + strings.Repeat("/", 16<<10),
		} {
			want, longest := "", 0
			for _, r := range routes {
				if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
					want, longest = r.Name, len(r.Prefix)
				}
			}
			got := ""
			if r := table.Match("shop.example", path); r != nil {
				got = r.Name
			}
			Expect(got).To(Equal(want), path)
		}
	})

	It("names the regions of its routes and organisations", func() {
		abroad, err := organisation.New("abroad", []string{"k"}, organisation.WithRegions("west", "east"))
		Expect(err).NotTo(HaveOccurred())
		d := definition(simple("all", "/", "stock"))
		d.Routes[0].Regions = []string{"north", "east"}
		d.Organisations, err = organisation.NewDirectory([]*organisation.Organisation{abroad})
		Expect(err).NotTo(HaveOccurred())
		table, err := route.NewTable(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Regions()).To(Equal([]string{"east", "north", "west"}))
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

// manyRoutes returns the routes of a configuration that grew by 1,400.
func manyRoutes() []route.Route {
	routes := []route.Route{simple("all", "/", "stock")}
	for i := range 1400 {
		routes = append(routes, simple(fmt.Sprint("added-", i), fmt.Sprintf("/added/%d/", i), "stock"))
	}
	return routes
}

func BenchmarkNewTableWithManyRoutes(b *testing.B) {
	for b.Loop() {
		if _, err := route.NewTable(definition(manyRoutes()...)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatchAmongManyRoutes(b *testing.B) {
	table, err := route.NewTable(definition(manyRoutes()...))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if table.Match("shop.example", "/view/7/details").Name != "all" {
			b.Fatal("no match")
		}
	}
}
