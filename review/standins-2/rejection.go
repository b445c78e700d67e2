package main

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// rejectedShare is the share of the requests that the upstream rejects as it is full.
	rejectedShare = 0.2
	// repeatedShare is the share of its answers that it sends once more.
	repeatedShare = 0.03
	// episodes is how often the upstream sends further answers, each time for episodeTime.
	episodes    = 5
	episodeTime = 5 * time.Second
	calmTime    = 3 * time.Second
)

// playRepeatedRejection plays an upstream that now and then sends an answer once more, where
// the next one on the connection is expected. REFUSED: no request that was answered 503 ran.
func playRepeatedRejection(r *record, f *fleet, trouble bool) (bool, error) {
	document := configuration(1, []string{"kasir", "etalase"}, []routeSpec{
		{name: "pay", prefix: "/pay/", kind: "unsafe", service: "kasir", timeoutMs: 2500, goalMs: 400, attempts: 2},
		{name: "stock", prefix: "/stock/", kind: "safe", service: "etalase", timeoutMs: 2000, goalMs: 300, attempts: 2},
	})
	if err := f.start([]string{"kasir", "etalase", "etalase"}, document); err != nil {
		return false, err
	}
	var faulty atomic.Bool
	upstreams := make([]*upstream, 0, len(f.nodes))
	for i, n := range f.nodes {
		u, err := startUpstream(n, func(u *upstream) {
			if i > 0 {
				return
			}
			u.decide = func(string) verdict {
				if rand.Float64() < rejectedShare {
					return rejects
				}
				return runs
			}
			u.repeats = func() bool { return faulty.Load() && rand.Float64() < repeatedShare }
		})
		if err != nil {
			return false, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	time.Sleep(3 * time.Second)
	c := newCallers(r)
	for range episodes {
		faulty.Store(trouble)
		c.load(f.nodes, 100, episodeTime, "/pay/candle", "one candle")
		faulty.Store(false)
		c.load(f.nodes, 100, calmTime, "/pay/candle", "one candle")
	}
	list := c.all()
	time.Sleep(time.Second)
	count := map[string]int{}
	for _, a := range upstreams[0].seen() {
		if a.ran {
			count[a.id]++
		}
	}
	served, refused, broken := 0, 0, 0
	for _, s := range list {
		switch {
		case s.status == http.StatusOK:
			served++
		case s.promised():
			refused++
			if count[s.id] > 0 {
				broken++
				r.add("REFUSED: %s was answered %d and ran %d times", s.id, s.status, count[s.id])
			}
		}
	}
	r.result("%d requests, %d served, %d told that they have not run; %d of these ran", len(list), served, refused, broken)
	return broken > 0, nil
}
