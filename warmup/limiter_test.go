package warmup_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/warmup"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmup")
}

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// bounds allow 19 sends in a second, and 8 more that nobody could know of.
	bounds = warmup.Bounds{Rate: 13, Overage: 1.5, Slack: 8}
)

// at returns the time that is ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// takeAll takes places at a time until there is no room, and returns their number.
func takeAll(l *warmup.Limiter, now time.Time) int {
	count := 0
	for count < 1000 && l.Take(now, bounds) {
		count++
	}
	return count
}

var _ = Describe("a limiter", func() {
	var l *warmup.Limiter
	BeforeEach(func() { l = warmup.NewLimiter(start.Add(-time.Hour)) })

	It("lets a cold upstream get its rate in any second, not only from one to the next", func() {
		l.Report(at(0), at(0), time.Minute)
		Expect(l.Cold(at(0))).To(BeTrue())
		Expect(takeAll(l, at(990))).To(Equal(19))
		Expect(takeAll(l, at(1010))).To(BeZero())
		Expect(takeAll(l, at(1989))).To(BeZero())
		Expect(takeAll(l, at(2041))).To(Equal(19))
	})

	It("treats an upstream that reported nothing as cold", func() {
		Expect(takeAll(l, at(0))).To(Equal(19))
		Expect(l.ReportDue(at(0), bounds)).To(BeTrue())
		l.Report(at(10), at(5), 0)
		Expect(l.Cold(at(10))).To(BeFalse())
	})

	It("counts the sends since the last report that said warm", func() {
		l.Report(at(0), at(0), 0)
		Expect(takeAll(l, at(100))).To(Equal(25), "it may have turned cold at once")
		Expect(takeAll(l, at(130))).To(BeZero())
		l.Report(at(210), at(200), 0)
		Expect(takeAll(l, at(210))).To(Equal(25))
		l.Report(at(220), at(215), time.Second)
		Expect(takeAll(l, at(1230))).To(BeZero())
	})

	It("leaves a cold upstream what it may still get, and no more", func() {
		l.Report(at(0), at(0), 0)
		for range 10 {
			Expect(l.Take(at(100), bounds)).To(BeTrue())
		}
		l.Report(at(120), at(110), time.Minute)
		Expect(takeAll(l, at(130))).To(Equal(9))
		Expect(l.NextRoom(at(130), bounds, 0)).To(Equal(at(100).Add(warmup.Window)))
		Expect(l.NextRoom(at(130), bounds, 10)).To(Equal(at(130).Add(warmup.Window)))
	})

	It("ignores a report that is older than another", func() {
		l.Report(at(100), at(90), time.Minute)
		Expect(l.Report(at(110), at(80), 0)).To(BeFalse())
		Expect(l.Cold(at(120))).To(BeTrue())
	})

	It("asks for a report when the cold time has passed, and is careful until then", func() {
		l.Report(at(0), at(0), time.Second)
		Expect(l.ReportDue(at(100), bounds)).To(BeFalse())
		Expect(l.ReportDue(at(1001), bounds)).To(BeTrue())
		Expect(takeAll(l, at(1001))).To(Equal(19))
	})

	It("asks for a report before the sends since the last one are many", func() {
		l.Report(at(0), at(0), 0)
		Expect(l.ReportDue(at(5000), bounds)).To(BeFalse(), "an idle upstream costs no probes")
		for range 10 {
			l.Take(at(5000), bounds)
		}
		Expect(l.ReportDue(at(5000), bounds)).To(BeTrue())
	})

	It("gives back the place of a request that was not received", func() {
		l.Report(at(0), at(0), time.Minute)
		takeAll(l, at(10))
		l.Return(at(10))
		Expect(takeAll(l, at(20))).To(Equal(1))
	})

	It("presumes that an earlier process sent all that a cold upstream tolerates", func() {
		l = warmup.NewLimiter(start)
		Expect(takeAll(l, at(500))).To(BeZero())
		l.Report(at(500), at(490), time.Minute)
		Expect(takeAll(l, at(999))).To(BeZero())
		Expect(l.NextRoom(at(999), bounds, 0)).To(Equal(start.Add(warmup.Window)))
		Expect(takeAll(l, at(1050))).To(Equal(19))
	})

	It("presumes nothing of an earlier process if the upstream started after this one", func() {
		l = warmup.NewLimiter(start)
		l.Reset(start.Add(-time.Millisecond))
		Expect(takeAll(l, at(500))).To(BeZero())
		l.Reset(start.Add(100 * time.Millisecond))
		l.Report(at(500), at(490), time.Minute)
		Expect(takeAll(l, at(500))).To(Equal(19))
		Expect(takeAll(l, at(999))).To(BeZero())
	})

	It("needs no such presumption once the upstream says that it is warm", func() {
		l = warmup.NewLimiter(start)
		l.Report(at(20), at(10), 0)
		Expect(takeAll(l, at(20))).To(Equal(25))
	})

	It("presumes cold again for another incarnation, and forgets no send", func() {
		l.Report(at(0), at(0), 0)
		Expect(takeAll(l, at(10))).To(Equal(25))
		l.Reset(start.Add(-2 * time.Hour))
		Expect(takeAll(l, at(20))).To(BeZero())
		Expect(l.ReportDue(at(20), bounds)).To(BeTrue())
	})

	It("sends nothing where the bounds allow nothing", func() {
		Expect(l.Take(at(0), warmup.Bounds{Rate: 0.5, Overage: 1})).To(BeFalse())
		Expect(warmup.Bounds{}.Limited()).To(BeFalse())
	})
})
