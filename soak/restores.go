package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// restoreStream is the random stream of the restores of the store, apart from those of the
	// other events and of the callers.
	restoreStream = 2 << 32
	// restoreGap is the mean time between two restores of the store.
	restoreGap = 2 * time.Second
	// maxCopyAge bounds the age of the copy from which the store is restored.
	maxCopyAge = 4 * time.Second
)

// drawStoreRestores returns the events of a StoreRestores run in the order of their offsets.
func drawStoreRestores(seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, restoreStream))
	var restores []event
	for offset := time.Duration(0); offset < duration; offset += time.Duration(rng.ExpFloat64() * float64(restoreGap)) {
		restores = append(restores, event{
			offset: offset, kind: storeRestored, copyAge: time.Duration(rng.Int64N(int64(maxCopyAge))),
			duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
		})
	}
	return merge(drawMixed(seed, nodes, duration), restores)
}

// restoreStore brings the store back from a copy after an absence, and later writes again what
// the operators have stored.
func (f *fleet) restoreStore(ctx context.Context, e event) {
	saved := f.platform.Copy()
	sleep(ctx, e.copyAge)
	f.bringBack(ctx, saved, e.duration, e.duration/2)
}

// bringBack takes the store away, restores it from a copy, and then writes the latest version of
// the configuration again after a while.
func (f *fleet) bringBack(ctx context.Context, saved standin.Copy, absence, untilRewrite time.Duration) {
	f.platform.SetDown(true)
	sleep(ctx, absence)
	f.platform.Restore(saved)
	sleep(ctx, untilRewrite)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLatest()
}

// restoreLast restores the store a last time, without what the operators have stored twice since
// the copy, writes the latest version of the configuration again and a new one at once, and
// returns the new one. Nothing is stored after that, so nodes that miss it do not hear of it.
func (f *fleet) restoreLast(ctx context.Context) int {
	saved := f.platform.Copy()
	for range 2 {
		f.publishConfiguration()
		sleep(ctx, minDuration)
	}
	f.bringBack(ctx, saved, maxDuration/2, 0)
	f.publishConfiguration()
	return len(f.publishedAt)
}

// storeLatest writes the latest version of the configuration; f.mu is held.
func (f *fleet) storeLatest() {
	f.platform.StoreConfiguration(len(f.publishedAt), service, f.options.calledService(), routeTimeout)
}
