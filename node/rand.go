package node

import (
	"io"
	stdlog "log"
	"math/rand/v2"
	"sync"
	"time"
)

// discardLog discards what net/http logs about broken connections, since the
// outcomes of the calls already count them.
var discardLog = stdlog.New(io.Discard, "", 0)

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rng: rand.New(rand.NewPCG(seed, seed))}
}

// fork returns an independent generator, seeded from this one.
func (r *lockedRand) fork() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// jitter returns a random duration between 0.75 and 1.25 times d.
func (r *lockedRand) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}
