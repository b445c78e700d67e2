package node

import (
	"io"
	stdlog "log"
	"math/rand/v2"
	"sync"
	"time"
)

// discardLog drops what net/http prints about broken connections, which the
// callers' outcomes already count.
var discardLog = stdlog.New(io.Discard, "", 0)

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rng: rand.New(rand.NewPCG(seed, seed))}
}

// fork returns an independent source.
func (r *lockedRand) fork() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// jitter returns a duration between three and five quarters of d.
func (r *lockedRand) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}
