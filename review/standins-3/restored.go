package main

import (
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 3 * time.Second
	// awayTime is how long the store is away.
	awayTime = 1500 * time.Millisecond
)

// restoredStore changes the configuration twice, restores the store from a copy from before
// that, and at once moves the routes to another service.
func restoredStore(f *fleet, trouble bool) error {
	f.publish(f.store.operators(), 10, "kasir", "grosir", routeTimeout)
	if err := f.startThree(nil); err != nil {
		return err
	}
	saved, err := f.store.backUp()
	if err != nil {
		return err
	}
	copied := time.Now()
	for version := 11; version <= 12; version++ {
		time.Sleep(time.Second)
		f.publish(f.store.operators(), version, "kasir", "grosir", routeTimeout+time.Duration(version)*time.Millisecond)
	}
	if err := f.awaitServing("/only-12/stock"); err != nil {
		return err
	}
	time.Sleep(time.Until(copied.Add(copyAge)))
	move := func(p *standin.Platform) { f.publish(p, 13, "grosir", "kasir", routeTimeout) }
	if trouble {
		f.store.goAway()
		time.Sleep(awayTime)
		err := f.store.restore(saved, func(p *standin.Platform) {
			f.publish(p, 12, "kasir", "grosir", routeTimeout+12*time.Millisecond)
			move(p)
		})
		if err != nil {
			return err
		}
	} else {
		time.Sleep(awayTime)
		move(f.store.operators())
	}
	time.Sleep(storeBounds)
	return f.judgeMoved()
}
