package idempotency

import (
	"container/list"
	"time"

	"github.com/banyancross/banyancross/call"
)

type state uint8

const (
	stateRunning state = iota
	stateAnswered
	stateNotRun
	stateUnknown
)

// Record holds the state and the outcome of one key.
type Record struct {
	records     *Records
	key         Key
	fingerprint uint64
	received    time.Time
	state       state
	reason      call.Reason
	completedAt time.Time
	answer      *Answer
	done        chan struct{}
	element     *list.Element
}

// Done returns a channel that is closed when the current claim completes.
func (rec *Record) Done() <-chan struct{} {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	return rec.done
}

// ClaimedBy reports whether the record was claimed by the send that the entry
// node received at the given time; all attempts of one send share that time.
func (rec *Record) ClaimedBy(received time.Time) bool {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	return rec.received.Equal(received)
}

// Result returns the stored response, or the refusal for a resend.
func (rec *Record) Result() (*Answer, *call.Refusal) {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	switch {
	case rec.state == stateAnswered && rec.answer != nil:
		return rec.answer, nil
	case rec.state == stateAnswered:
		return nil, call.Refuse(call.Unknown, call.ReasonAnswerNotKept)
	case rec.state == stateNotRun:
		return nil, call.Refuse(call.NotRun, rec.reason)
	}
	return nil, call.Refuse(call.Unknown, rec.reason)
}

// SetAnswered completes the record; answer is nil if it was too large to store.
func (rec *Record) SetAnswered(now time.Time, answer *Answer) {
	rec.complete(now, stateAnswered, "", answer)
}

// SetNotRun completes the record and guarantees that no send received so far
// has run or will run.
func (rec *Record) SetNotRun(now time.Time, reason call.Reason) {
	rec.complete(now, stateNotRun, reason, nil)
}

// SetUnknown completes the record of a request that may have run.
func (rec *Record) SetUnknown(now time.Time, reason call.Reason) {
	rec.complete(now, stateUnknown, reason, nil)
}

func (rec *Record) complete(now time.Time, next state, reason call.Reason, answer *Answer) {
	r := rec.records
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.state != stateRunning {
		return
	}
	rec.state = next
	rec.reason = reason
	rec.completedAt = now
	if answer != nil && len(answer.Body) <= MaxAnswerBytes && r.answerBytes+len(answer.Body) <= r.answerBytesLimit {
		rec.answer = answer
		r.answerBytes += len(answer.Body)
	}
	close(rec.done)
}
