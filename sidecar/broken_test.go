package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/standin"
)

// uploadSlowly sends a long body in small pieces until the response ends, and returns the
// status and whether the response is complete.
func uploadSlowly(h *host, id string) (status int, complete bool) {
	conn, err := net.Dial("tcp", h.conf.CallerAddress())
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	go func() {
		_, err := fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nTimeout-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			id, len(halfBody), halfBody)
		piece := fmt.Sprintf("40\r\n%s\r\n", strings.Repeat("x", 64))
		for err == nil {
			time.Sleep(50 * time.Microsecond)
			_, err = io.WriteString(conn, piece)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

var _ = Describe("an answer that breaks off with a reset while a long body is being sent", func() {
	DescribeTable("is not passed on as a complete one", func(fault standin.Fault) {
		const callers, requests = 8, 25
		_, a, b := twoHosts()
		var mu sync.Mutex
		statuses, refused := map[int]int{}, map[string]bool{}
		var done sync.WaitGroup
		for caller := range callers {
			done.Go(func() {
				for i := range requests {
					a.backend.InjectFaults(fault)
					b.backend.InjectFaults(fault)
					id := fmt.Sprintf("u%d-%d", caller, i)
					status, complete := uploadSlowly(a, id)
					mu.Lock()
					if complete {
						statuses[status]++
					}
					refused[id] = status == http.StatusServiceUnavailable
					mu.Unlock()
				}
			})
		}
		done.Wait()
		Expect(statuses).NotTo(HaveKey(http.StatusOK), "of %d requests: %v", callers*requests, statuses)
		for _, run := range append(a.backend.Runs(), b.backend.Runs()...) {
			Expect(refused[run.ID]).To(BeFalse(), "%s ran", run.ID)
		}
		Expect(statuses[http.StatusBadGateway]).To(BeNumerically(">", callers*requests/2), "%v", statuses)
	},
		Entry("of HTTP/1.1", standin.FaultEarlyReset),
		Entry("of HTTP/1.1, with Connection: close", standin.FaultEarlyResetClose),
		Entry("of HTTP/1.0", standin.FaultOldEarlyReset),
		Entry("of HTTP/1.0, with Connection: close", standin.FaultOldEarlyResetClose),
	)
})
