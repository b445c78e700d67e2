package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// closeRaceWindow is how long after its sending a request may still meet the close
	// of its connection.
	closeRaceWindow = 200 * time.Millisecond
	// maxPropagation is how long after its storing a configuration may not be known.
	maxPropagation = 2 * time.Second
	// maxViolations bounds the violations that are listed.
	maxViolations = 20
)

// recordViolation records something that must not happen.
func (f *fleet) recordViolation(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
	}
}

// requestRun is one requestRun of a request at an upstream.
type requestRun struct {
	instance          string
	node              *node
	startedAt, leftAt time.Time
	body              string
}

// check compares what callers and upstreams saw.
func (f *fleet) check() {
	runs := map[string][]requestRun{}
	for _, n := range f.nodes {
		n.mu.Lock()
		servers := n.servers
		n.mu.Unlock()
		for _, s := range servers {
			for _, r := range s.backend.Runs() {
				runs[r.ID] = append(runs[r.ID], requestRun{
					instance: s.backend.Instance(), node: n, startedAt: r.At, leftAt: s.leftAt, body: r.Body,
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
			f.recordViolation("%s ran and nobody sent it", id)
		}
	}
	f.checkVersions()
}

// checkAnswer checks that an answer is the request's own and true.
func (f *fleet) checkAnswer(r *record, runs []requestRun) {
	switch {
	case r.err != nil:
	case r.answer.ID != r.id:
		f.recordViolation("%s got the answer to %q, status %d", r.id, r.answer.ID, r.answer.Status)
	case r.answer.Status == http.StatusOK:
		if !r.answer.Stamped {
			f.recordViolation("%s got a success that no upstream signed", r.id)
		}
		for _, one := range runs {
			if r.answer.Body == one.instance+" body of "+r.id {
				return
			}
		}
		f.recordViolation("%s got %q, which none of its %d runs answered", r.id, r.answer.Body, len(runs))
	case r.answer.Refused() && r.atMostOnce && len(runs) > 0:
		f.recordViolation("%s was refused with %d and ran at %s", r.id, r.answer.Status, runs[0].instance)
	case r.answer.Status == http.StatusNotFound && r.version == 0:
		f.recordViolation("%s was denied, though every configuration has its route", r.id)
	}
}

// checkRuns checks what reached upstreams.
func (f *fleet) checkRuns(r *record, runs []requestRun) {
	if r.atMostOnce && len(runs) > 1 {
		f.recordViolation("%s ran %d times, at %s and %s", r.id, len(runs), runs[0].instance, runs[1].instance)
	}
	for _, one := range runs {
		if one.body != "body of "+r.id {
			f.recordViolation("%s reached %s with another body: %q", r.id, one.instance, one.body)
		}
		if one.leftAt.IsZero() || !f.options.CheckTiming {
			continue
		}
		one.node.mu.Lock()
		lastUpstreamFault := one.node.lastUpstreamFault
		one.node.mu.Unlock()
		if delay := one.startedAt.Sub(one.leftAt); delay > drainPeriod && one.startedAt.Sub(lastUpstreamFault) > faultFreePeriod {
			f.recordViolation("%s reached %s %s after its leaving was acknowledged", r.id, one.instance, delay.Round(time.Millisecond))
		}
	}
}

// checkLoss checks that planned work alone loses nothing.
func (f *fleet) checkLoss(r *record, runs []requestRun) {
	if r.err == nil || !f.options.CheckTiming || r.sent.Sub(r.priorFault) < faultFreePeriod {
		return
	}
	elapsed := r.ended.Sub(r.sent)
	if len(runs) == 0 && (elapsed < closeRaceWindow || r.stopping) {
		// It crossed the close of its connection, or found nobody.
		return
	}
	f.recordViolation("%s was lost after %s with only planned work going on, %d runs: %v",
		r.id, elapsed.Round(time.Millisecond), len(runs), r.err)
}

// checkVersions checks that no process goes back to an earlier configuration.
// Only the version that a request asks for serves it.
func (f *fleet) checkVersions() {
	type process struct{ node, incarnation int }
	latest := map[process]record{}
	for _, r := range f.records {
		if r.version == 0 || r.err != nil || r.answer.Status != http.StatusOK || !r.sameProcess {
			continue
		}
		p := process{r.node, r.incarnation}
		if before, ok := latest[p]; ok && r.version < before.version && r.sent.After(before.ended) {
			f.recordViolation("host-%d served version %d after %s had been served version %d", r.node, r.version, before.id, before.version)
		}
		if before, ok := latest[p]; !ok || r.version > before.version {
			latest[p] = r
		}
	}
	if !f.options.CheckTiming {
		return
	}
	for _, r := range f.records {
		if r.version == 0 || r.err != nil || r.answer.Status != http.StatusNotFound || r.sent.Sub(r.priorFault) < faultFreePeriod {
			continue
		}
		if elapsed := r.sent.Sub(f.publishedAt[r.version-1]); elapsed > maxPropagation && (r.version == len(f.publishedAt) || r.ended.Before(f.publishedAt[r.version])) {
			f.recordViolation("host-%d did not know version %d after %s", r.node, r.version, elapsed.Round(time.Millisecond))
		}
	}
}
