package soak

import (
	"context"
	"math/rand/v2"
	"time"
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
	f.platform.SetDown(true)
	sleep(ctx, e.duration)
	f.platform.Restore(saved)
	sleep(ctx, e.duration/2)
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
	f.platform.SetDown(true)
	sleep(ctx, maxDuration/2)
	f.platform.Restore(saved)
	f.mu.Lock()
	f.storeLatest()
	f.mu.Unlock()
	f.publishConfiguration()
	return len(f.publishedAt)
}

// storeLatest writes the latest version of the configuration; f.mu is held.
func (f *fleet) storeLatest() {
	f.platform.StoreConfiguration(len(f.publishedAt), service, f.options.calledService(), routeTimeout)
}
