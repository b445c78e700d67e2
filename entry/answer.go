package entry

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/idempotency"
)

// TicketPath is the path prefix, followed by a service's name, to which a POST
// returns a ticket.
const TicketPath = "/.banyancross/ticket/"

// The headers of answers.
const (
	// OutcomeHeader holds the outcome of the call.
	OutcomeHeader = hop.HeaderPrefix + "Outcome"
	// ReasonHeader holds the reason of a refusal.
	ReasonHeader = hop.HeaderPrefix + "Reason"
	// ReplayedHeader is true if a resend got the answer of an earlier send.
	ReplayedHeader = hop.HeaderPrefix + "Replayed"
)

// refusalDocument is the JSON body of a refusal.
type refusalDocument struct {
	Outcome string      `json:"outcome"`
	Reason  call.Reason `json:"reason"`
}

func statusOf(refusal *call.Refusal) int {
	switch refusal.Reason() {
	case call.ReasonUnknownService:
		return http.StatusNotFound
	case call.ReasonMalformed, call.ReasonKeyMalformed:
		return http.StatusBadRequest
	case call.ReasonKeyRequired:
		return http.StatusPreconditionRequired
	case call.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case call.ReasonTooDeep:
		return http.StatusLoopDetected
	case call.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case call.ReasonKeyExpired, call.ReasonKeyNotOwned, call.ReasonAnswerNotKept:
		return http.StatusConflict
	case call.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if refusal.Outcome() == call.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeRefusal writes a refusal in place of the upstream's answer.
func writeRefusal(w http.ResponseWriter, refusal *call.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, refusal.Outcome().String())
	header.Set(ReasonHeader, string(refusal.Reason()))
	header.Set("Retry-After", strconv.Itoa(int(refusal.RetryAfter().Seconds())))
	w.WriteHeader(statusOf(refusal))
	_ = json.NewEncoder(w).Encode(refusalDocument{Outcome: refusal.Outcome().String(), Reason: refusal.Reason()})
}

// writeAnswer writes the upstream's answer and reports whether it was complete.
func writeAnswer(w http.ResponseWriter, answer *hop.Answer) bool {
	response := answer.Response
	defer func() { _ = response.Body.Close() }()
	hop.StripInternal(response.Header)
	w.Header().Set(OutcomeHeader, call.Answered.String())
	if answer.Meta.Replayed {
		w.Header().Set(ReplayedHeader, "true")
	}
	return hop.CopyResponse(w, response) == nil
}

// reset resets the caller's connection. Without chunks, an orderly close would end a body of
// unknown length as if it were complete.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// ticketDocument is the JSON body of a ticket.
type ticketDocument struct {
	Key string `json:"idempotency-key"`
}

// issueTicket handles a POST to TicketPath; the new ticket names the upstream that
// the policy chooses now.
func (e *Entry) issueTicket(w http.ResponseWriter, request bunrouter.Request) error {
	name := request.Param("service")
	targets := e.directory.Targets(name)
	if len(targets) == 0 {
		writeRefusal(w, call.Refuse(call.NotRun, call.ReasonNoUpstream))
		return nil
	}
	s := &session{entry: e, name: name, shared: e.service(name)}
	target := targets[s.choose(targets)]
	key, err := idempotency.Mint(target.Upstream(), target.incarnation)
	if err != nil {
		var failure *idempotency.Error
		if errors.As(err, &failure) {
			writeRefusal(w, call.Refuse(call.NotRun, call.ReasonNotReady))
		}
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(keyHeader, key.String())
	return json.NewEncoder(w).Encode(ticketDocument{Key: key.String()})
}
