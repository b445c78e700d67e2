package evacuation_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/timeline"
)

// restoredAt is when the store came back from a copy.
var restoredAt = time.Unix(1_800_000_000, 0)

// after returns the position of a revision in the timeline after the restore.
func after(revision uint64) timeline.Position { return timeline.NewPosition(2, revision) }

// holder is a node that watches the store.
type holder struct {
	hold  evacuation.Hold
	known evacuation.Set
}

// read puts in force what the store has at a time after the restore.
func (h *holder) read(elapsed time.Duration, stored evacuation.Set, position timeline.Position) []string {
	h.known = h.known.Merge(h.hold.Next(restoredAt.Add(elapsed), h.known, stored, position))
	return h.known.Domains()
}

func newHolder(known evacuation.Set) *holder {
	return &holder{hold: evacuation.NewHold(restoredAt), known: known}
}

// The pattern: an evacuation began after the copy, and is written again only later.
func TestAnEvacuationThatTheCopyLacksStaysInForceUntilItIsWrittenAgainAndEnds(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(evacuation.Update(at(90), "z1", "z2"))
	copied := evacuation.Snapshot(after(80), "z1")
	g.Expect(h.read(0, copied, after(80))).To(Equal([]string{"z1", "z2"}))
	g.Expect(h.read(20*time.Second, copied, after(84))).To(Equal([]string{"z1", "z2"}))
	again := evacuation.Update(after(85), "z1", "z2")
	g.Expect(h.read(30*time.Second, again, after(85))).To(Equal([]string{"z1", "z2"}))
	ended := evacuation.Update(after(86), "z1")
	g.Expect(h.read(31*time.Second, ended, after(86))).To(Equal([]string{"z1"}))
	g.Expect(h.hold.Active(restoredAt.Add(31 * time.Second))).To(BeFalse())
}

func TestAnEvacuationThatIsNotWrittenAgainEndsAfterAWhile(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(evacuation.Update(at(90), "z2"))
	copied := evacuation.Snapshot(after(80))
	g.Expect(h.read(0, copied, after(80))).To(Equal([]string{"z2"}))
	g.Expect(h.read(time.Hour, copied, after(81))).To(BeEmpty())
}

// The pattern: an evacuation ended after the copy, and its end is written again.
func TestAnEvacuationThatHasEndedDoesNotReturnWithTheCopy(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(evacuation.Update(at(90)))
	copied := evacuation.Snapshot(after(80), "z1")
	g.Expect(h.read(0, copied, after(80))).To(BeEmpty())
	g.Expect(h.read(2*time.Second, evacuation.Update(after(82)), after(82))).To(BeEmpty())
	g.Expect(h.read(time.Hour, evacuation.Update(after(82)), after(90))).To(BeEmpty())
}

// The pattern: an evacuation begins between the restore and the first read.
func TestAnEvacuationThatTheOperatorsBeganBeforeTheFirstReadTakesEffectSoon(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(evacuation.Update(at(90)))
	stored := evacuation.Snapshot(after(81), "z1")
	h.read(0, stored, after(81))
	g.Expect(h.read(3100*time.Millisecond, stored, after(81))).To(Equal([]string{"z1"}))
}

// The pattern: the operators write an evacuation again and end it while this node does not
// watch the store; another node tells.
func TestAnEvacuationThatAnotherNodeSawEndIsNotKept(t *testing.T) {
	g := NewWithT(t)
	h := newHolder(evacuation.Update(at(90), "z1"))
	copied := evacuation.Snapshot(after(80))
	g.Expect(h.read(0, copied, after(80))).To(Equal([]string{"z1"}))
	h.known = h.known.Merge(evacuation.Update(after(83)))
	g.Expect(h.read(time.Second, evacuation.Update(after(83)), after(84))).To(BeEmpty())
}

// The pattern: two nodes read the store after the restore, and one of them had not known the
// evacuation.
func TestNodesAgreeOnSetsOfOnePosition(t *testing.T) {
	g := NewWithT(t)
	kept, read := evacuation.Update(after(80), "z1"), evacuation.Update(after(80), "z2")
	g.Expect(kept.Merge(read)).To(Equal(read.Merge(kept)))
	g.Expect(kept.Merge(read).Domains()).To(Equal([]string{"z1", "z2"}))
}

func TestALowerRevisionOfALaterTimelineReplacesTheSet(t *testing.T) {
	g := NewWithT(t)
	g.Expect(evacuation.Update(at(90), "z1").Merge(evacuation.Update(after(81))).Domains()).To(BeEmpty())
	g.Expect(evacuation.Update(after(81)).Merge(evacuation.Update(at(90), "z1")).Domains()).To(BeEmpty())
}

func TestAStoreThatWasNeverRestoredIsBelieved(t *testing.T) {
	g := NewWithT(t)
	h := &holder{known: evacuation.Update(at(90), "z1")}
	g.Expect(h.read(0, evacuation.Update(at(91), "z2"), at(91))).To(Equal([]string{"z2"}))
	g.Expect(h.hold.Active(restoredAt)).To(BeFalse())
}
