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

// Record is what is remembered about one key.
type Record struct {
	records     *Records
	key         Key
	fingerprint uint64
	received    time.Time
	state       state
	reason      call.Reason
	settled     time.Time
	answer      *Answer
	done        chan struct{}
	element     *list.Element
}

// Done is closed when the send that runs the key has settled it.
func (d *Record) Done() <-chan struct{} {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	return d.done
}

// ClaimedBy tells whether the record was claimed by the send received at the given
// time, of which several attempts may have come.
func (d *Record) ClaimedBy(received time.Time) bool {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	return d.received.Equal(received)
}

// Result returns the stored answer, or the refusal that a resend gets.
func (d *Record) Result() (*Answer, *call.Refusal) {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	switch {
	case d.state == stateAnswered && d.answer != nil:
		return d.answer, nil
	case d.state == stateAnswered:
		return nil, call.Refuse(call.Unknown, call.ReasonAnswerNotKept)
	case d.state == stateNotRun:
		return nil, call.Refuse(call.NotRun, d.reason)
	}
	return nil, call.Refuse(call.Unknown, d.reason)
}

// SetAnswered settles the record; answer is nil when it was too large to keep.
func (d *Record) SetAnswered(now time.Time, answer *Answer) {
	d.settle(now, stateAnswered, "", answer)
}

// SetNotRun settles the record with the promise that no send so far has run.
func (d *Record) SetNotRun(now time.Time, reason call.Reason) {
	d.settle(now, stateNotRun, reason, nil)
}

// SetUnknown settles the record when the request may have run.
func (d *Record) SetUnknown(now time.Time, reason call.Reason) {
	d.settle(now, stateUnknown, reason, nil)
}

func (d *Record) settle(now time.Time, next state, reason call.Reason, answer *Answer) {
	r := d.records
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.state != stateRunning {
		return
	}
	d.state = next
	d.reason = reason
	d.settled = now
	if answer != nil && len(answer.Body) <= MaxAnswerBytes && r.answerBytes+len(answer.Body) <= r.answerLimit {
		d.answer = answer
		r.answerBytes += len(answer.Body)
	}
	close(d.done)
}
