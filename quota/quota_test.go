package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

const (
	// calmRefusals and cutRefusals are the stated shares of what is owed that may be refused.
	calmRefusals = 0.01
	cutRefusals  = 0.05
	seed         = 37
)

var _ = Describe("a fleet with quotas", func() {
	var s *simulation
	report := func(what string) {
		asked := 0
		for _, o := range s.orgs {
			asked += o.asked
		}
		GinkgoWriter.Printf("%s: refused %.4f, excess %.1f, messages a request %.2f\n", what, s.refusedShare(), s.worstExcess(), float64(s.messages)/float64(asked))
	}
	BeforeEach(func() { s = newSimulation(seed) })

	It("refuses next to nothing in calm", func() {
		s.run(5*time.Second, nil)
		s.reset()
		s.run(20*time.Second, nil)
		report("calm")
		Expect(s.refusedShare()).To(BeNumerically("<", calmRefusals))
		Expect(s.worstExcess()).To(BeZero())
	})

	It("serves callers that sit on a few hosts and move", func() {
		s.run(20*time.Second, func() {
			if s.due(5 * time.Second) {
				for _, o := range s.orgs[10:] {
					o.homes = []int{s.rng.IntN(80), s.rng.IntN(80)}
				}
			}
		})
		report("moving callers")
		Expect(s.refusedShare()).To(BeNumerically("<", calmRefusals))
		Expect(s.worstExcess()).To(BeZero())
	})

	DescribeTable("bounds organisations that send many times their usual",
		func(hot ...int) {
			s.run(5*time.Second, nil)
			s.reset()
			for _, i := range hot {
				s.orgs[i].factor = 7
			}
			s.run(10*time.Second, nil)
			report("hot")
			Expect(s.refusedShare()).To(BeNumerically("<", calmRefusals))
			Expect(s.worstExcess()).To(BeZero())
			for _, i := range hot {
				o := s.orgs[i]
				Expect(float64(o.asked-o.refused)).To(BeNumerically(">", 0.9*10*o.limit.Rate), o.name)
			}
		},
		Entry("the greatest", 0), Entry("a middle one", 20), Entry("the smallest", 81), Entry("three at once", 0, 3, 30),
	)

	It("keeps the bound while half of the hosts are killed and forget", func() {
		s.run(10*time.Second, nil)
		for _, i := range []int{0, 2, 9} {
			s.orgs[i].factor = 7
		}
		s.run(2*time.Second, nil)
		for i, h := range s.hosts {
			if i%2 == 0 {
				s.kill(h, 1500*time.Millisecond)
			}
		}
		s.run(15*time.Second, nil)
		report("half killed")
		Expect(s.worstExcess()).To(BeZero())
	})

	DescribeTable("keeps the bound without the owner of a hot organisation",
		func(fault func(owner *simHost)) {
			s.run(5*time.Second, nil)
			s.orgs[0].factor = 7
			s.run(3*time.Second, nil)
			owner := s.ownerOf(s.orgs[0])
			Expect(owner).NotTo(BeNil())
			fault(owner)
			s.run(11*time.Second, nil)
			report("owner lost")
			Expect(s.worstExcess()).To(BeZero())
		},
		Entry("killed", func(owner *simHost) { s.kill(owner, 10*time.Second) }),
		Entry("killed for a moment", func(owner *simHost) { s.kill(owner, 500*time.Millisecond) }),
		Entry("frozen, and woken with old counts", func(owner *simHost) { owner.frozenUntil = s.now.Add(8 * time.Second) }),
		Entry("frozen for a moment", func(owner *simHost) { owner.frozenUntil = s.now.Add(2 * time.Second) }),
		Entry("unheard", func(owner *simHost) { s.reaches = func(from, _ int) bool { return from != owner.index } }),
		Entry("deaf", func(owner *simHost) { s.reaches = func(_, to int) bool { return to != owner.index } }),
		Entry("heard by half of the hosts", func(owner *simHost) {
			s.reaches = func(from, to int) bool { return from != owner.index || to%3 != 0 }
		}),
	)

	It("keeps the bound and serves while a third of the hosts is cut off", func() {
		s.run(5*time.Second, nil)
		s.reset()
		s.reaches = func(from, to int) bool { return from%3 == 0 == (to%3 == 0) }
		s.run(20*time.Second, nil)
		s.reaches = func(int, int) bool { return true }
		s.run(6*time.Second, nil)
		report("a third cut off")
		Expect(s.refusedShare()).To(BeNumerically("<", cutRefusals))
		Expect(s.worstExcess()).To(BeZero())
	})

	DescribeTable("keeps the bound of hot organisations while the fleet is cut",
		func(cut func(owner int) func(from, to int) bool) {
			for _, i := range []int{0, 3, 30} {
				s.orgs[i].factor = 7
			}
			s.run(5*time.Second, nil)
			owner := s.ownerOf(s.orgs[0])
			Expect(owner).NotTo(BeNil())
			s.reaches = cut(owner.index)
			s.run(12*time.Second, nil)
			s.reaches = func(int, int) bool { return true }
			s.run(6*time.Second, nil)
			report("hot, cut")
			Expect(s.worstExcess()).To(BeZero())
		},
		Entry("into a third and the rest", func(int) func(from, to int) bool {
			return func(from, to int) bool { return from%3 == 0 == (to%3 == 0) }
		}),
		Entry("into halves", func(int) func(from, to int) bool {
			return func(from, to int) bool { return from < 40 == (to < 40) }
		}),
		Entry("with the owner in the smaller part", func(owner int) func(from, to int) bool {
			return func(from, to int) bool { return from%4 == owner%4 == (to%4 == owner%4) }
		}),
		Entry("into three parts", func(int) func(from, to int) bool {
			return func(from, to int) bool { return from%3 == to%3 }
		}),
		Entry("again and again", func(int) func(from, to int) bool {
			return func(from, to int) bool { return s.elapsed()/(1500*time.Millisecond)%2 == 0 || from < 40 == (to < 40) }
		}),
		Entry("with some hosts alone", func(owner int) func(from, to int) bool {
			return func(from, to int) bool { return from%8 != 0 && to%8 != 0 && from != owner && to != owner }
		}),
	)

	It("keeps the bound of an organisation whose callers left tokens unspent on many hosts", func() {
		// Its callers move on after a burst, and each host keeps what it asked ahead.
		const stay, burst = 500 * time.Millisecond, 50 * time.Millisecond
		o := s.orgs[0]
		s.run(25*time.Second, func() {
			o.homes, o.factor = []int{int(s.elapsed() / stay)}, 0
			if s.elapsed()%stay < burst {
				o.factor = 12
			}
		})
		o.factor = 0
		s.run(2*time.Second, nil)
		// They come back to one host after the other, with more than the limit allows.
		o.homes, o.factor = nil, 7
		s.run(6*time.Second, func() {
			if s.due(stay / 5) {
				o.homes = append(o.homes, len(o.homes))
			}
		})
		report("unspent tokens")
		Expect(s.worstExcess()).To(BeZero())
	})

	It("keeps the bound after requests were refused that had waited for long", func() {
		s.orgs[0].factor = 7
		s.run(5*time.Second, nil)
		s.refuseAfter = 3 * time.Second
		s.run(6*time.Second, nil)
		s.refuseAfter = 0
		s.run(6*time.Second, nil)
		report("late refusals")
		Expect(s.worstExcess()).To(BeZero())
	})

	It("serves an organisation again soon after its owner is killed", func() {
		s.run(5*time.Second, nil)
		owner := s.ownerOf(s.orgs[0])
		Expect(owner).NotTo(BeNil())
		s.kill(owner, time.Minute)
		s.reset()
		s.run(3*time.Second, nil)
		report("owner killed")
		GinkgoWriter.Printf("refused of the organisation: %d of %d\n", s.orgs[0].refused, s.orgs[0].asked)
		s.reset()
		s.run(7*time.Second, nil)
		Expect(float64(s.orgs[0].refused) / float64(s.orgs[0].asked)).To(BeNumerically("<", calmRefusals))
	})

	It("serves organisations without a burst where nothing beyond the limit is tolerated", func() {
		s.bounds.Overage, s.bounds.Slack = 0, 0
		for _, o := range s.orgs {
			o.limit.Burst = 0
		}
		for _, h := range s.hosts {
			s.startProcess(h)
		}
		s.orgs[3].factor = 7
		s.run(5*time.Second, nil)
		s.reset()
		s.run(10*time.Second, nil)
		report("no burst")
		for _, o := range s.orgs[:3] {
			Expect(float64(o.refused)/float64(o.asked)).To(BeNumerically("<", calmRefusals), o.name)
		}
		for _, o := range s.orgs {
			Expect(o.admitted).NotTo(BeEmpty(), o.name)
		}
		Expect(s.worstExcess()).To(BeZero())
	})

	It("serves while a tenth of the datagrams is lost", func() {
		s.loss = 0.1
		s.run(15*time.Second, nil)
		report("lossy")
		Expect(s.refusedShare()).To(BeNumerically("<", cutRefusals))
		Expect(s.worstExcess()).To(BeZero())
	})

	It("binds a limit that is cut to a tenth after one window", func() {
		o := s.orgs[0]
		s.run(10*time.Second, nil)
		cut := s.now
		o.limit = quota.Limit{Rate: o.limit.Rate / 10, Burst: o.limit.Burst / 10}
		for _, h := range s.hosts {
			s.setLimits(h)
		}
		o.factor = 5
		s.run(15*time.Second, nil)
		Expect(s.excess(o, cut)).To(BeZero())
	})
})

var _ = Describe("Node", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds := quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	limits := map[string]quota.Limit{"shop": {Rate: 10, Burst: 10}, "farm": {}}
	node := func(host string, others ...string) *quota.Node {
		n := quota.NewNode(host, 1, bounds)
		n.SetLimits(limits)
		var list []quota.Member
		for _, other := range others {
			list = append(list, quota.Member{Host: other, Heard: now})
		}
		n.SetMembers(list, time.Second, true)
		return n
	}
	// pair returns a node and the owner of the organisation.
	pair := func() (entry, owner *quota.Node) {
		a, b := node("a", "b"), node("b", "a")
		if a.Take(now, "shop").Verdict == quota.Waiting {
			return a, b
		}
		entry = node("b", "a")
		Expect(entry.Take(now, "shop").Verdict).To(Equal(quota.Waiting))
		return entry, node("a", "b")
	}

	It("sends and holds nothing for organisations without a limit", func() {
		n := node("a", "b")
		Expect(n.Take(now, "farm").Verdict).To(Equal(quota.Admitted))
		Expect(n.Take(now, "unknown").Verdict).To(Equal(quota.Admitted))
		Expect(n.Poll(now)).To(BeEmpty())
		Expect(n.Tick(now)).To(BeEmpty())
		Expect(n.Idle()).To(BeTrue())
	})

	It("counts a grant once that comes twice, and none that comes late", func() {
		entry, owner := pair()
		out := entry.Poll(now)
		Expect(out).To(HaveLen(1))
		answer, ok := owner.Handle(now, out[0].Message)
		Expect(ok).To(BeTrue())
		_, ok = owner.Handle(now, out[0].Message)
		Expect(ok).To(BeFalse(), "the ask came twice")
		entry.Handle(now, answer)
		entry.Handle(now, answer)
		Expect(entry.Retry(now, "shop").Verdict).To(Equal(quota.Admitted))
		Expect(entry.Take(now, "shop").Verdict).To(Equal(quota.Waiting))
		late := entry.Poll(now)
		answer, _ = owner.Handle(now, late[0].Message)
		entry.Handle(now.Add(time.Second), answer)
		Expect(entry.Retry(now.Add(time.Second), "shop").Verdict).To(Equal(quota.Waiting))
	})

	It("refuses at once after the owner had too little, and says when tokens come", func() {
		entry, owner := pair()
		for range 100 {
			entry.Take(now, "shop")
		}
		answer, _ := owner.Handle(now, entry.Poll(now)[0].Message)
		entry.Handle(now, answer)
		admitted := 0
		for range 101 {
			if entry.Retry(now, "shop").Verdict == quota.Admitted {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically("<", 20))
		d := entry.Take(now, "shop")
		Expect(d.Verdict).To(Equal(quota.Refused))
		Expect(d.RetryAfter).To(BeNumerically(">", time.Second))
		Expect(d.RetryAfter).To(BeNumerically("<=", bounds.Window))
		Expect(entry.Poll(now)).To(BeEmpty())
	})

	It("does not call a request beyond its quota that no owner answered for", func() {
		entry, _ := pair()
		entry.Poll(now)
		d := entry.GiveUp(now.Add(60*time.Millisecond), "shop")
		Expect(d.Verdict).To(Equal(quota.Unanswered))
		Expect(entry.TakeReports(now)[0].Usage.Unanswered).To(BeNumerically("==", 1))
	})

	It("gives the token of a request back that no upstream ran", func() {
		entry, owner := pair()
		answer, _ := owner.Handle(now, entry.Poll(now)[0].Message)
		entry.Handle(now, answer)
		d := entry.Retry(now, "shop")
		Expect(d.Verdict).To(Equal(quota.Admitted))
		Expect(d.Expires).To(BeTemporally(">", now))
		entry.Refund(d.Expires, "shop", d.Expires)
		entry.Refund(now, "shop", d.Expires)
		Expect(entry.Take(now, "shop").Verdict).To(Equal(quota.Waiting))
		Expect(entry.Poll(now)[0].Message.Entries[0].Returned).To(BeNumerically("==", 1))
	})

	It("gives no token back that expired before the next ask", func() {
		entry, owner := pair()
		answer, _ := owner.Handle(now, entry.Poll(now)[0].Message)
		entry.Handle(now, answer)
		d := entry.Retry(now, "shop")
		entry.Refund(now, "shop", d.Expires)
		Expect(entry.Take(d.Expires, "shop").Verdict).To(Equal(quota.Waiting))
		Expect(entry.Poll(d.Expires)[0].Message.Entries[0].Returned).To(BeZero())
	})

	It("grants itself nothing before it knows the fleet", func() {
		n := quota.NewNode("a", 1, bounds)
		n.SetLimits(limits)
		n.SetMembers(nil, time.Second, false)
		Expect(n.Take(now, "shop").Verdict).To(Equal(quota.Waiting))
		Expect(n.Poll(now)).To(BeEmpty())
		Expect(n.Retry(now, "shop").Verdict).To(Equal(quota.Waiting))
		n.SetMembers(nil, time.Second, true)
		Expect(n.Poll(now)).To(BeEmpty())
		Expect(n.Retry(now, "shop").Verdict).To(Equal(quota.Admitted))
	})

	It("admits a burst of an organisation that was quiet for long", func() {
		entry, owner := pair()
		answer, _ := owner.Handle(now, entry.Poll(now)[0].Message)
		entry.Handle(now, answer)
		Expect(entry.Retry(now, "shop").Verdict).To(Equal(quota.Admitted))
		later := now
		for later.Before(now.Add(2 * time.Minute)) {
			later = later.Add(25 * time.Millisecond)
			entry.Tick(later)
			owner.Tick(later)
		}
		admitted := 0
		for range int(limits["shop"].Burst) {
			Expect(entry.Take(later, "shop").Verdict).To(Equal(quota.Waiting))
		}
		answer, _ = owner.Handle(later, entry.Poll(later)[0].Message)
		entry.Handle(later, answer)
		for range int(limits["shop"].Burst) {
			if entry.Retry(later, "shop").Verdict == quota.Admitted {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically("==", limits["shop"].Burst))
	})

	It("forgets the ledger of an organisation that another node owns or that has no limit any more", func() {
		entry, owner := pair()
		answer, _ := owner.Handle(now, entry.Poll(now)[0].Message)
		entry.Handle(now, answer)
		Expect(owner.Idle()).To(BeFalse())
		owner.SetLimits(nil)
		Expect(owner.Idle()).To(BeTrue())

		entry, _ = pair()
		ask := entry.Poll(now)[0].Message
		standIn := node("z", ask.Host, "a", "b")
		for i := 0; standIn.Take(now, "shop").Verdict != quota.Waiting; i++ {
			standIn = node(fmt.Sprint("z", i), ask.Host, "a", "b")
		}
		standIn.GiveUp(now, "shop")
		standIn.Handle(now, ask)
		for at := now; at.Before(now.Add(time.Minute)); at = at.Add(25 * time.Millisecond) {
			for _, out := range standIn.Tick(at) {
				standIn.Handle(at, quota.Message{Host: out.Host, ID: out.Message.ID, Answer: true})
			}
		}
		Expect(standIn.Idle()).To(BeTrue())
	})

	It("admits the requests that wait when their organisation loses its limit", func() {
		entry, _ := pair()
		entry.SetLimits(nil)
		Expect(entry.Retry(now, "shop").Verdict).To(Equal(quota.Admitted))
		Expect(entry.Idle()).To(BeTrue())
	})

	DescribeTable("rejects a malformed message",
		func(data []byte) {
			_, err := quota.Decode(data)
			Expect(err).To(HaveOccurred())
		},
		Entry("empty", []byte{}), Entry("a beacon", []byte{0xa1, 1, 2}), Entry("cut", []byte{0xc6, 0x85, 0x61}),
		Entry("no host", encoded(quota.Message{})),
		Entry("too many tokens", encoded(quota.Message{Host: "a", Entries: []quota.Entry{{Tokens: 1 << 31}}})),
	)

	It("encodes and decodes a message", func() {
		m := quota.Message{Host: "a", Incarnation: 7, ID: 9, Entries: []quota.Entry{{Key: quota.Key("shop"), Tokens: 3, Returned: 1}}}
		data := encoded(m)
		Expect(quota.IsMessage(data)).To(BeTrue())
		Expect(quota.Decode(data)).To(Equal(m))
	})
})

func encoded(m quota.Message) []byte {
	data, err := m.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func BenchmarkTake(b *testing.B) {
	n := quota.NewNode("a", 1, quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	limits, names := map[string]quota.Limit{}, make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprintf("org-%d", i)
		limits[names[i]] = quota.Limit{Rate: 1e6, Burst: 1e6}
	}
	n.SetLimits(limits)
	var list []quota.Member
	for i := range 79 {
		list = append(list, quota.Member{Host: fmt.Sprintf("host-%d", i)})
	}
	n.SetMembers(list, time.Second, true)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, name := range names {
		n.Take(now, name)
		n.GiveUp(now, name)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for i := 0; b.Loop(); i++ {
		n.Take(now, names[i%len(names)])
		n.GiveUp(now, names[i%len(names)])
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(names)), "B/organisation")
}
