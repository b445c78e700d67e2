package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/standin"
)

var _ = Describe("a fleet with cold upstreams", func() {
	It("sends them no more than they tolerate in any second, and serves the calls by the warm one", func() {
		const bound = 10*1.5 + 8
		f := newTestFleet()
		f.bounds = "warmup-overage = 1.5\nwarmup-slack = 8\n"
		f.store.Store("op/config", []byte(strings.Replace(fmt.Sprintf(configuration, 1), `"max_conns":240`, `"max_conns":240,"cold_per_s":10,"cold_s":4`, 1)))
		for i := range 4 {
			h := f.add()
			h.backend.SetServiceTime(50 * time.Millisecond)
			if i > 0 {
				h.backend.SetWarmup(time.Hour)
			}
			h.sendHeartbeat("ready")
		}
		for _, h := range f.hosts {
			Eventually(h.sidecar.Ready).Should(BeTrue())
			Eventually(func() int { return call(h, http.MethodGet, "/view/a", "first-"+h.name).status }).Should(Equal(http.StatusOK))
		}
		var mu sync.Mutex
		statuses := map[int]int{}
		var wg sync.WaitGroup
		end := time.Now().Add(3 * time.Second)
		for caller := range 16 {
			wg.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					reply := call(f.hosts[caller%len(f.hosts)], http.MethodGet, "/view/a", fmt.Sprintf("herd-%d-%d", caller, i))
					mu.Lock()
					statuses[reply.status]++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		for _, h := range f.hosts[1:] {
			Expect(mostInSecond(h.backend)).To(BeNumerically("<=", bound), h.name)
		}
		Expect(statuses).To(HaveLen(1), "none was refused: %v", statuses)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 200))
	})
})

// mostInSecond returns the largest number of requests that a backend got in a second.
func mostInSecond(backend *standin.Backend) int {
	arrivals := backend.Arrivals()
	most, first := 0, 0
	for i := range arrivals {
		for arrivals[i].At.Sub(arrivals[first].At) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
