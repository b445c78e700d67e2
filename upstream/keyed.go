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

// maxBufferedBodyBytes is the largest request body that is read before a keyed
// call runs, so that a disconnection of the caller cannot cut the call off.
const maxBufferedBodyBytes = 64 << 10

// doKeyed handles a call with an idempotency key, of which only one send may run.
func (g *Gate) doKeyed(ctx context.Context, s snapshot, meta hop.Meta, request *http.Request) *hop.Answer {
	key, err := idempotency.Parse(meta.Key)
	if err != nil {
		return hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonKeyMalformed))
	}
	record, claimed, refusal := s.records.Claim(g.clock.Now(), idempotency.Request{
		Key: key, Fingerprint: meta.Fingerprint, Received: meta.Received,
	})
	if refusal != nil {
		return hop.Refusal(meta, refusal)
	}
	if !claimed {
		return g.awaitAnswer(ctx, meta, record)
	}
	if s.state != membership.Ready {
		refusal := notReadyRefusal(s.state)
		record.SetNotRun(g.clock.Now(), refusal.Reason())
		return hop.Refusal(meta, refusal)
	}
	return g.runClaimed(ctx, s, meta, request, record)
}

// awaitAnswer waits for the send that claimed the key and returns its answer.
func (g *Gate) awaitAnswer(ctx context.Context, meta hop.Meta, record *idempotency.Record) *hop.Answer {
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
		Response: httpResponse(stored), //nolint:bodyclose // closed when the answer is written
	}
}

// runClaimed runs the call that claimed the key. The run continues after the
// caller disconnects, so that a resend gets its answer; it ends at its deadline.
func (g *Gate) runClaimed(ctx context.Context, s snapshot, meta hop.Meta, request *http.Request, record *idempotency.Record) *hop.Answer {
	if err := bufferBody(request); err != nil {
		record.SetNotRun(g.clock.Now(), call.ReasonCut)
		return hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonCut))
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), meta.Remaining)
	answer := g.admitAndRun(detached, s, meta, request.WithContext(detached))
	now := g.clock.Now()
	switch {
	case answer.Response != nil:
		g.storeAnswer(answer, record, cancel)
		return answer
	case answer.Meta.Outcome == call.NotRun:
		record.SetNotRun(now, answer.Meta.Reason)
	default:
		record.SetUnknown(now, answer.Meta.Reason)
	}
	cancel()
	return answer
}

// bufferBody reads a request body of up to maxBufferedBodyBytes into memory.
func bufferBody(request *http.Request) error {
	if request.Body == nil || request.ContentLength < 0 || request.ContentLength > maxBufferedBodyBytes {
		return nil
	}
	data, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	request.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// storeAnswer completes the record with the answer. It reads a body of up to
// idempotency.MaxAnswerBytes to its end, so that it is stored even if the caller
// has disconnected; a larger one is streamed and not stored.
func (g *Gate) storeAnswer(answer *hop.Answer, record *idempotency.Record, cancel context.CancelFunc) {
	response := answer.Response
	data, err := io.ReadAll(io.LimitReader(response.Body, idempotency.MaxAnswerBytes+1))
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
	if len(data) > idempotency.MaxAnswerBytes {
		record.SetAnswered(now, nil)
		rest := response.Body
		response.Body = newCallbackBody(&joinedBody{Reader: io.MultiReader(bytes.NewReader(data), rest), Closer: rest},
			func(bool) { cancel() })
		return
	}
	_ = response.Body.Close()
	cancel()
	stored := &idempotency.Answer{
		Status: response.StatusCode, Header: headerFields(response.Header),
		Body: data, Trailer: headerFields(response.Trailer),
	}
	record.SetAnswered(now, stored)
	answer.Response = httpResponse(stored)
}

type joinedBody struct {
	io.Reader
	io.Closer
}

func headerFields(header http.Header) []idempotency.HeaderField {
	var fields []idempotency.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, idempotency.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func httpHeader(fields []idempotency.HeaderField) http.Header {
	header := http.Header{}
	for _, field := range fields {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	return header
}

func httpResponse(stored *idempotency.Answer) *http.Response {
	return &http.Response{
		StatusCode:    stored.Status,
		Header:        httpHeader(stored.Header),
		Trailer:       httpHeader(stored.Trailer),
		ContentLength: int64(len(stored.Body)),
		Body:          io.NopCloser(bytes.NewReader(stored.Body)),
	}
}
