package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/retry"
	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/totals"
)

// The headers that callers set.
const (
	keyHeader        = "Idempotency-Key"
	timeoutHeader    = hop.HeaderPrefix + "Timeout"
	idempotentHeader = hop.HeaderPrefix + "Idempotent"
	depthHeader      = hop.HeaderPrefix + "Depth"
)

// expectedAttemptTime is the expected duration of an attempt; a retry needs more
// remaining time than that.
const expectedAttemptTime = 2 * time.Millisecond

// session is the state of one call at the entry node.
type session struct {
	entry      *Entry
	name       string
	shardMaps  []idempotency.ShardMap
	service    note.Service
	shared     *serviceState
	request    *http.Request
	body       *replayBody
	received   time.Time
	day        string
	timeout    time.Duration
	depth      int
	idempotent bool
	key        *idempotency.Key
	revision   uint64
	attempts   int
	remote     bool
	mayHaveRun bool
}

// newSession parses a request; the session is valid for the daily totals even if
// the request is refused.
func newSession(e *Entry, r *http.Request, entry *note.ServiceEntry, path string, received time.Time) (*session, *call.Refusal) {
	s := &session{
		entry: e, name: entry.Name, shardMaps: entry.ShardMaps, service: entry.Service,
		shared: e.service(entry.Name), received: received,
		day: received.In(e.location).Format(totals.DayLayout), timeout: entry.Service.Timeout,
	}
	s.shared.budget.SetShare(entry.Service.RetryShare)
	if refusal := s.readHeaders(r); refusal != nil {
		return s, refusal
	}
	if r.ContentLength > entry.Service.MaxBody {
		return s, call.Refuse(call.NotRun, call.ReasonTooLarge)
	}
	return s, s.buildRequest(r, path)
}

func (s *session) readHeaders(r *http.Request) *call.Refusal {
	malformed := call.Refuse(call.NotRun, call.ReasonMalformed)
	if text := r.Header.Get(timeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return malformed
		}
		s.timeout = min(s.timeout, timeout)
	}
	if text := r.Header.Get(depthHeader); text != "" {
		depth, err := strconv.Atoi(text)
		if err != nil || depth < 0 {
			return malformed
		}
		s.depth = depth
	}
	if s.depth > call.MaxDepth {
		return call.Refuse(call.NotRun, call.ReasonTooDeep)
	}
	s.idempotent = s.service.Idempotent(r.Method)
	if text := r.Header.Get(idempotentHeader); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return malformed
		}
		s.idempotent = idempotent
	}
	if s.idempotent {
		return nil
	}
	return s.readKey(r.Header.Get(keyHeader))
}

// readKey parses the idempotency key of a call that is not idempotent.
func (s *session) readKey(text string) *call.Refusal {
	if text == "" && s.service.RequireKey {
		return call.Refuse(call.NotRun, call.ReasonKeyRequired)
	}
	if text == "" {
		return nil
	}
	key, err := idempotency.Parse(text)
	if err != nil {
		return call.Refuse(call.NotRun, call.ReasonKeyMalformed)
	}
	s.key = &key
	return nil
}

// buildRequest builds the request to the upstream.
func (s *session) buildRequest(r *http.Request, path string) *call.Refusal {
	uri, err := url.ParseRequestURI(path)
	if err != nil {
		return call.Refuse(call.NotRun, call.ReasonMalformed)
	}
	uri.RawQuery = r.URL.RawQuery
	request := r.Clone(r.Context())
	request.URL = uri
	hop.StripConnection(request.Header)
	hop.StripInternal(request.Header)
	request.Header.Set("X-Forwarded-Prefix", "/"+s.name)
	appendForwardedFor(request.Header, r.RemoteAddr)
	request.Trailer = r.Trailer
	s.request = request
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		s.body = newReplayBody(http.MaxBytesReader(nil, r.Body, s.service.MaxBody))
	}
	return nil
}

func appendForwardedFor(header http.Header, remote string) {
	host := remote
	if at := strings.LastIndexByte(remote, ':'); at >= 0 {
		host = remote[:at]
	}
	if earlier := header.Get("X-Forwarded-For"); earlier != "" {
		host = earlier + ", " + host
	}
	header.Set("X-Forwarded-For", host)
}

// exchange sends the call, retries it while that is allowed, and returns the
// answer.
func (s *session) exchange(ctx context.Context) *hop.Answer {
	s.shared.budget.Deposit()
	if s.key != nil {
		return s.exchangeKeyed(ctx)
	}
	targets := s.targets()
	answer := hop.Refusal(hop.Meta{}, call.Refuse(call.NotRun, call.ReasonNoUpstream))
	for len(targets) > 0 {
		answer, targets = s.sendHedged(ctx, targets, s.choose(targets))
		if answer.Response != nil && !s.unavailable(answer) {
			return answer
		}
		if !s.shouldRetry(ctx, answer) {
			break
		}
		closeResponse(answer)
	}
	if answer.Response == nil && s.mayHaveRun {
		answer.Meta.Outcome = call.Unknown
	}
	return answer
}

// unavailable reports whether an idempotent call was answered with status 503, in
// which case another upstream may be able to serve it.
func (s *session) unavailable(answer *hop.Answer) bool {
	return answer.Response.StatusCode == http.StatusServiceUnavailable && s.idempotent
}

// exchangeKeyed sends the call to the gate that owns its key. An attempt whose
// connection failed is retried, since that gate runs the key at most once.
func (s *session) exchangeKeyed(ctx context.Context) *hop.Answer {
	answer := hop.Refusal(hop.Meta{}, call.Refuse(call.Unknown, call.ReasonNoUpstream))
	for {
		target, ok := s.entry.directory.Owner(s.key.Owner(s.shardMaps))
		if !ok || target.service != s.name {
			return answer
		}
		answer = s.sendAttempt(ctx, target)
		if answer.Response != nil || answer.Meta.FromGate {
			return answer
		}
		// No answer of the gate arrived, and an earlier send may have run.
		answer.Meta.Outcome = call.Unknown
		if !s.shouldRetryKeyed(ctx, answer) {
			return answer
		}
	}
}

// shouldRetryKeyed reports whether to send the call to the same gate again, and
// takes the retry from the budget if so.
func (s *session) shouldRetryKeyed(ctx context.Context, answer *hop.Answer) bool {
	connectionLost := answer.Meta.Reason == call.ReasonConnection || answer.Meta.Reason == call.ReasonCut
	if !connectionLost || s.attempts >= retry.MaxAttempts || ctx.Err() != nil {
		return false
	}
	return s.rewind() && s.shared.budget.Spend()
}

// shouldRetry reports whether to send the call to another upstream after answer,
// and takes the retry from the budget if so.
func (s *session) shouldRetry(ctx context.Context, answer *hop.Answer) bool {
	meta := answer.Meta
	if answer.Response != nil {
		meta.Outcome = call.Unknown
		meta.Reason = call.ReasonRejected
	}
	remaining := s.timeout - s.entry.clock.Now().Sub(s.received)
	allowed := retry.Allowed(retry.Attempt{
		Number: s.attempts, Outcome: meta.Outcome, Reason: meta.Reason,
		Idempotent: s.idempotent, Replayable: s.body == nil || s.body.replayable(),
		Depth: s.depth, Remaining: remaining, Expected: expectedAttemptTime,
	})
	if !allowed || ctx.Err() != nil {
		return false
	}
	return s.shared.budget.Spend() && s.rewind()
}

func (s *session) rewind() bool {
	return s.body == nil || s.body.rewind()
}

func closeResponse(answer *hop.Answer) {
	if answer.Response != nil {
		_ = answer.Response.Body.Close()
	}
}

// targets returns the upstreams to choose from: with note.PreferLocal only those
// in this node's failure domain, if there are any.
func (s *session) targets() []Target {
	all := s.entry.directory.Targets(s.name)
	if s.service.Preference != note.PreferLocal {
		return all
	}
	var local []Target
	for _, target := range all {
		if !target.candidate.Remote() {
			local = append(local, target)
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}

func (s *session) choose(targets []Target) int {
	candidates := make([]routing.Candidate, len(targets))
	for i, target := range targets {
		candidates[i] = target.candidate
	}
	return s.shared.policy.Choose(s.entry.clock.Now(), candidates)
}

func (s *session) meta(now time.Time, target Target) hop.Meta {
	meta := hop.Meta{
		ID:          uuid.NewString(),
		Service:     s.name,
		Upstream:    target.Upstream(),
		Remaining:   s.timeout - now.Sub(s.received),
		Idempotent:  s.idempotent,
		Received:    s.received,
		Depth:       s.depth,
		Revision:    s.revision,
		Day:         s.day,
		Fingerprint: s.fingerprint(),
	}
	if s.key != nil {
		meta.Key = s.key.String()
	}
	return meta
}

// fingerprint returns a hash that is the same for all sends of the request. It
// covers only what is known before the body is read.
func (s *session) fingerprint() uint64 {
	digest := xxhash.New()
	parts := []string{
		s.name, s.request.Method, s.request.URL.RequestURI(),
		strconv.FormatInt(s.request.ContentLength, 10),
	}
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
