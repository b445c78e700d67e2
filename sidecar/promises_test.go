package sidecar_test

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	outcome "github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/sidecar"
	"github.com/banyancross/banyancross/telemetry"
)

// keptLine is the length of the part of a log line that operators keep.
const keptLine = 200

// keptLines returns the starts, up to a length, of the lines of a log.
func keptLines(text string, length int) (starts []string) {
	for line := range strings.Lines(text) {
		starts = append(starts, line[:min(length, len(line))])
	}
	return starts
}

// fixedClock is a clock that stands still.
type fixedClock struct{}

func (fixedClock) Now() time.Time                       { return time.Unix(1_800_000_000, 123_456_789) }
func (fixedClock) After(time.Duration) <-chan time.Time { return nil }

var _ = Describe("promises that a request has not run", func() {
	It("can be traced to the responses of the upstreams from the starts of lines, under load", func() {
		const requests, workers, longestName = 400, 8, 22
		logs := map[string]*syncBuffer{"stock-1": {w: &bytes.Buffer{}}, "stock-2": {w: &bytes.Buffer{}}}
		f := newTestFleet()
		f.publish(1)
		for _, name := range []string{"stock-1", "stock-2"} {
			f.add(sidecar.WithEvidenceLogger(telemetry.NewLogger(logs[name], "info"))).sendHeartbeat("ready")
		}
		entry := f.hosts[0]
		for _, h := range f.hosts {
			f.waitUntilServedBy(entry, "i-"+h.name)
		}
		for _, h := range f.hosts {
			h.backend.SetRejectShare(1)
		}
		id := func(i int) string { return fmt.Sprintf("5f2170bce3454b17.70e8056600e8%04d", i) }
		var done sync.WaitGroup
		for w := range workers {
			done.Go(func() {
				defer GinkgoRecover()
				for i := w; i < requests; i += workers {
					Expect(call(entry, http.MethodPost, "/pay/x", id(i)).status).To(Equal(http.StatusServiceUnavailable))
				}
			})
		}
		done.Wait()
		runs := map[string]bool{}
		run := regexp.MustCompile(`"event":"run","request":"([^"]+)","status":503,"outcome":"not-run","reason":"rejected","connection":(\d+),"exchange":(\d+),`)
		for name, log := range logs {
			for _, line := range keptLines(log.text(), keptLine) {
				if m := run.FindStringSubmatch(line); m != nil {
					runs[fmt.Sprint(m[1], " ", name, " ", m[2], "/", m[3])] = true
				}
			}
		}
		Expect(len(runs)).To(BeNumerically(">=", requests))
		promises := map[string]bool{}
		promise := regexp.MustCompile(`"event":"promise","request":"([^"]+)","status":503,"send":\d,"gate":"([^"]+)","reason":"rejected","via":"(\d+/\d+)"`)
		for _, line := range keptLines(logs[entry.name].text(), keptLine-longestName+len(entry.name)) {
			if m := promise.FindStringSubmatch(line); m != nil {
				promises[fmt.Sprint(m[1], " ", m[2], " ", m[3])] = true
			}
		}
		Expect(promises).To(Equal(runs))
	})

	It("are logged with all sends of a request or none, and what is needed at the start", func() {
		const requests = 1100
		logs := &bytes.Buffer{}
		observe := sidecar.Observe(fixedClock{}, telemetry.NewLogger(logs, "info"))
		attempt := ingress.AttemptRecord{
			Host: "sidecar-jawa-tengah-12", Outcome: outcome.NotRun, Reason: outcome.ReasonRejected, UpstreamStatus: 503, Connection: 12345, Exchange: 1234567,
		}
		id := func(kind string, i int) string { return fmt.Sprintf("%s.70e8056600e8%04d", kind, i) }
		for i := range requests {
			o := ingress.Observation{ID: id("5f2170bce3454b17", i), Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun}
			o.Trail = []ingress.AttemptRecord{attempt, attempt, attempt}
			observe(o)
			o.ID, o.Idempotent = id("idempotentidempo", i), true
			observe(o)
			o.ID, o.Idempotent, o.Trail, o.Status = id("unsentunsentunse", i), false, nil, http.StatusTooManyRequests
			observe(o)
			o.ID, o.Status = id("statusstatusstat", i), http.StatusBadGateway
			observe(o)
		}
		sends, unsent := map[string]int{}, 0
		sent := regexp.MustCompile(`"event":"promise","request":"(5f2170bce3454b17\.\w+)","status":503,"send":[123],"gate":"sidecar-jawa-tengah-12","reason":"rejected","via":"12345/1234567"`)
		for _, line := range keptLines(logs.String(), keptLine) {
			if !strings.Contains(line, `"event":"promise"`) {
				continue
			}
			if m := sent.FindStringSubmatch(line); m != nil {
				sends[m[1]]++
				continue
			}
			Expect(line).To(MatchRegexp(`"event":"promise","request":"unsentunsentunse\.\w+","status":429,"send":0,`))
			unsent++
		}
		Expect(sends).To(HaveLen(333))
		Expect(sends).To(HaveEach(3))
		Expect(unsent).To(Equal(100))
	})
})
