package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const quotaConfiguration = `{"version":"r1","resources":[
 {"type_url":"routes","metadata":{"name":"view"},"spec":{"host":"x","prefix":"/view/","type":"safe","timeout_ms":20000,"goal_ms":10000,"priority":2,"attempts":2,"service":"stock"}},
 {"type_url":"services","metadata":{"name":"stock"},"spec":{"health_path":"/healthz","max_conns":240}},
 {"type_url":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":["k-shop"],"rate_per_s":%d,"burst":%d}},
 {"type_url":"tenants","metadata":{"name":"farm"},"spec":{"api_keys":["k-farm"]}}]}`

// quotaHistory records when requests were sent, and how they ended.
type quotaHistory struct {
	mu       sync.Mutex
	sent     map[string]time.Time
	statuses map[int]int
}

// send sends a request with a key and returns its status, 0 without an answer.
func (q *quotaHistory) send(h *host, key, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.conf.CallerAddress()+"/view/1", nil)
	if err != nil {
		return 0
	}
	request.Host = "x"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+key)
	q.mu.Lock()
	q.sent[id] = time.Now()
	q.mu.Unlock()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	status := 0
	if err == nil {
		_ = response.Body.Close()
		status = response.StatusCode
	}
	q.mu.Lock()
	q.statuses[status]++
	q.mu.Unlock()
	return status
}

// fullest returns the greatest number of requests that were both sent and began to run
// within any span of window.
func (q *quotaHistory) fullest(f *testFleet, window time.Duration) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := map[string]time.Time{}
	for _, h := range f.hosts {
		for _, run := range h.backend.Runs() {
			if at, ok := first[run.ID]; q.sent[run.ID] != (time.Time{}) && (!ok || run.At.Before(at)) {
				first[run.ID] = run.At
			}
		}
	}
	most := 0
	for id := range first {
		from, count := q.sent[id], 0
		for other, at := range first {
			if !q.sent[other].Before(from) && !at.After(from.Add(window)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

var _ = Describe("a quota over all nodes", func() {
	const (
		rate, burst = 40, 20
		window      = 5 * time.Second
		callers     = 4
		load        = 6 * time.Second
	)
	var f *testFleet
	var history *quotaHistory
	BeforeEach(func() {
		f = newTestFleet()
		f.store.Store("op/config", fmt.Appendf(nil, quotaConfiguration, rate, burst))
		history = &quotaHistory{sent: map[string]time.Time{}, statuses: map[int]int{}}
		for range 4 {
			f.add().sendHeartbeat("ready")
		}
		for _, h := range f.hosts {
			Eventually(h.sidecar.Settled).Should(BeTrue())
			for _, other := range f.hosts {
				f.waitUntilAvailable(h, other)
			}
		}
	})

	// hammer sends requests of the organisation through all hosts, several times its rate.
	hammer := func() {
		var wg sync.WaitGroup
		end := time.Now().Add(load)
		for _, h := range f.hosts {
			for c := range callers {
				wg.Go(func() {
					for i := 0; time.Now().Before(end); i++ {
						history.send(h, "k-shop", fmt.Sprintf("%s-%d-%d", h.name, c, i))
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
		}
		wg.Wait()
	}

	It("bounds what upstreams run, and wastes little of it", func() {
		hammer()
		Expect(history.fullest(f, window)).To(BeNumerically("<=", rate*5+burst))
		Expect(history.statuses).To(HaveKey(http.StatusTooManyRequests))
		Expect(history.statuses[http.StatusOK]).To(BeNumerically(">=", rate*5))
		asked := 0
		for status, count := range history.statuses {
			Expect(status).To(BeElementOf(http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable))
			asked += count
		}
		// A busy machine may answer some asks too late.
		Expect(history.statuses[http.StatusServiceUnavailable]).To(BeNumerically("<=", asked/100))
		GinkgoWriter.Println("statuses:", history.statuses, "in the fullest window:", history.fullest(f, window))
	})

	It("bounds what upstreams run while each node in turn is killed and forgets", func() {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			for _, h := range f.hosts {
				time.Sleep(load / 5)
				h.sidecar.Kill()
				h.start()
			}
		}()
		hammer()
		<-done
		Expect(history.fullest(f, window)).To(BeNumerically("<=", rate*5+burst))
		Expect(history.statuses).To(HaveKey(http.StatusTooManyRequests))
	})

	It("does not hold back an organisation without a quota", func() {
		for i := range 100 {
			Expect(history.send(f.hosts[i%4], "k-farm", fmt.Sprintf("farm-%d", i))).To(Equal(http.StatusOK))
		}
	})
})
