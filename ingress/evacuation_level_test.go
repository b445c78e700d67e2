package ingress_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/timeline"
)

// The pattern: operators evacuate a failure domain while the upstreams that are left are
// full. The upstreams there run nothing and report free slots, which nobody may use.
var _ = Describe("the level of a service in an evacuated failure domain", func() {
	// excess returns the level after full upstreams in z1 and free ones in z2 have
	// reported.
	excess := func(evacuated ...string) float32 {
		view := fleet.NewView()
		set := evacuation.Snapshot(timeline.NewPosition(0, 1), evacuated...)
		in := ingress.New("z1", func() *route.Table { return nil }, func() string { return "stock" }, view, &fakeSender{},
			ingress.WithEvacuation(func() evacuation.Set { return set }))
		for _, domain := range []string{"z1", "z2"} {
			for _, suffix := range []string{"-a", "-b", "-c", "-d"} {
				name := domain + suffix
				b := fleet.Beacon{
					Host: name, Incarnation: 1, Sequence: 1, CallAddress: name, GossipAddress: name, FailureDomain: domain,
					Service: "stock", Upstream: "u", Phase: fleet.Ready, Slots: 6, Load: call.Load{Limit: 6},
				}
				if domain == "z1" {
					b.Load = call.Load{Limit: 6, Running: 6, Waiting: 2, NestedExcess: 0.5}
				}
				view.Merge(time.Now(), b)
				in.UpdateLoad(&b)
			}
		}
		return in.NestedExcess()["stock"]
	}

	It("counts free slots that calls may use", func() {
		Expect(excess()).To(BeZero())
	})

	It("does not count the reports from there", func() {
		Expect(excess("z2")).To(BeNumerically("~", 0.5, 0.01))
	})
})
