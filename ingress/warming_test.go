package ingress_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
)

// warming returns the answer of the gate of a cold upstream that has room in a while.
func warming(roomIn time.Duration) *egress.Answer {
	answer := egress.Refusal(call.NotRun, call.ReasonWarming)
	answer.Meta.RoomIn = roomIn
	answer.Meta.Load = &call.Load{Cold: true, Limit: 1, Waiting: 1}
	return answer
}

var _ = Describe("a request to a service with cold upstreams", func() {
	It("goes on to the warm upstream, however many cold ones reject it", func() {
		// The loads say nothing yet: all have just turned cold.
		sender, address := start(setup{attempts: 2, hosts: 8, budget: largeBudget}, func(host string, _ hop.Meta) *egress.Answer {
			if host == "h0" {
				return egress.Refusal(call.NotRun, call.ReasonOverload)
			}
			return warming(time.Second)
		})
		get(address, "a")
		hosts := map[string]bool{}
		for _, sent := range sender.attempts() {
			hosts[sent.host] = true
		}
		Expect(hosts).To(HaveLen(8))
	})

	It("returns to a full upstream, and not to a cold one", func() {
		sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget}, func(host string, _ hop.Meta) *egress.Answer {
			if host == "h0" {
				return egress.Refusal(call.NotRun, call.ReasonOverload)
			}
			answer := warming(time.Second)
			answer.Meta.Load = &call.Load{Limit: 10}
			return answer
		})
		get(address, "a")
		sent := map[string]int{}
		for _, s := range sender.attempts() {
			sent[s.host]++
		}
		Expect(sent["h0"]).To(BeNumerically(">", 1))
		Expect(sent["h1"]).To(Equal(1))
		Expect(sent["h2"]).To(Equal(1))
	})

	It("is rejected at once when all are cold and full, until one has room", func() {
		full := call.Load{Cold: true, Limit: 1, Waiting: 1}
		sender, address := start(setup{attempts: 2, hosts: 7, budget: largeBudget, loads: []call.Load{full, full, full, full, full, full, full}},
			func(string, hop.Meta) *egress.Answer { return warming(700 * time.Millisecond) })
		began := time.Now()
		response := get(address, "a")
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(sender.attempts()).To(HaveLen(2))
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">=", 0.7))
	})
})
