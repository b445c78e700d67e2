package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time that the demand covers: long enough for some tens of
	// requests at an entry node.
	demandWindow = 2 * time.Second
	// minScale is the scale at which counts are rebased, and minCalls the calls from
	// which an organisation is kept then.
	minScale = 1e-3
	minCalls = 0.01
	// maxFresh is the number of organisations up to which the equal parts are found for
	// each call. Beyond it, they are used for levelLifetime, since all are visited.
	maxFresh = 32
	// maxRounds bounds the rounds in which equal parts are found; each adds the
	// organisations that ask for less than the part of the round before.
	maxRounds = 16
)

// demand counts calls by rank, most urgent first, and organisation, decaying over
// demandWindow.
type demand struct {
	since time.Time
	ranks []*rankDemand
	// scale is what the counts are multiplied by; it decreases instead of all of them.
	scale float64
}

// rankDemand is the demand of one rank.
type rankDemand struct {
	rank           int
	calls          float64
	byOrganisation map[string]float64
	// quota is the calls that each organisation gets at most, as of quotaAt.
	quota   float64
	quotaAt time.Time
}

func newDemand(now time.Time) *demand { return &demand{since: now, scale: 1} }

// add adds calls of a rank and returns that rank.
func (d *demand) add(now time.Time, rank int, organisation string, calls float64) *rankDemand {
	d.scale *= math.Exp(-float64(now.Sub(d.since)) / float64(demandWindow))
	d.since = now
	if d.scale < minScale {
		d.rebase()
	}
	i, found := slices.BinarySearchFunc(d.ranks, rank, func(r *rankDemand, rank int) int { return cmp.Compare(r.rank, rank) })
	if !found {
		d.ranks = slices.Insert(d.ranks, i, &rankDemand{rank: rank, byOrganisation: map[string]float64{}})
	}
	r := d.ranks[i]
	r.calls += calls / d.scale
	r.byOrganisation[organisation] += calls / d.scale
	return r
}

// rebase multiplies the counts by the scale and drops those that have decayed.
func (d *demand) rebase() {
	for _, r := range d.ranks {
		r.calls *= d.scale
		r.quotaAt = time.Time{}
		for organisation, calls := range r.byOrganisation {
			if calls *= d.scale; calls < minCalls {
				delete(r.byOrganisation, organisation)
			} else {
				r.byOrganisation[organisation] = calls
			}
		}
	}
	d.scale = 1
}

// within reports whether a call of a rank lies within the admitted share of the demand.
// Ranks are admitted in their order. In the one at the border, organisations get equal
// parts of the room, as far as they ask for it; draw decides on the calls of one that
// asks for more.
func (d *demand) within(now time.Time, own *rankDemand, organisation string, admitted, draw float64) bool {
	before, all := 0.0, 0.0
	for _, r := range d.ranks {
		if r.rank < own.rank {
			before += r.calls
		}
		all += r.calls
	}
	room := admitted*all - before
	switch {
	case room <= 0:
		return false
	case room >= own.calls:
		return true
	}
	if len(own.byOrganisation) <= maxFresh || own.quotaAt.IsZero() || now.Sub(own.quotaAt) >= levelLifetime {
		own.quota, own.quotaAt = own.equalParts(room), now
	}
	return draw*own.byOrganisation[organisation] < own.quota
}

// equalParts returns the calls that each organisation gets at most, so that all together
// get room, which is less than they ask for: max-min fairness. Those that ask for less than
// an equal part leave the rest to the others.
func (r *rankDemand) equalParts(room float64) float64 {
	part := 0.0
	for range maxRounds {
		satisfied, more := 0.0, 0
		for _, calls := range r.byOrganisation {
			if calls <= part {
				satisfied += calls
			} else {
				more++
			}
		}
		next := (room - satisfied) / float64(max(more, 1))
		if next <= part {
			break
		}
		part = next
	}
	return part
}
