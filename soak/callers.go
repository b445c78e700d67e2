package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// routeTimeout is the timeout of the routes.
	routeTimeout = 3 * time.Second
	// waitMargin is how long a caller waits for an answer beyond the route timeout,
	// since a busy machine delays answers.
	waitMargin = 5 * time.Second
	// callersPerNode is the number of callers that connect to each node.
	callersPerNode = 3
	// longInterval is how many requests of a caller contain one with a long body, which
	// longBody, in bytes, makes too long for the buffer of a node.
	longInterval, longBody = 32, 100 << 10
	// earlyShare is the share of long requests that upstreams answer before they have read
	// the body.
	earlyShare = 0.5
)

// record is one request as the caller observed it.
type record struct {
	id, path string
	// incarnation and stopping are the state of the node's process when the request
	// was sent.
	node, incarnation    int
	atMostOnce, stopping bool
	// long means that the body is too long for the buffer of a node.
	long bool
	// sameProcess reports whether the process of the node was not restarted before
	// the request ended.
	sameProcess bool
	sent, ended time.Time
	answer      standin.CallerAnswer
	err         error
	// version is the configuration version whose route the request uses, or 0 if
	// every version has its route.
	version int
	// priorFault is when a fault of the fleet last began or ended, up to the end of
	// the request.
	priorFault time.Time
}

// body returns the body of the request.
func (r *record) body() string {
	text := "body of " + r.id
	if r.long {
		text += strings.Repeat(" ", longBody)
	}
	return text
}

// runCaller sends requests to one node, one at a time over one persistent
// connection, until ctx ends.
func (f *fleet) runCaller(ctx context.Context, n *node, callerIndex int) {
	rng := rand.New(rand.NewPCG(f.options.Seed, uint64(n.index*f.options.callersPerNode()+callerIndex)))
	c := standin.NewCaller()
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		r := record{id: fmt.Sprintf("r-%d-%d-%d", n.index, callerIndex, i), node: n.index}
		kind := rng.IntN(5)
		if f.options.Scenario == RepeatedRejections {
			kind = min(kind, 1)
		}
		switch kind {
		case 0:
			r.version = f.drawVersion(rng)
			r.path = versionPath(r.version)
		case 1, 2:
			r.path, r.atMostOnce = "/pay/1", true
		case 3:
			r.path = "/view/1"
		default:
			r.path = standin.NestedPath + "1"
		}
		r.long = i%longInterval == longInterval-1
		f.send(ctx, c, n, r)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(f.options.ThinkTime)))
	}
}

// versionPath returns a path that only a version of the configuration has a route for.
func versionPath(version int) string { return fmt.Sprintf("/only-%d/1", version) }

// drawVersion returns the latest configuration version or the one before it.
func (f *fleet) drawVersion(rng *rand.Rand) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.publishedAt)-rng.IntN(2))
}

// send sends one request and records its outcome.
func (f *fleet) send(ctx context.Context, c *standin.Caller, n *node, r record) record {
	r.incarnation, r.stopping = n.processState()
	r.sent = time.Now()
	// A request in progress is not cancelled when the run ends.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), routeTimeout+waitMargin)
	defer cancel()
	r.answer, r.err = c.Send(callCtx, n.callers, r.path, r.id, r.body(), routeTimeout)
	r.ended = time.Now()
	after, _ := n.processState()
	r.sameProcess = after == r.incarnation
	f.mu.Lock()
	defer f.mu.Unlock()
	r.priorFault = f.lastFault
	f.records = append(f.records, r)
	return r
}
