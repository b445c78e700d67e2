package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/idempotency"
)

const retention = 5 * time.Minute

// fleet is a set of gates that share only the platform's leases and shard maps.
type fleet struct {
	now       time.Time
	leases    map[string]idempotency.Lease
	shardMaps []idempotency.ShardMap
	gates     []*gate
	keys      []*keyHistory
}

// gate is one incarnation, which may have been replaced without noticing.
type gate struct {
	upstream    string
	incarnation string
	skew        time.Duration
	records     *idempotency.Records
	pending     *extension
}

// extension is a lease renewal that has read the platform but not written yet.
type extension struct {
	now       time.Time
	shardMaps []idempotency.ShardMap
	read      idempotency.Lease
}

type keyHistory struct {
	key       idempotency.Key
	runs      int
	notRunAt  time.Time
	claim     *idempotency.Record
	claimedBy *gate
}

func callerKey(t *rapid.T, at time.Time, serial int) idempotency.Key {
	var id uuid.UUID
	milliseconds := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(milliseconds >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	id[14], id[15] = byte(serial>>8), byte(serial)
	key, err := idempotency.Parse(id.String())
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	return key
}

func (f *fleet) clock(g *gate) time.Time { return f.now.Add(g.skew) }

func (f *fleet) start(t *rapid.T, upstream string) {
	incarnation := fmt.Sprintf("incarnation-%d", len(f.gates))
	skew := time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
	f.gates = append(f.gates, &gate{
		upstream: upstream, incarnation: incarnation, skew: skew,
		records: idempotency.NewRecords(upstream, incarnation, idempotency.WithCapacity(8, 1<<20), idempotency.WithRetention(retention)),
	})
}

func (f *fleet) pickGate(t *rapid.T) *gate { return rapid.SampledFrom(f.gates).Draw(t, "gate") }

// Property: a key runs at most once, and no send received before a not-run
// report runs after it, under pauses, restarts, delays, clock skew, lost responses
// and changes of the list of upstreams.
func TestKeysRunAtMostOnce(t *testing.T) {
	upstreams := []string{"kasir-1", "kasir-2"}
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.UnixMilli(1_800_000_000_000), leases: map[string]idempotency.Lease{}}
		f.shardMaps = []idempotency.ShardMap{{From: f.now, Upstreams: upstreams}}
		for _, upstream := range upstreams {
			f.start(t, upstream)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				step := rapid.SampledFrom([]time.Duration{
					time.Second, 40 * time.Second, idempotency.LeaseDuration, retention + time.Second, 700 * time.Millisecond,
				}).Draw(t, "step")
				f.now = f.now.Add(step)
			},
			"restart": func(t *rapid.T) { f.start(t, rapid.SampledFrom(upstreams).Draw(t, "upstream")) },
			"mint": func(t *rapid.T) {
				offset := rapid.SampledFrom([]time.Duration{
					-time.Second, 0, 300 * time.Millisecond, time.Second, time.Minute, idempotency.LeaseDuration - time.Second, idempotency.LeaseDuration + time.Second,
				}).Draw(t, "offset")
				key := callerKey(t, f.now.Add(offset), len(f.keys))
				if rapid.Bool().Draw(t, "ticket") {
					g := f.pickGate(t)
					minted, err := idempotency.Mint(g.upstream, g.incarnation)
					if err != nil {
						t.Fatal(err)
					}
					// Mint uses the real clock; build the ticket with the simulated time.
					text := fmt.Sprintf("bx1/%s/%s/%s", g.upstream, g.incarnation, key.String())
					key, err = idempotency.Parse(text)
					if err != nil || !minted.IsTicket() {
						t.Fatalf("ticket: %v", err)
					}
				}
				f.keys = append(f.keys, &keyHistory{key: key})
			},
			"extend-begin": func(t *rapid.T) {
				g := f.pickGate(t)
				g.pending = &extension{now: f.clock(g), shardMaps: f.shardMaps, read: f.leases[g.upstream]}
			},
			"extend-end": func(t *rapid.T) {
				g := f.pickGate(t)
				if g.pending == nil {
					t.Skip("no extension pending")
				}
				e := g.pending
				g.pending = nil
				if f.leases[g.upstream] != e.read {
					return // the compare-and-swap fails
				}
				next := e.read.Extend(g.incarnation, e.now)
				f.leases[g.upstream] = roundTrip(t, next)
				if rapid.Bool().Draw(t, "response lost") {
					return
				}
				g.records.SetLease(next, e.shardMaps)
			},
			"renew":   func(t *rapid.T) { f.renew(t, f.pickGate(t)) },
			"release": func(t *rapid.T) { f.release(f.pickGate(t)) },
			"replace": func(t *rapid.T) {
				old := f.pickGate(t)
				f.release(old)
				f.start(t, old.upstream)
				f.renew(t, f.gates[len(f.gates)-1])
			},
			"publish": func(t *rapid.T) {
				list := rapid.SampledFrom([][]string{upstreams, upstreams[:1], upstreams[1:]}).Draw(t, "list")
				skew := time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
				from := idempotency.ShardMapStart(f.now.Add(skew))
				last := f.shardMaps[len(f.shardMaps)-1].From
				if from.Before(last) {
					from = last
				}
				f.shardMaps = append(append([]idempotency.ShardMap{}, f.shardMaps...),
					idempotency.ShardMap{From: from, Upstreams: list})
			},
			"send":       f.sendRandom,
			"send again": f.sendRandom,
			"send to all": func(t *rapid.T) {
				if len(f.keys) == 0 {
					t.Skip("no key")
				}
				k := rapid.SampledFrom(f.keys).Draw(t, "key")
				for _, g := range f.gates {
					f.send(t, k, g)
				}
			},
			"set outcome": func(t *rapid.T) {
				for _, k := range f.keys {
					if k.claim != nil {
						f.complete(t, k)
						return
					}
				}
				t.Skip("no claimed key")
			},
		})
	})
}

// roundTrip returns the lease as the platform returns it, encoded and decoded.
func roundTrip(t *rapid.T, lease idempotency.Lease) idempotency.Lease {
	data, err := codec.Marshal(lease)
	if err != nil {
		t.Fatal(err)
	}
	var found idempotency.Lease
	if err := codec.Unmarshal(data, &found); err != nil {
		t.Fatal(err)
	}
	return found
}

func (f *fleet) renew(t *rapid.T, g *gate) {
	next := f.leases[g.upstream].Extend(g.incarnation, f.clock(g))
	f.leases[g.upstream] = roundTrip(t, next)
	g.records.SetLease(next, f.shardMaps)
}

func (f *fleet) release(g *gate) {
	lastClaimed := g.records.Stop()
	if lease := f.leases[g.upstream]; lease.Incarnation == g.incarnation {
		f.leases[g.upstream] = lease.Release(f.clock(g), lastClaimed)
	}
}

func (f *fleet) sendRandom(t *rapid.T) {
	if len(f.keys) == 0 {
		t.Skip("no key")
	}
	f.send(t, rapid.SampledFrom(f.keys).Draw(t, "key"), f.pickGate(t))
}

func (f *fleet) send(t *rapid.T, k *keyHistory, g *gate) {
	lag := time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond
	received := f.now.Add(-lag)
	record, claimed, refusal := g.records.Claim(f.clock(g), idempotency.Request{Key: k.key, Fingerprint: 1, Received: received})
	if refusal != nil {
		if refusal.Outcome() == call.NotRun && k.runs > 0 {
			t.Fatalf("key %s: reported as not-run after it ran", k.key)
		}
		return
	}
	if !claimed {
		return
	}
	if !k.notRunAt.IsZero() && !received.After(k.notRunAt) {
		t.Fatalf("key %s: claimed by a send received before the not-run report", k.key)
	}
	if k.claim != nil {
		t.Fatalf("key %s: claimed by two sends at the same time", k.key)
	}
	k.claim, k.claimedBy = record, g
}

// complete ends the claim with one of the outcomes that a gate reports.
func (f *fleet) complete(t *rapid.T, k *keyHistory) {
	now := f.clock(k.claimedBy)
	switch rapid.IntRange(0, 2).Draw(t, "ending") {
	case 0:
		k.claim.SetNotRun(now, call.ReasonOverload)
		k.notRunAt = f.now
	case 1:
		k.runs++
		k.claim.SetUnknown(now, call.ReasonCut)
	case 2:
		k.runs++
		k.claim.SetAnswered(now, &idempotency.Answer{Status: 200})
	}
	k.claim = nil
	if k.runs > 1 {
		t.Fatalf("key %s ran %d times", k.key, k.runs)
	}
}
