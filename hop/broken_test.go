package hop_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
)

// fixedGate answers each attempt with a status.
type fixedGate struct{ status int }

// Do implements hop.Gate.
func (g fixedGate) Do(_ context.Context, meta hop.Meta, _ *http.Request) *hop.Answer {
	return &hop.Answer{
		Meta:     hop.AnswerMeta{ID: meta.ID, Outcome: call.Answered, FromGate: true},
		Response: &http.Response{StatusCode: g.status, ContentLength: 4, Body: io.NopCloser(strings.NewReader("paid"))},
	}
}

// send sends an attempt to a node that answers with handler.
func send(t *testing.T, handler http.Handler) *hop.Answer {
	t.Helper()
	g := NewWithT(t)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	client := hop.NewClient(nil)
	t.Cleanup(client.Close)
	request, err := http.NewRequest(http.MethodPost, "http://x/", http.NoBody)
	g.Expect(err).NotTo(HaveOccurred())
	answer := client.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), hop.Meta{ID: "a", Remaining: time.Second}, request)
	if answer.Response != nil {
		t.Cleanup(func() { _ = answer.Response.Body.Close() })
	}
	return answer
}

func TestMalformedStatusIsNotSent(t *testing.T) {
	// Guards against a node that passes on the status of a broken answer, or fails at it.
	for status, outcome := range map[int]call.Outcome{
		0: call.Unknown, 99: call.Unknown, 100: call.Unknown, 101: call.Unknown, 199: call.Unknown, 600: call.Unknown, 999: call.Unknown,
		200: call.Answered, 503: call.Answered, 599: call.Answered,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			answer := send(t, hop.Handler(fixedGate{status}))
			g.Expect(answer.Meta.Outcome).To(Equal(outcome))
			g.Expect(answer.Meta.FromGate).To(BeTrue())
			if outcome == call.Answered {
				g.Expect(answer.Response.StatusCode).To(Equal(status))
			}
		})
	}
}

func TestMalformedStatusIsNotAccepted(t *testing.T) {
	// Guards against a node of an earlier version.
	meta, err := hop.AnswerMeta{ID: "a", Outcome: call.Answered, FromGate: true}.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, status := range []int{600, 999} {
		answer := send(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(hop.AnswerHeader, meta)
			w.WriteHeader(status)
		}))
		g := NewWithT(t)
		g.Expect(answer.Response).To(BeNil())
		g.Expect(answer.Meta.Outcome).To(Equal(call.Unknown))
	}
}
