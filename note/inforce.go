package note

import (
	"sync"
	"time"
)

// InForce holds the state in force at one node. Its revision never decreases,
// even if states arrive out of order. It is safe for concurrent use.
type InForce struct {
	mu        sync.RWMutex
	state     *State
	confirmed time.Time
	changed   chan struct{}
}

// NewInForce returns an InForce that holds no state.
func NewInForce() *InForce {
	return &InForce{changed: make(chan struct{})}
}

// State returns the state in force, or nil if none was adopted yet.
func (f *InForce) State() *State {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state
}

// Revision returns the revision in force, or 0 if none was adopted yet.
func (f *InForce) Revision() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.state == nil {
		return 0
	}
	return f.state.Revision
}

// Adopt puts a state in force if its revision is higher than the present one
// and reports whether it did.
func (f *InForce) Adopt(state *State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == nil || (f.state != nil && state.Revision <= f.state.Revision) {
		return false
	}
	f.state = state
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the next state is adopted.
func (f *InForce) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Confirm records that the given revision was the platform's latest at the given
// time. It has no effect unless that revision is in force.
func (f *InForce) Confirm(revision uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || f.state.Revision != revision || !at.After(f.confirmed) {
		return
	}
	f.confirmed = at
}

// Confirmed returns when the platform last confirmed the revision in force, the
// zero time if it never did.
func (f *InForce) Confirmed() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.confirmed
}
