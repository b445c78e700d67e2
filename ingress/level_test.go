package ingress_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
)

// fullLoads returns the loads of three full upstreams with an excess.
func fullLoads(excess float32) []call.Load {
	load := call.Load{Running: 10, Waiting: 5, Limit: 10, ServiceTime: 100 * time.Millisecond, Excess: excess}
	return []call.Load{load, load, load}
}

// sentRequests sends requests and returns how many of them reached a gate, and how many
// got a 503.
func sentRequests(excess float32) (sent, refused int) {
	GinkgoHelper()
	sender, address := start(setup{attempts: 2, hosts: 3, budget: largeBudget, loads: fullLoads(excess)}, func(string, hop.Meta) *egress.Answer {
		return egress.Refusal(call.NotRun, call.ReasonOverload)
	})
	for i := range 30 {
		response := get(address, fmt.Sprint("r-", i))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		refused++
	}
	ids := map[string]bool{}
	for _, s := range sender.attempts() {
		ids[s.meta.ID] = true
		if s.meta.MaxWait > 0 {
			Expect(s.meta.ObjectiveRemaining).To(BeNumerically(">", 0))
		} else {
			Expect(s.meta.ObjectiveRemaining).To(BeZero())
		}
	}
	return len(ids), refused
}

var _ = Describe("a request to an overloaded service", func() {
	It("is mostly refused before it is sent when its service has room for a tenth", func() {
		sent, refused := sentRequests(0.9)
		Expect(sent).To(BeNumerically("<", 15))
		Expect(refused).To(Equal(30))
	})

	It("is sent while no upstream reports an excess, however full", func() {
		sent, _ := sentRequests(0)
		Expect(sent).To(Equal(30))
	})
})
