package egress

import (
	"context"
	"net/http"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
)

// Handler runs the attempts that other nodes send to a gate.
type Handler struct {
	gate *Gate
}

// NewHandler returns a Handler.
func NewHandler(gate *Gate) *Handler { return &Handler{gate: gate} }

var _ http1.Handler = (*Handler)(nil)

// maxBufferedBody is the largest body, in bytes, that is buffered before it is
// passed on; a longer one is streamed.
const maxBufferedBody = 8 << 10

// Serve implements http1.Handler.
func (h *Handler) Serve(ctx context.Context, r *http1.Request, reply *http1.Reply) {
	meta, err := hop.DecodeMeta(r.Header.Get(hop.CallHeader))
	if err != nil {
		_ = reply.Send(http.StatusBadRequest, http.Header{}, nil)
		return
	}
	r.Header.Del(hop.CallHeader)
	answer := h.gate.Do(ctx, meta, &Call{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Content: r.Content, Rest: r.Rest,
	})
	defer answer.Finish()
	h.write(r.Method, reply, answer)
}

func (h *Handler) write(method string, reply *http1.Reply, answer *Answer) {
	response := answer.Response
	if response == nil {
		h.send(reply, answer.Meta, http.StatusServiceUnavailable, http.Header{}, nil)
		return
	}
	header := response.Header
	hop.StripResponse(method, header)
	content, whole, err := response.Body.Buffer(maxBufferedBody)
	switch {
	case err != nil:
		// Nothing was passed on yet, so the entry node gets the outcome instead of a
		// truncated answer.
		h.gate.recordOutcome(true)
		cut := Refusal(call.Unknown, call.ReasonCut).Meta
		cut.ID, cut.FromGate, cut.Load, cut.ReachedUpstream = answer.Meta.ID, true, answer.Meta.Load, true
		h.send(reply, cut, http.StatusServiceUnavailable, http.Header{}, nil)
	case whole:
		answer.Finish()
		h.send(reply, answer.Meta, response.Status, header, content)
	default:
		text, err := answer.Meta.Encode()
		if err != nil {
			reply.Abort()
			return
		}
		header.Set(hop.AnswerHeader, text)
		_ = reply.Stream(response.Status, header, response.Length, content, response.Body)
	}
}

func (h *Handler) send(reply *http1.Reply, meta hop.AnswerMeta, status int, header http.Header, body []byte) {
	text, err := meta.Encode()
	if err != nil {
		reply.Abort()
		return
	}
	header.Set(hop.AnswerHeader, text)
	_ = reply.Send(status, header, body)
}
