package evacuation_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/timeline"
)

// at returns the position of a revision in the first timeline.
func at(revision uint64) timeline.Position { return timeline.NewPosition(1, revision) }

func TestTheHigherRevisionReplacesTheOtherWhole(t *testing.T) {
	g := NewWithT(t)
	two := evacuation.Snapshot(at(7), "z2", "z1", "z2")
	g.Expect(two.Domains()).To(Equal([]string{"z1", "z2"}))
	one := evacuation.Update(at(9), "z1")
	for _, merged := range []evacuation.Set{two.Merge(one), one.Merge(two)} {
		g.Expect(merged.Has("z1")).To(BeTrue())
		g.Expect(merged.Has("z2")).To(BeFalse())
		g.Expect(merged.Position()).To(Equal(at(9)))
	}
	g.Expect(two.Has("z2")).To(BeTrue(), "a set never changes")
}

func TestAnEvacuationThatNeverWasIsNotAnnounced(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []evacuation.Set{{}, evacuation.Snapshot(at(5)), evacuation.Snapshot(at(5)).Merge(evacuation.Update(at(0)))} {
		position, domains := s.Announcement()
		g.Expect(position.IsZero()).To(BeTrue())
		g.Expect(domains).To(BeEmpty())
	}
}

// The pattern: a node that was cut off still holds an evacuation that has ended. All that
// heard of the end have restarted since, and know only that there is no evacuation.
func TestAnEndedEvacuationDoesNotReturn(t *testing.T) {
	g := NewWithT(t)
	stale := evacuation.Snapshot(at(7), "z1")
	restarted := evacuation.Snapshot(at(12)).Merge(stale)
	g.Expect(restarted.Has("z1")).To(BeFalse())
	position, domains := restarted.Announcement()
	g.Expect(position).To(Equal(at(12)), "the stale node must hear of the end")
	g.Expect(domains).To(BeEmpty())
	g.Expect(stale.Merge(evacuation.Update(position, domains...)).Has("z1")).To(BeFalse())
}

func TestNamesThatDoNotFitAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 64)
	usable, unusable := evacuation.Usable([]string{"z2", "", long, "z1"})
	g.Expect(usable).To(Equal([]string{"z1", "z2"}))
	g.Expect(unusable).To(Equal([]string{"", long}))
	many := make([]string, 50)
	for i := range many {
		many[i] = strings.Repeat(string(rune('A'+i)), 20)
	}
	usable, unusable = evacuation.Usable(many)
	g.Expect(usable).To(HaveLen(20))
	g.Expect(unusable).To(HaveLen(30))
}
