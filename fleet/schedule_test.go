package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/fleet"
)

var _ = Describe("the schedule of beacons", func() {
	schedule := fleet.Schedule{Local: 1, Remote: 2, Gossip: 30}

	DescribeTable("announces the next beacon", func(t fleet.Turn, interval time.Duration) {
		Expect(schedule.Next(t)).To(Equal(interval))
	},
		Entry("to a caller", fleet.Turn{Frequent: true}, schedule.Local),
		Entry("to a caller in another domain", fleet.Turn{Frequent: true, Remote: true, RemoteRound: true}, schedule.Remote),
		Entry("not to a caller in another domain in each round", fleet.Turn{Frequent: true, Remote: true, Rotation: true}, time.Duration(0)),
		Entry("to a caller in another domain on a change", fleet.Turn{Frequent: true, Remote: true, All: true}, schedule.Remote),
		Entry("at once to a node that no longer calls", fleet.Turn{WasFrequent: true, Remote: true}, schedule.Gossip),
		Entry("to a node whose turn it is", fleet.Turn{Rotation: true}, schedule.Gossip),
		Entry("to all on a change", fleet.Turn{All: true, Remote: true}, schedule.Gossip),
		Entry("to nobody else", fleet.Turn{Remote: true, RemoteRound: true}, time.Duration(0)),
	)

	It("leaves a node that called now and then never longer without a beacon than was announced", func() {
		v := fleet.NewView()
		now, sequence := start, uint64(0)
		calls := func(round int) bool { return round < 20 || round > 200 && round < 210 }
		former := false
		for round := range 400 {
			now = now.Add(225 * time.Millisecond)
			turn := fleet.Turn{
				Frequent: calls(round), WasFrequent: former, Remote: true,
				RemoteRound: round%2 == 0, Rotation: round%148 == 0,
			}
			former = turn.Frequent
			intervals := fleet.Schedule{Local: 225 * time.Millisecond, Remote: 450 * time.Millisecond, Gossip: 148 * 225 * time.Millisecond}
			if interval := intervals.Next(turn); interval > 0 {
				sequence++
				b := beacon("a", 1, sequence)
				b.Interval = interval
				v.Merge(now, b)
			}
			Expect(v.Expire(now)).To(BeEmpty(), "round %d", round)
		}
	})
})
