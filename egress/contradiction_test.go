package egress_test

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
)

var _ = Describe("a gate whose upstream runs a call and sends parts of two responses", func() {
	// Guards against a caller that is told "not run" by a part of another response.
	DescribeTable("never says that it has not run, and sends it once", func(text string, outcome call.Outcome) {
		var arrivals atomic.Int64
		address := answerCalls(func(string) string {
			arrivals.Add(1)
			return text
		})
		gate, _ := loggingGate(address)
		DeferCleanup(gate.Close)
		m := meta("a")
		m.Idempotent = false
		Expect(do(gate, m).Outcome).To(Equal(outcome))
		Expect(arrivals.Load()).To(Equal(int64(1)))
	},
		Entry("a rejection with a stamp", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n", call.Unknown),
		Entry("a success that says that it has not run", "HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", call.Unknown),
		Entry("a field that quotes a status line", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nX: HTTP/1.1 503 full\r\nContent-Length: 0\r\n\r\n", call.Unknown),
		Entry("a body that a copy of a rejection ends", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 60\r\n\r\nbroken o"+rejectionOf("a"), call.Answered),
	)
})
