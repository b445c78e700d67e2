package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashingPath is the path of a request that crashes upstreams if it comes from a host of
	// crashingCaller, and of a harmless one from hosts of other services. It is not idempotent.
	crashingPath   = "/pay/candles"
	crashingCaller = "grosir"
	// crashingPause is the pause between two such requests, and crashingTime how long they
	// come. harmlessPause is the pause between two harmless ones at a node.
	crashingPause = 4 * time.Second
	crashingTime  = 60 * time.Second
	harmlessPause = 50 * time.Millisecond
	// stableTime is stable_ms.
	stableTime = 3 * time.Second
	// crashesBefore is the number of crashes after which retries are counted, and maxRetries
	// how many of them may reach upstreams.
	crashesBefore = 3
	maxRetries    = 3
)

// crashingTwin sends a request again and again that crashes each upstream that begins to run
// it, while callers of another service send one with the same path and body that does not.
func crashingTwin(f *fleet, trouble bool) error {
	h, err := readHeaders()
	if err != nil {
		return err
	}
	f.publish(f.store.operators(), 10, "kasir", "grosir", routeTimeout)
	caller := ""
	if trouble {
		caller = crashingCaller
	}
	var mu sync.Mutex
	var arrivals []time.Time
	arrived := func() {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	for _, n := range []struct{ name, failureDomain, service string }{
		{"kasir-1", "z1", "kasir"}, {"kasir-2", "z2", "kasir"}, {"kasir-3", "z3", "kasir"}, {"grosir-1", "z1", "grosir"},
	} {
		added, err := f.prepare(n.name, n.failureDomain, n.service, nil)
		if err != nil {
			return err
		}
		if n.service == "kasir" {
			c, err := newCrasher(h, added, f.record, crashingPath, caller, arrived)
			if err != nil {
				return err
			}
			defer c.close()
		}
		if err := f.launch(added); err != nil {
			return err
		}
	}
	if err := f.awaitServing("/view/stock"); err != nil {
		return err
	}
	time.Sleep(settleTime)
	end := time.Now().Add(crashingTime)
	var callers sync.WaitGroup
	var harmless, unknown atomic.Int64
	for _, n := range f.nodes[:3] {
		callers.Go(func() {
			for ; time.Now().Before(end); time.Sleep(harmlessPause) {
				harmless.Add(1)
				if f.send(n, crashingPath).Status == http.StatusBadGateway {
					unknown.Add(1)
				}
			}
		})
	}
	for time.Now().Before(end) {
		f.send(f.nodes[3], crashingPath)
		time.Sleep(crashingPause)
	}
	callers.Wait()
	f.record.add("of %d harmless requests, %d ended with status 502", harmless.Load(), unknown.Load())
	mu.Lock()
	defer mu.Unlock()
	return f.judgeRetries(arrivals)
}

// judgeRetries returns errBroken if too many of the arrivals came after the crashes that end
// the retries.
func (f *fleet) judgeRetries(arrivals []time.Time) error {
	retries := 0
	for _, at := range arrivals {
		if len(arrivals) >= crashesBefore && at.Sub(arrivals[crashesBefore-1]) > stableTime {
			retries++
		}
	}
	f.record.add("the request reached upstreams %d times, %d of them later than %v after the third crash", len(arrivals), retries, stableTime)
	if retries > maxRetries {
		return errBroken
	}
	return nil
}
