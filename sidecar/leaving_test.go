package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet in several regions", func() {
	It("sends calls out of a failure domain only when its upstream is full, and to its region first", func() {
		f := newTestFleet()
		f.domains = []string{"z1", "z2", "z3"}
		f.settings = "[regions]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r2\"\n"
		f.publish(1)
		for range f.domains {
			h := f.add()
			h.backend.SetServiceTime(100 * time.Millisecond)
			h.sendHeartbeat("ready")
		}
		home, near, far := f.hosts[0], f.hosts[1], f.hosts[2]
		for _, h := range f.hosts {
			Eventually(func() bool { return home.sidecar.UpstreamAvailable(h.name) }).Should(BeTrue())
		}
		Eventually(func() int { return f.send(home, http.MethodGet, "/view/first").status }).Should(Equal(http.StatusOK))
		// run keeps a number of requests in progress for some 15 runs.
		run := func(phase string, concurrent int) {
			var wait sync.WaitGroup
			statuses := make(chan int, 100*concurrent)
			for worker := range concurrent {
				wait.Go(func() {
					for i := range 15 {
						statuses <- call(home, http.MethodGet, "/view/1", fmt.Sprintf("%s-%d-%d", phase, worker, i)).status
					}
				})
			}
			wait.Wait()
			close(statuses)
			for status := range statuses {
				Expect(status).To(Equal(http.StatusOK))
			}
		}
		before := len(near.backend.Runs()) + len(far.backend.Runs())
		run("calm", 5)
		Expect(len(near.backend.Runs())+len(far.backend.Runs())).To(Equal(before), "there is room at home")
		run("busy", 16)
		Expect(len(near.backend.Runs())).To(BeNumerically(">", before))
		Expect(len(home.backend.Runs())).To(BeNumerically(">", len(near.backend.Runs())), "only the excess leaves")
		Expect(len(near.backend.Runs())).To(BeNumerically(">", len(far.backend.Runs())))
	})
})
