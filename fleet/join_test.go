package fleet_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/fleet"
)

var _ = Describe("joining", func() {
	DescribeTable("lets few nodes of a new fleet register first",
		func(nodes int) {
			rng := rand.New(rand.NewPCG(1, uint64(nodes)))
			const fleets, spread = 200, 400 * time.Millisecond
			early := 0
			for range fleets {
				delays := make([]time.Duration, nodes)
				shortest := time.Hour
				for i := range delays {
					delays[i] = fleet.RegistrationDelay(1 - rng.Float64())
					Expect(delays[i]).To(BeNumerically("<=", 3*time.Second))
					shortest = min(shortest, delays[i])
				}
				for _, delay := range delays {
					if delay-shortest <= spread {
						early++
					}
				}
			}
			Expect(float64(early) / fleets).To(BeNumerically("<", 8))
		},
		Entry(nil, 1), Entry(nil, 13), Entry(nil, 65), Entry(nil, 295), Entry(nil, 430),
	)

	It("ranks live nodes that reach the store, in a failure domain or all", func() {
		v := fleet.NewView()
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		for _, name := range names {
			b := beacon(name, 1, 1)
			b.FailureDomain = "z1"
			v.Merge(start, b)
		}
		anchors := func(countSilent bool) (selected []string) {
			for _, name := range names {
				if fleet.IsAnchor(v.Rank(name, "z1", countSilent)) {
					selected = append(selected, name)
				}
			}
			return selected
		}
		first := anchors(false)
		Expect(first).To(HaveLen(3))
		Expect(v.Rank("a", "z2", false)).To(Equal(fleet.Rank{Connected: 1}))
		unreachable := beacon(first[0], 1, 2)
		unreachable.FailureDomain, unreachable.StoreUnreachable = "z1", true
		v.Merge(start, unreachable)
		Expect(anchors(false)).To(HaveLen(4), "another one stands in")
		v.Expire(start.Add(time.Second))
		Expect(anchors(false)).To(HaveLen(8), "each knows no other one")
		Expect(anchors(true)).To(HaveLen(4))
	})

	It("reports a later incarnation of the sender of a beacon", func() {
		v := fleet.NewView()
		v.Merge(start, beacon("a", 7, 1))
		result := v.Merge(start, beacon("a", 6, 9))
		Expect(result.Later).NotTo(BeNil())
		Expect(result.Later.Incarnation).To(Equal(int64(7)))
	})
})

var _ = Describe("a roster", func() {
	It("holds the nodes that are not silent, and the one that asks", func() {
		v := fleet.NewView()
		for _, name := range []string{"a", "b", "c"} {
			v.Merge(start, beacon(name, 1, 1))
		}
		later := start.Add(time.Second)
		loaded := beacon("a", 1, 2)
		loaded.Load = call.Load{Running: 3, Limit: 8}
		v.Merge(later, loaded)
		v.Expire(later)
		data, err := fleet.EncodeRoster(v.Roster("b"))
		Expect(err).NotTo(HaveOccurred())
		roster, err := fleet.DecodeRoster(data)
		Expect(err).NotTo(HaveOccurred())
		names := map[string]call.Load{}
		for _, b := range roster {
			names[b.Host] = b.Load
		}
		Expect(names).To(Equal(map[string]call.Load{"a": {}, "b": {}}))
	})

	It("adds unknown and silent nodes and keeps what is newer", func() {
		v := fleet.NewView()
		v.Merge(start, beacon("a", 1, 5))
		draining := beacon("a", 1, 4)
		draining.Phase = fleet.Draining
		v.MergeRoster(start, []fleet.Beacon{draining, beacon("b", 1, 1)}, time.Minute)
		Expect(hosts(v.Serving("stock"))).To(ConsistOf("a", "b"))
		later := start.Add(time.Second)
		Expect(hosts(v.Expire(later))).To(ConsistOf("a"), "the next beacon of b is due in a minute")
		v.MergeRoster(later, []fleet.Beacon{draining}, time.Minute)
		Expect(hosts(v.Live(""))).To(ConsistOf("b"), "an older beacon is no sign of life")
		v.MergeRoster(later, []fleet.Beacon{beacon("a", 1, 5)}, time.Minute)
		Expect(hosts(v.Live(""))).To(ConsistOf("a", "b"))
	})

	It("is rejected if it is malformed, and read without beacons that are incomplete", func() {
		_, err := fleet.DecodeRoster([]byte("noise"))
		Expect(err).To(HaveOccurred())
		data, err := fleet.EncodeRoster([]fleet.Beacon{{Host: "a"}, beacon("b", 1, 1)})
		Expect(err).NotTo(HaveOccurred())
		roster, err := fleet.DecodeRoster(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(roster).To(HaveLen(1))
	})
})

var _ = Describe("a node that calls failed to reach", func() {
	It("is silent and pinged until it sends a message", func() {
		v := fleet.NewView()
		v.Merge(start, beacon("a", 1, 1))
		v.Merge(start, beacon("b", 1, 1))
		called := start.Add(100 * time.Millisecond)
		Expect(v.Suspect(called.Add(time.Second), start.Add(-time.Second), "a")).To(BeFalse(), "it has sent a beacon since the call")
		Expect(v.Suspect(called.Add(time.Millisecond), called, "a")).To(BeTrue())
		Expect(hosts(v.Serving("stock"))).To(ConsistOf("b"))
		Expect(v.Suspects(called)).To(HaveLen(1))
		Expect(v.Merge(called, beacon("a", 1, 2)).WasSilent).To(BeTrue())
		Expect(v.Suspects(called)).To(BeEmpty())
		Expect(hosts(v.Serving("stock"))).To(ConsistOf("a", "b"))
	})

	It("is no longer pinged after a while, and never if it only sent no beacon", func() {
		v := fleet.NewView()
		v.Merge(start, beacon("a", 1, 1))
		v.Merge(start, beacon("b", 1, 1))
		called := start.Add(time.Millisecond)
		Expect(v.Suspect(called, called, "a")).To(BeTrue())
		later := called.Add(time.Minute)
		Expect(hosts(v.Expire(later))).To(ConsistOf("b"))
		Expect(v.Suspects(later)).To(BeEmpty())
	})
})
