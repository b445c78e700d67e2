package quota_test

import (
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
