package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	crashingPath = "/order/9"
	crashingBody = "order that crashes the upstream"
	// recoveryTime is how long a crashed upstream is down.
	recoveryTime = 3 * time.Second
	// allowedRetries is how many retries of a request that has crashed three upstreams may
	// still reach one.
	allowedRetries = 3
	crashThreshold = 3
	// resends is how often the caller sends the request in each round.
	resends     = 5
	resendPause = 700 * time.Millisecond
	rounds      = 3
	// ordinaryRate is the rate of ordinary orders, in requests per second.
	ordinaryRate = 40
)

// crashLog collects the arrivals of the request that crashes upstreams.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// startCrashing starts an upstream that crashes when it runs the request, and starts again
// some seconds later with a new identity.
func startCrashing(n *node, l *crashLog, upstreams *upstreamList) error {
	u, err := startUpstream(n, func(u *upstream) {
		u.work = payTime
		u.decide = func(path string) verdict {
			if path != crashingPath {
				return runs
			}
			l.add()
			return crashes
		}
		u.crashed = func() {
			time.AfterFunc(recoveryTime, func() {
				if err := startCrashing(n, l, upstreams); err != nil {
					n.fleet.record.add("%s: no upstream: %v", n.name, err)
				}
			})
		}
	})
	if err == nil {
		upstreams.add(u)
	}
	return err
}

// upstreamList holds upstreams that start at any time.
type upstreamList struct {
	mu   sync.Mutex
	list []*upstream
	done bool
}

func (l *upstreamList) add(u *upstream) {
	l.mu.Lock()
	l.list = append(l.list, u)
	done := l.done
	l.mu.Unlock()
	if done {
		u.end()
	}
}

func (l *upstreamList) all() []*upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*upstream(nil), l.list...)
}

func (l *upstreamList) endAll() {
	l.mu.Lock()
	l.done = true
	list := l.list
	l.mu.Unlock()
	endAll(list)
}

// playCrashingRequest plays a request that crashes each upstream that runs it and comes
// again, and rolling restarts of the nodes between. BUDGET: after it has crashed the third
// upstream, it reaches upstreams in at most three further retries.
func playCrashingRequest(r *record, f *fleet, trouble bool) (bool, error) {
	document := configuration(1, []string{"kasir"}, []routeSpec{
		{name: "order", prefix: "/order/", kind: "unsafe", service: "kasir", timeoutMs: 2500, goalMs: 400, attempts: 2},
	})
	if err := f.start([]string{"kasir", "kasir", "kasir"}, document); err != nil {
		return false, err
	}
	l, upstreams := &crashLog{}, &upstreamList{}
	defer upstreams.endAll()
	for _, n := range f.nodes {
		if err := startCrashing(n, l, upstreams); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	c, ordinary := newCallers(r), newCallers(r)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ordinary.orders(f.nodes, stop)
	}()
	next := 0
	for round := range rounds {
		for range resends {
			c.send(f.nodes[next%len(f.nodes)], crashingPath, crashingBody)
			next++
			time.Sleep(resendPause)
		}
		// The upstreams are back after this.
		time.Sleep(recoveryTime + 2*time.Second)
		if trouble && round < rounds-1 {
			for _, n := range f.nodes {
				if err := n.restart(syscall.SIGTERM, restartDelay); err != nil {
					return false, err
				}
			}
			time.Sleep(stableTime + time.Second)
		}
	}
	close(stop)
	<-stopped
	lost := 0
	for _, u := range upstreams.all() {
		lost += countLost(u, ordinary.all())
	}
	r.result("%d of %d ordinary orders ran at an upstream and got no answer of it", lost, len(ordinary.all()))
	l.mu.Lock()
	times := append([]time.Time(nil), l.times...)
	l.mu.Unlock()
	if len(times) < crashThreshold {
		r.result("the request reached only %d upstreams", len(times))
		return false, nil
	}
	further := 0
	for _, at := range times[crashThreshold:] {
		if at.Sub(times[crashThreshold-1]) > stableTime {
			further++
		}
	}
	r.result("the request was sent %d times and reached upstreams %d times, %d of them later than %v after the third crash",
		len(c.all()), len(times), further, stableTime)
	return further > allowedRetries, nil
}

// orders sends ordinary orders to the nodes that are ready, each with a body of its own.
func (c *callers) orders(nodes []*node, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / ordinaryRate)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			c.send(nodes[i%len(nodes)], "/order/1", fmt.Sprintf("order %d", i))
		}()
	}
}
