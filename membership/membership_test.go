package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/banyancross/banyancross/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var now = time.UnixMilli(1_800_000_000_000)

func member(i, domains int) membership.Member {
	return membership.Member{
		Host: fmt.Sprintf("host-%d", i), Incarnation: fmt.Sprintf("incarnation-%d", i), StartedUnixNano: 1,
		FailureDomain: fmt.Sprintf("domain-%d", i%domains), Address: fmt.Sprintf("10.0.0.%d:1", i),
	}
}

// fleet delivers updates between views by direct calls, in place of control
// connections.
type fleet struct {
	views    map[string]*membership.View
	messages int
}

func newFleet(n, domains int) *fleet {
	f := &fleet{views: map[string]*membership.View{}}
	for i := range n {
		m := member(i, domains)
		v := membership.NewView(now, m, rand.New(rand.NewPCG(1, uint64(i))))
		f.views[m.Host] = v
		if i == 0 {
			continue
		}
		// A joining node exchanges full lists with a contact, which spreads its
		// record.
		contact := f.views["host-0"]
		v.Merge(now, contact.Snapshot().Members())
		f.spread(contact, contact.Merge(now, []membership.Member{m}))
	}
	return f
}

func (f *fleet) spread(from *membership.View, updates []membership.Member) {
	if len(updates) == 0 {
		return
	}
	for _, neighbour := range from.Snapshot().Neighbours(from.Self()) {
		to, ok := f.views[neighbour.Host]
		if !ok {
			continue
		}
		f.messages++
		f.spread(to, to.Merge(now, updates))
	}
}

var _ = Describe("a fleet", func() {
	It("spreads an update to all members, with at most 12 neighbours each", func() {
		for _, n := range []int{14, 56, 112} {
			f := newFleet(n, 6)
			f.messages = 0
			v := f.views["host-3"]
			f.spread(v, []membership.Member{v.UpdateSelf(func(m *membership.Member) { m.State = membership.Leaving })})
			for host, view := range f.views {
				seen, ok := view.Snapshot().Member("host-3")
				Expect(ok).To(BeTrue())
				Expect(seen.State).To(Equal(membership.Leaving), "on %s of %d", host, n)
				Expect(len(view.Snapshot().Neighbours(view.Self()))).To(BeNumerically("<=", 12))
			}
			Expect(f.messages).To(BeNumerically("<=", 12*n))
		}
	})

	It("has the same relays in every view", func() {
		f := newFleet(30, 3)
		want := f.views["host-0"].Snapshot().Relays("domain-1", 2)
		Expect(want).To(HaveLen(2))
		for _, view := range f.views {
			Expect(view.Snapshot().Relays("domain-1", 2)).To(Equal(want))
		}
	})
})

var _ = Describe("a view", func() {
	var view *membership.View

	BeforeEach(func() {
		view = membership.NewView(now, member(0, 1), rand.New(rand.NewPCG(1, 1)))
		view.Merge(now, []membership.Member{member(1, 1)})
	})

	It("declares a suspect down only after the suspicion timeout", func() {
		m, _ := view.Snapshot().Member("host-1")
		_, ok := view.Suspect(now, m)
		Expect(ok).To(BeTrue())
		Expect(view.Expire(now.Add(2 * time.Second))).To(BeEmpty())
		Expect(view.Expire(now.Add(3 * time.Second))).To(HaveLen(1))
	})

	It("marks a paused host alive again when it refutes", func() {
		m, _ := view.Snapshot().Member("host-1")
		view.Suspect(now, m)
		view.Expire(now.Add(time.Minute))
		paused := membership.NewView(now, member(1, 1), rand.New(rand.NewPCG(2, 2)))
		down, _ := view.Snapshot().Member("host-1")
		Expect(down.Status).To(Equal(membership.Down))
		refuted := paused.Merge(now, []membership.Member{down})
		Expect(refuted).To(HaveLen(1))
		view.Merge(now, refuted)
		back, _ := view.Snapshot().Member("host-1")
		Expect(back.Status).To(Equal(membership.Alive))
	})

	It("prefers a new incarnation even if its clock is slow", func() {
		old := view.Self()
		successor := old
		successor.Incarnation, successor.StartedUnixNano = "incarnation-new", old.StartedUnixNano-100
		v := membership.NewView(now, successor, rand.New(rand.NewPCG(3, 3)))
		updates := v.Merge(now, []membership.Member{old})
		Expect(updates).To(HaveLen(1))
		Expect(view.Merge(now.Add(time.Hour), updates)).To(BeEmpty())
		Expect(view.Superseded()).To(BeTrue())
	})

	It("keeps a replaced incarnation and passes it to other views", func() {
		successor := member(1, 1)
		successor.Incarnation, successor.StartedUnixNano = "incarnation-new", 2
		view.Merge(now, []membership.Member{successor})
		Expect(view.Snapshot().FormerIncarnations()).To(ConsistOf(HaveField("Incarnation", "incarnation-1")))
		restarted := membership.NewView(now, successor, rand.New(rand.NewPCG(4, 4)))
		restarted.Merge(now, []membership.Member{member(1, 1)})
		restarted.Expire(now)
		restarted.UpdateSelf(func(*membership.Member) {})
		Expect(restarted.Snapshot().FormerIncarnations()).To(ConsistOf(HaveField("Incarnation", "incarnation-1")))
		other := membership.NewView(now, member(2, 1), rand.New(rand.NewPCG(5, 5)))
		other.MergeFormerIncarnations(view.Snapshot().FormerIncarnations())
		Expect(other.Snapshot().FormerIncarnations()).To(HaveLen(1))
		other.Expire(now.Add(time.Hour))
		Expect(other.Snapshot().FormerIncarnations()).To(BeEmpty())
	})

	It("ignores later versions of a member that left", func() {
		left := member(1, 1)
		left.Version, left.Status = 5, membership.Left
		view.Merge(now, []membership.Member{left})
		later := member(1, 1)
		later.Version = 9
		Expect(view.Merge(now, []membership.Member{later})).To(BeEmpty())
	})
})

// Property: views that merged the same records have equal digests, whatever the
// order.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(func(t *rapid.T) membership.Member {
			m := member(rapid.IntRange(1, 3).Draw(t, "host"), 1)
			m.Incarnation = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "incarnation")
			m.StartedUnixNano = int64(m.Incarnation[0])
			m.Version = uint64(rapid.IntRange(0, 3).Draw(t, "version"))
			m.Status = membership.Status(rapid.IntRange(0, 2).Draw(t, "status"))
			return m
		})).Draw(t, "records")
		one := membership.NewView(now, member(0, 1), rand.New(rand.NewPCG(1, 1)))
		two := membership.NewView(now, member(0, 1), rand.New(rand.NewPCG(1, 1)))
		one.Merge(now, records)
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			two.Merge(now, []membership.Member{record})
		}
		if one.Digest() != two.Digest() {
			t.Fatalf("views differ: %v and %v", one.Snapshot().Members(), two.Snapshot().Members())
		}
	})
}
