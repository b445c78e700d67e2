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

// world is a fleet of gates that share only a platform.
type world struct {
	now        time.Time
	tenures    map[string]idempotency.Lease
	placements []idempotency.ShardMap
	gates      []*gate
	keys       []*keyHistory
}

// gate is one incarnation; it may be a former one that does not know it.
type gate struct {
	upstream string
	name     string
	skew     time.Duration
	records  *idempotency.Records
	pending  *extension
}

// extension is a renewal whose parts happen at different times.
type extension struct {
	now        time.Time
	placements []idempotency.ShardMap
	read       idempotency.Lease
}

type keyHistory struct {
	key      idempotency.Key
	runs     int
	notRunAt time.Time
	open     *idempotency.Record
	openAt   *gate
}

func ownKey(t *rapid.T, at time.Time, serial int) idempotency.Key {
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

func (w *world) clock(g *gate) time.Time { return w.now.Add(g.skew) }

func (w *world) start(t *rapid.T, upstream string) {
	name := fmt.Sprintf("incarnation-%d", len(w.gates))
	skew := time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
	w.gates = append(w.gates, &gate{
		upstream: upstream, name: name, skew: skew,
		records: idempotency.NewRecords(upstream, name, idempotency.WithCapacity(8, 1<<20), idempotency.WithRetention(retention)),
	})
}

func (w *world) pickGate(t *rapid.T) *gate { return rapid.SampledFrom(w.gates).Draw(t, "gate") }

// Property: whatever is paused, restarted, delayed or published, a key runs at
// most once, and never after a promise that it did not run.
func TestKeysRunAtMostOnce(t *testing.T) {
	upstreams := []string{"kasir-1", "kasir-2"}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.UnixMilli(1_800_000_000_000), tenures: map[string]idempotency.Lease{}}
		w.placements = []idempotency.ShardMap{{From: w.now, Upstreams: upstreams}}
		for _, upstream := range upstreams {
			w.start(t, upstream)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				step := rapid.SampledFrom([]time.Duration{
					time.Second, 40 * time.Second, idempotency.LeaseDuration, retention + time.Second, 700 * time.Millisecond,
				}).Draw(t, "step")
				w.now = w.now.Add(step)
			},
			"restart": func(t *rapid.T) { w.start(t, rapid.SampledFrom(upstreams).Draw(t, "upstream")) },
			"mint": func(t *rapid.T) {
				offset := rapid.SampledFrom([]time.Duration{
					-time.Second, 0, 300 * time.Millisecond, time.Second, time.Minute, idempotency.LeaseDuration - time.Second, idempotency.LeaseDuration + time.Second,
				}).Draw(t, "offset")
				key := ownKey(t, w.now.Add(offset), len(w.keys))
				if rapid.Bool().Draw(t, "ticket") {
					g := w.pickGate(t)
					minted, err := idempotency.Mint(g.upstream, g.name)
					if err != nil {
						t.Fatal(err)
					}
					// A ticket is minted by the real clock; give it this world's time.
					text := fmt.Sprintf("bx1/%s/%s/%s", g.upstream, g.name, key.String())
					key, err = idempotency.Parse(text)
					if err != nil || !minted.IsTicket() {
						t.Fatalf("ticket: %v", err)
					}
				}
				w.keys = append(w.keys, &keyHistory{key: key})
			},
			"extend-begin": func(t *rapid.T) {
				g := w.pickGate(t)
				g.pending = &extension{now: w.clock(g), placements: w.placements, read: w.tenures[g.upstream]}
			},
			"extend-end": func(t *rapid.T) {
				g := w.pickGate(t)
				if g.pending == nil {
					t.Skip("nothing pending")
				}
				e := g.pending
				g.pending = nil
				if w.tenures[g.upstream] != e.read {
					return // the compare-and-swap fails
				}
				next := e.read.Extend(g.name, e.now)
				w.tenures[g.upstream] = stored(t, next)
				if rapid.Bool().Draw(t, "answer lost") {
					return
				}
				g.records.SetLease(next, e.placements)
			},
			"renew":   func(t *rapid.T) { w.renew(t, w.pickGate(t)) },
			"release": func(t *rapid.T) { w.release(w.pickGate(t)) },
			"replace": func(t *rapid.T) {
				old := w.pickGate(t)
				w.release(old)
				w.start(t, old.upstream)
				w.renew(t, w.gates[len(w.gates)-1])
			},
			"publish": func(t *rapid.T) {
				list := rapid.SampledFrom([][]string{upstreams, upstreams[:1], upstreams[1:]}).Draw(t, "list")
				skew := time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
				from := idempotency.ShardMapStart(w.now.Add(skew))
				last := w.placements[len(w.placements)-1].From
				if from.Before(last) {
					from = last
				}
				w.placements = append(append([]idempotency.ShardMap{}, w.placements...),
					idempotency.ShardMap{From: from, Upstreams: list})
			},
			"send":       w.sendOne,
			"send again": w.sendOne,
			"send to all": func(t *rapid.T) {
				if len(w.keys) == 0 {
					t.Skip("no key")
				}
				k := rapid.SampledFrom(w.keys).Draw(t, "key")
				for _, g := range w.gates {
					w.send(t, k, g)
				}
			},
			"settle": func(t *rapid.T) {
				for _, k := range w.keys {
					if k.open != nil {
						w.settle(t, k)
						return
					}
				}
				t.Skip("nothing runs")
			},
		})
	})
}

// stored returns a tenure as it comes back from the platform.
func stored(t *rapid.T, tenure idempotency.Lease) idempotency.Lease {
	data, err := codec.Marshal(tenure)
	if err != nil {
		t.Fatal(err)
	}
	var found idempotency.Lease
	if err := codec.Unmarshal(data, &found); err != nil {
		t.Fatal(err)
	}
	return found
}

func (w *world) renew(t *rapid.T, g *gate) {
	next := w.tenures[g.upstream].Extend(g.name, w.clock(g))
	w.tenures[g.upstream] = stored(t, next)
	g.records.SetLease(next, w.placements)
}

func (w *world) release(g *gate) {
	accepted := g.records.Stop()
	if held := w.tenures[g.upstream]; held.Incarnation == g.name {
		w.tenures[g.upstream] = held.Release(w.clock(g), accepted)
	}
}

func (w *world) sendOne(t *rapid.T) {
	if len(w.keys) == 0 {
		t.Skip("no key")
	}
	w.send(t, rapid.SampledFrom(w.keys).Draw(t, "key"), w.pickGate(t))
}

func (w *world) send(t *rapid.T, k *keyHistory, g *gate) {
	lag := time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond
	received := w.now.Add(-lag)
	record, mine, refusal := g.records.Claim(w.clock(g), idempotency.Request{Key: k.key, Fingerprint: 1, Received: received})
	if refusal != nil {
		if refusal.Outcome() == call.NotRun && k.runs > 0 {
			t.Fatalf("key %s: not-run was told after a run", k.key)
		}
		return
	}
	if !mine {
		return
	}
	if !k.notRunAt.IsZero() && !received.After(k.notRunAt) {
		t.Fatalf("key %s: a send from before the promise runs", k.key)
	}
	if k.open != nil {
		t.Fatalf("key %s: claimed twice at once", k.key)
	}
	k.open, k.openAt = record, g
}

// settle ends the claim in one of the ways that a gate can.
func (w *world) settle(t *rapid.T, k *keyHistory) {
	now := w.clock(k.openAt)
	switch rapid.IntRange(0, 2).Draw(t, "ending") {
	case 0:
		k.open.SetNotRun(now, call.ReasonOverload)
		k.notRunAt = w.now
	case 1:
		k.runs++
		k.open.SetUnknown(now, call.ReasonCut)
	case 2:
		k.runs++
		k.open.SetAnswered(now, &idempotency.Answer{Status: 200})
	}
	k.open = nil
	if k.runs > 1 {
		t.Fatalf("key %s ran %d times", k.key, k.runs)
	}
}
