package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lossSlack is how long after its sending a request may still meet the close
	// of its connection.
	lossSlack = 200 * time.Millisecond
	// inForce is how long after its storing a configuration may not be known.
	inForce = 2 * time.Second
	// maxShown bounds the violations that are listed.
	maxShown = 20
)

// violate records something that must not happen.
func (f *fleet) violate(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.violations) < maxShown {
		f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
	}
}

// run is one run of a request at an upstream.
type run struct {
	instance string
	node     *node
	at, left time.Time
	body     string
}

// check compares what callers and upstreams saw.
func (f *fleet) check() {
	runs := map[string][]run{}
	for _, n := range f.nodes {
		n.mu.Lock()
		servers := n.servers
		n.mu.Unlock()
		for _, s := range servers {
			for _, r := range s.backend.Runs() {
				runs[r.ID] = append(runs[r.ID], run{
					instance: s.backend.Instance(), node: n, at: r.At, left: s.left, body: r.Body,
				})
			}
		}
	}
	sent := map[string]bool{}
	for i := range f.records {
		r := &f.records[i]
		sent[r.id] = true
		f.checkAnswer(r, runs[r.id])
		f.checkRuns(r, runs[r.id])
		f.checkLoss(r, runs[r.id])
	}
	for id := range runs {
		if !sent[id] {
			f.violate("%s ran and nobody sent it", id)
		}
	}
	f.checkVersions()
}

// checkAnswer checks that an answer is the request's own and true.
func (f *fleet) checkAnswer(r *record, runs []run) {
	switch {
	case r.err != nil:
	case r.answer.ID != r.id:
		f.violate("%s got the answer to %q, status %d", r.id, r.answer.ID, r.answer.Status)
	case r.answer.Status == http.StatusOK:
		if !r.answer.Stamped {
			f.violate("%s got a success that no upstream signed", r.id)
		}
		for _, one := range runs {
			if r.answer.Body == one.instance+" body of "+r.id {
				return
			}
		}
		f.violate("%s got %q, which none of its %d runs answered", r.id, r.answer.Body, len(runs))
	case r.answer.Refused() && r.once && len(runs) > 0:
		f.violate("%s was refused with %d and ran at %s", r.id, r.answer.Status, runs[0].instance)
	case r.answer.Status == http.StatusNotFound && r.version == 0:
		f.violate("%s was denied, though every configuration has its route", r.id)
	}
}

// checkRuns checks what reached upstreams.
func (f *fleet) checkRuns(r *record, runs []run) {
	if r.once && len(runs) > 1 {
		f.violate("%s ran %d times, at %s and %s", r.id, len(runs), runs[0].instance, runs[1].instance)
	}
	for _, one := range runs {
		if one.body != "body of "+r.id {
			f.violate("%s reached %s with another body: %q", r.id, one.instance, one.body)
		}
		if one.left.IsZero() || !f.options.CheckTiming {
			continue
		}
		one.node.mu.Lock()
		linked := one.node.linked
		one.node.mu.Unlock()
		if late := one.at.Sub(one.left); late > drainAllowed && one.at.Sub(linked) > calm {
			f.violate("%s reached %s %s after its leaving was acknowledged", r.id, one.instance, late.Round(time.Millisecond))
		}
	}
}

// checkLoss checks that planned work alone loses nothing.
func (f *fleet) checkLoss(r *record, runs []run) {
	if r.err == nil || !f.options.CheckTiming || r.sent.Sub(r.calmSince) < calm {
		return
	}
	took := r.ended.Sub(r.sent)
	if len(runs) == 0 && (took < lossSlack || r.ending) {
		// It crossed the close of its connection, or found nobody.
		return
	}
	f.violate("%s was lost after %s with only planned work going on, %d runs: %v",
		r.id, took.Round(time.Millisecond), len(runs), r.err)
}

// checkVersions checks that no process goes back to an earlier configuration.
// Only the version that a request asks for serves it.
func (f *fleet) checkVersions() {
	type process struct{ node, life int }
	latest := map[process]record{}
	for _, r := range f.records {
		if r.version == 0 || r.err != nil || r.answer.Status != http.StatusOK || !r.same {
			continue
		}
		p := process{r.node, r.life}
		if before, ok := latest[p]; ok && r.version < before.version && r.sent.After(before.ended) {
			f.violate("host-%d served version %d after %s had been served version %d", r.node, r.version, before.id, before.version)
		}
		if before, ok := latest[p]; !ok || r.version > before.version {
			latest[p] = r
		}
	}
	if !f.options.CheckTiming {
		return
	}
	for _, r := range f.records {
		if r.version == 0 || r.err != nil || r.answer.Status != http.StatusNotFound || r.sent.Sub(r.calmSince) < calm {
			continue
		}
		if age := r.sent.Sub(f.published[r.version-1]); age > inForce && (r.version == len(f.published) || r.ended.Before(f.published[r.version])) {
			f.violate("host-%d did not know version %d after %s", r.node, r.version, age.Round(time.Millisecond))
		}
	}
}
