package egress_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
)

var _ = Describe("a rejection by the upstream", func() {
	const (
		unavailable = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: a\r\n"
		limited     = "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nRequest-Id: a\r\n"
		misdirected = "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: a\r\n"
	)
	DescribeTable("is a promise only if it is whole", func(text string, outcome call.Outcome, reason call.Reason) {
		// Guards against a caller that is told "not run" by a response that breaks off.
		gate, _ := loggingGate(responder(text))
		DeferCleanup(gate.Close)
		m := meta("a")
		m.Idempotent = false
		answer := do(gate, m)
		Expect(answer.Outcome).To(Equal(outcome))
		Expect(answer.Reason).To(Equal(reason))
		Expect(answer.ReachedUpstream).To(BeTrue())
	},
		Entry("503 with a whole body", unavailable+"Content-Length: 4\r\n\r\nfull", call.NotRun, call.ReasonRejected),
		Entry("503 with whole chunks", unavailable+"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", call.NotRun, call.ReasonRejected),
		Entry("503 that ends with its connection", unavailable+"\r\nfull", call.NotRun, call.ReasonRejected),
		Entry("421 with a whole body", misdirected+"Content-Length: 5\r\n\r\nother", call.NotRun, call.ReasonRejected),
		Entry("503 that breaks off", unavailable+"Content-Length: 4\r\n\r\nfu", call.Unknown, call.ReasonCut),
		Entry("503 without its body", unavailable+"Content-Length: 4\r\n\r\n", call.Unknown, call.ReasonCut),
		Entry("503 that breaks off in a chunk", unavailable+"Transfer-Encoding: chunked\r\n\r\n4\r\nfu", call.Unknown, call.ReasonCut),
		Entry("503 without its last chunk", unavailable+"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", call.Unknown, call.ReasonCut),
		Entry("503 with a malformed trailer section", unavailable+"Transfer-Encoding: chunked\r\n\r\n0\r\nNa me: v\r\n\r\n", call.Unknown, call.ReasonCut),
		Entry("429 that breaks off", limited+"Content-Length: 4\r\n\r\nfu", call.Unknown, call.ReasonCut),
		Entry("421 that breaks off", misdirected+"Content-Length: 4\r\n\r\nfu", call.Unknown, call.ReasonCut),
	)
})
