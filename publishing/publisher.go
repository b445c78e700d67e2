package publishing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/platform"
)

// ConfigurationKey is the platform's key of the configuration in force.
const ConfigurationKey = "banyancross/configuration"

const (
	maxAttempts = 16
	retryPause  = 100 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindRefused says that the note cannot be applied.
	KindRefused Kind = "refused"
	// KindUnavailable says that the note was not published.
	KindUnavailable Kind = "not published"
	// KindUnknown says that the note may have been published; publishing it
	// again is safe and tells.
	KindUnknown Kind = "outcome unknown"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, version uint64) error
}

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Publisher publishes, amends and withdraws notes.
type Publisher struct {
	store Store
	clock Clock
}

// New returns a Publisher that writes to store.
func New(store Store, clock Clock) *Publisher {
	return &Publisher{store: store, clock: clock}
}

// Publish applies the note to the state in the platform and returns the state
// that it is part of. base is the revision that the operator saw and amends the
// note that it replaces, or "".
func (p *Publisher) Publish(ctx context.Context, n *note.Note, base uint64, amends string) (*note.State, error) {
	return p.update(ctx, "publish", func(state *note.State) (*note.State, error) {
		return state.Apply(n, note.ApplyOptions{Base: base, Now: p.clock.Now(), Amends: amends})
	})
}

// Withdraw takes back what the note called id changed.
func (p *Publisher) Withdraw(ctx context.Context, id string) (*note.State, error) {
	return p.update(ctx, "withdraw", func(state *note.State) (*note.State, error) {
		return state.Withdraw(id, p.clock.Now())
	})
}

// update writes the state that change makes of the present one. change returns
// the same state when there is nothing left to do.
func (p *Publisher) update(ctx context.Context, op string, change func(*note.State) (*note.State, error)) (*note.State, error) {
	uncertain := false
	var last error
	for range maxAttempts {
		state, version, err := p.read(ctx)
		if err == nil {
			var next *note.State
			next, err = change(state)
			if err != nil {
				return nil, &Error{op: op, kind: KindRefused, err: err}
			}
			if next == state {
				return state, nil
			}
			err = p.write(ctx, next, version)
			if err == nil {
				return next, nil
			}
		}
		last = err
		uncertain = uncertain || platform.KindOf(err) == platform.KindUnknown
		if !p.pause(ctx) {
			break
		}
	}
	kind := KindUnavailable
	if uncertain {
		kind = KindUnknown
	}
	return nil, &Error{op: op, kind: kind, err: errors.Join(last, ctx.Err())}
}

func (p *Publisher) read(ctx context.Context) (*note.State, uint64, error) {
	entry, err := p.store.Get(ctx, ConfigurationKey)
	if err != nil {
		return nil, 0, err
	}
	if entry.Version() == 0 {
		return &note.State{}, 0, nil
	}
	state, err := note.Decode(entry.Value())
	if err != nil {
		return nil, 0, err
	}
	return state, entry.Version(), nil
}

func (p *Publisher) write(ctx context.Context, state *note.State, version uint64) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}
	return p.store.Put(ctx, ConfigurationKey, data, version)
}

func (p *Publisher) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(retryPause):
		return true
	}
}
