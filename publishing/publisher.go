package publishing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/platform"
)

// ConfigurationKey is the key under which the platform stores the configuration.
const ConfigurationKey = "banyancross/configuration"

const (
	maxAttempts = 16
	retryDelay  = 100 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindRefused means that the note cannot be applied.
	KindRefused Kind = "refused"
	// KindUnavailable means that the note was not published.
	KindUnavailable Kind = "not published"
	// KindUnknown means that the note may have been published; publishing it
	// again is safe and determines the outcome.
	KindUnknown Kind = "outcome unknown"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, previous platform.Entry) error
}

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Publisher publishes, amends and withdraws notes.
type Publisher struct {
	store   Store
	clock   Clock
	inForce func() *note.State
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithInForce sets a function that returns the state in force, nil for none. It goes before a
// stored state of a lower revision, which is one that the store was restored to from a copy.
func WithInForce(inForce func() *note.State) Option {
	return func(p *Publisher) { p.inForce = inForce }
}

// New returns a Publisher that writes to store.
func New(store Store, clock Clock, options ...Option) *Publisher {
	p := &Publisher{store: store, clock: clock, inForce: func() *note.State { return nil }}
	for _, option := range options {
		option(p)
	}
	return p
}

// Publish applies the note to the stored state and returns a state that
// includes it. base is the revision that the note was written against; amends is
// the id of the note that it replaces, or "".
func (p *Publisher) Publish(ctx context.Context, n *note.Note, base uint64, amends string) (*note.State, error) {
	return p.update(ctx, "publish", func(state *note.State) (*note.State, error) {
		return state.Apply(n, note.ApplyOptions{Base: base, Now: p.clock.Now(), Amends: amends})
	})
}

// Withdraw undoes the note with the given id.
func (p *Publisher) Withdraw(ctx context.Context, id string) (*note.State, error) {
	return p.update(ctx, "withdraw", func(state *note.State) (*note.State, error) {
		return state.Withdraw(id, p.clock.Now())
	})
}

// update replaces the stored state by the result of change, and retries after a
// conflict or a failed call. change returns its argument if the state already
// includes the change.
func (p *Publisher) update(ctx context.Context, op string, change func(*note.State) (*note.State, error)) (*note.State, error) {
	maybePublished := false
	var lastErr error
	for range maxAttempts {
		state, entry, err := p.read(ctx)
		if err == nil {
			restored := false
			if latest := p.inForce(); latest != nil && latest.Revision > state.Revision {
				state, restored = latest, true
			}
			var next *note.State
			next, err = change(state)
			if err != nil {
				return nil, &Error{op: op, kind: KindRefused, err: err}
			}
			if next == state && !restored {
				return state, nil
			}
			err = p.write(ctx, next, entry)
			if err == nil {
				return next, nil
			}
		}
		lastErr = err
		maybePublished = maybePublished || platform.KindOf(err) == platform.KindUnknown
		if !p.waitRetry(ctx) {
			break
		}
	}
	kind := KindUnavailable
	if maybePublished {
		kind = KindUnknown
	}
	return nil, &Error{op: op, kind: kind, err: errors.Join(lastErr, ctx.Err())}
}

func (p *Publisher) read(ctx context.Context) (*note.State, platform.Entry, error) {
	entry, err := p.store.Get(ctx, ConfigurationKey)
	if err != nil {
		return nil, platform.Entry{}, err
	}
	if entry.Version() == 0 {
		return &note.State{}, entry, nil
	}
	state, err := note.Decode(entry.Value())
	if err != nil {
		return nil, platform.Entry{}, err
	}
	return state, entry, nil
}

func (p *Publisher) write(ctx context.Context, state *note.State, previous platform.Entry) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}
	return p.store.Put(ctx, ConfigurationKey, data, previous)
}

func (p *Publisher) waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(retryDelay):
		return true
	}
}
