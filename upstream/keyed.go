package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/membership"
)

// maxHeldBody is the largest request body that is read before a keyed call
// runs, in bytes, so that the caller's disconnection cannot cut the call.
const maxHeldBody = 64 << 10

// keyed runs a call whose key no other send may run.
func (g *Gate) keyed(ctx context.Context, p parts, meta hop.Meta, request *http.Request) *hop.Answer {
	key, err := idempotency.Parse(meta.Key)
	if err != nil {
		return hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonKeyMalformed))
	}
	record, mine, refusal := p.records.Claim(g.clock.Now(), idempotency.Request{
		Key: key, Fingerprint: meta.Fingerprint, Received: meta.Received,
	})
	if refusal != nil {
		return hop.Refusal(meta, refusal)
	}
	if !mine {
		return g.resent(ctx, meta, record)
	}
	if p.state != membership.Ready {
		refusal := notReady(p.state)
		record.SetNotRun(g.clock.Now(), refusal.Reason())
		return hop.Refusal(meta, refusal)
	}
	return g.first(ctx, p, meta, request, record)
}

// resent waits for the send that runs the key and repeats its answer.
func (g *Gate) resent(ctx context.Context, meta hop.Meta, record *idempotency.Record) *hop.Answer {
	select {
	case <-record.Done():
	case <-ctx.Done():
		return hop.Refusal(meta, call.Refuse(call.Unknown, cancelReason(ctx)))
	}
	stored, refusal := record.Result()
	if refusal != nil {
		return hop.Refusal(meta, refusal)
	}
	return &hop.Answer{
		Meta:     hop.AnswerMeta{Outcome: call.Answered, Replayed: !record.ClaimedBy(meta.Received)},
		Response: responseOf(stored), //nolint:bodyclose // closed by whoever writes the answer
	}
}

// first runs the key. The run does not end with the caller's connection, since
// a resend is to find its answer; it ends with its deadline.
func (g *Gate) first(ctx context.Context, p parts, meta hop.Meta, request *http.Request, record *idempotency.Record) *hop.Answer {
	if err := holdBody(request); err != nil {
		record.SetNotRun(g.clock.Now(), call.ReasonCut)
		return hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonCut))
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), meta.Remaining)
	answer := g.admitted(detached, p, meta, request.WithContext(detached))
	now := g.clock.Now()
	switch {
	case answer.Response != nil:
		g.keep(answer, record, cancel)
		return answer
	case answer.Meta.Outcome == call.NotRun:
		record.SetNotRun(now, answer.Meta.Reason)
	default:
		record.SetUnknown(now, answer.Meta.Reason)
	}
	cancel()
	return answer
}

// holdBody reads a short request body into memory.
func holdBody(request *http.Request) error {
	if request.Body == nil || request.ContentLength < 0 || request.ContentLength > maxHeldBody {
		return nil
	}
	held, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	request.Body = io.NopCloser(bytes.NewReader(held))
	return nil
}

// keep reads an answer of ordinary size to its end, so that it is stored even
// if nobody waits for it any more, and settles the record. A larger one is
// passed on as it comes and not stored.
func (g *Gate) keep(answer *hop.Answer, record *idempotency.Record, cancel context.CancelFunc) {
	response := answer.Response
	head, err := io.ReadAll(io.LimitReader(response.Body, idempotency.MaxAnswerBytes+1))
	now := g.clock.Now()
	if err != nil {
		_ = response.Body.Close()
		record.SetUnknown(now, call.ReasonCut)
		cancel()
		answer.Response = nil
		answer.Meta.Outcome = call.Unknown
		answer.Meta.Reason = call.ReasonCut
		return
	}
	if len(head) > idempotency.MaxAnswerBytes {
		record.SetAnswered(now, nil)
		rest := response.Body
		response.Body = newEndBody(&joinedBody{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest},
			func(bool) { cancel() })
		return
	}
	_ = response.Body.Close()
	cancel()
	stored := &idempotency.Answer{
		Status: response.StatusCode, Header: fields(response.Header),
		Body: head, Trailer: fields(response.Trailer),
	}
	record.SetAnswered(now, stored)
	answer.Response = responseOf(stored)
}

type joinedBody struct {
	io.Reader
	io.Closer
}

func fields(header http.Header) []idempotency.HeaderField {
	var found []idempotency.HeaderField
	for name, values := range header {
		for _, value := range values {
			found = append(found, idempotency.HeaderField{Name: name, Value: value})
		}
	}
	return found
}

func headerOf(found []idempotency.HeaderField) http.Header {
	header := http.Header{}
	for _, field := range found {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	return header
}

func responseOf(stored *idempotency.Answer) *http.Response {
	return &http.Response{
		StatusCode:    stored.Status,
		Header:        headerOf(stored.Header),
		Trailer:       headerOf(stored.Trailer),
		ContentLength: int64(len(stored.Body)),
		Body:          io.NopCloser(bytes.NewReader(stored.Body)),
	}
}
