package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// routeTimeout is the time that routes give a request.
	routeTimeout = 3 * time.Second
	// waitMargin is how long a caller waits beyond that; a machine that is busy
	// makes everything late.
	waitMargin = 5 * time.Second
	// meanThinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 25 * time.Millisecond
	// callersPerNode is how many callers keep a connection to each node.
	callersPerNode = 3
)

// record is what a caller saw of one request.
type record struct {
	id, path             string
	node, incarnation    int
	atMostOnce, stopping bool
	// sameProcess tells that no other process of the node was started meanwhile.
	sameProcess bool
	sent, ended time.Time
	answer      standin.CallerAnswer
	err         error
	// version is the configuration that the request asks for, 0 for none.
	version int
	// priorFault is when the fleet was last disturbed by something that was not
	// planned, as known when the request ended.
	priorFault time.Time
}

// runCaller sends requests to one node over one connection until ctx ends.
func (f *fleet) runCaller(ctx context.Context, n *node, callerIndex int) {
	rng := rand.New(rand.NewPCG(f.options.Seed, uint64(n.index*callersPerNode+callerIndex)))
	c := standin.NewCaller()
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		r := record{id: fmt.Sprintf("r-%d-%d-%d", n.index, callerIndex, i), node: n.index}
		switch rng.IntN(5) {
		case 0:
			r.version = f.drawVersion(rng)
			r.path = fmt.Sprintf("/only-%d/1", r.version)
		case 1, 2:
			r.path, r.atMostOnce = "/pay/1", true
		default:
			r.path = "/view/1"
		}
		f.send(ctx, c, n, r)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// drawVersion returns the latest configuration, or the one before it.
func (f *fleet) drawVersion(rng *rand.Rand) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.publishedAt)-rng.IntN(2))
}

// send sends one request and keeps what came of it.
func (f *fleet) send(ctx context.Context, c *standin.Caller, n *node, r record) record {
	r.incarnation, r.stopping = n.processState()
	r.sent = time.Now()
	// A request that is on its way is waited for also when the run ends.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), routeTimeout+waitMargin)
	defer cancel()
	r.answer, r.err = c.Send(callCtx, n.callers, r.path, r.id, routeTimeout)
	r.ended = time.Now()
	after, _ := n.processState()
	r.sameProcess = after == r.incarnation
	f.mu.Lock()
	defer f.mu.Unlock()
	r.priorFault = f.lastFault
	f.records = append(f.records, r)
	return r
}
