package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// closeRaceWindow is how long after its start a request may fail because the node
	// closes the connection.
	closeRaceWindow = 200 * time.Millisecond
	// maxPropagation is the maximum time from the publication of a configuration
	// until all nodes serve it.
	maxPropagation = 2 * time.Second
	// maxViolations is the maximum number of violations in a report.
	maxViolations = 20
)

// recordViolation adds a violation to the report.
func (f *fleet) recordViolation(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
	}
}

// requestRun is one execution of a request at an upstream, with the time at which
// the deregistration of the upstream was acknowledged, if it was.
type requestRun struct {
	instance          string
	node              *node
	startedAt, leftAt time.Time
	body              string
	early             bool
}

// answerTo returns the body of the answer to a request.
func (r *requestRun) answerTo(request *record) string {
	if r.early {
		return r.instance
	}
	return r.instance + " " + request.body()
}

// check compares the records of callers and upstreams.
func (f *fleet) check() {
	runs := map[string][]requestRun{}
	for _, n := range f.nodes {
		n.mu.Lock()
		servers := n.servers
		n.mu.Unlock()
		for _, s := range servers {
			for _, r := range s.backend.Runs() {
				runs[r.ID] = append(runs[r.ID], requestRun{
					instance: s.backend.Instance(), node: n, startedAt: r.At, leftAt: s.leftAt, body: r.Body, early: r.Early,
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
		f.checkFailure(r, runs[r.id])
	}
	for id := range runs {
		if _, _, nested := standin.NestedParent(id); !nested && !sent[id] {
			f.recordViolation("%s ran, but no caller sent it", id)
		}
	}
	f.checkVersions()
	f.checkRetries()
}

// checkAnswer checks that an answer belongs to its request and agrees with the
// request's runs.
func (f *fleet) checkAnswer(r *record, runs []requestRun) {
	switch {
	case r.err != nil:
	case r.answer.ID != r.id:
		f.recordViolation("%s got the answer to %q, status %d", r.id, r.answer.ID, r.answer.Status)
	case r.answer.Status == http.StatusOK:
		if !r.answer.Stamped {
			f.recordViolation("%s got status 200 without the response stamp of an upstream", r.id)
		}
		for _, run := range runs {
			if r.answer.Body == run.answerTo(r) {
				return
			}
		}
		f.recordViolation("%s got body %.99q of %d bytes, which none of its %d runs produced", r.id, r.answer.Body, len(r.answer.Body), len(runs))
	case r.answer.Rejected() && r.atMostOnce && len(runs) > 0:
		f.recordViolation("%s was rejected with status %d and ran at %s", r.id, r.answer.Status, runs[0].instance)
	case r.answer.Status == http.StatusNotFound && r.version == 0:
		f.recordViolation("%s got status 404, though every configuration has its route", r.id)
	}
}

// checkRuns checks how often, with which body and when a request ran.
func (f *fleet) checkRuns(r *record, runs []requestRun) {
	if r.atMostOnce && len(runs) > 1 {
		f.recordViolation("%s ran %d times, at %s and %s", r.id, len(runs), runs[0].instance, runs[1].instance)
	}
	for _, run := range runs {
		if !run.early && run.body != r.body() {
			f.recordViolation("%s ran at %s with a wrong body: %.99q of %d bytes", r.id, run.instance, run.body, len(run.body))
		}
		if run.leftAt.IsZero() || !f.options.CheckTiming {
			continue
		}
		run.node.mu.Lock()
		lastUpstreamFault := run.node.lastUpstreamFault
		run.node.mu.Unlock()
		if delay := run.startedAt.Sub(run.leftAt); delay > drainPeriod && run.startedAt.Sub(lastUpstreamFault) > faultFreePeriod {
			f.recordViolation("%s ran at %s %s after its deregistration was acknowledged", r.id, run.instance, delay.Round(time.Millisecond))
		}
	}
}

// checkFailure checks that planned operations alone fail no request.
func (f *fleet) checkFailure(r *record, runs []requestRun) {
	if r.err == nil || !f.options.CheckTiming || r.sent.Sub(r.priorFault) < faultFreePeriod {
		return
	}
	elapsed := r.ended.Sub(r.sent)
	if len(runs) == 0 && (elapsed < closeRaceWindow || r.stopping) {
		// The request raced with the close of its connection, or the process was
		// stopping.
		return
	}
	f.recordViolation("%s failed after %s during planned operations only, %d runs: %v",
		r.id, elapsed.Round(time.Millisecond), len(runs), r.err)
}

// checkVersions checks that no process goes back to an earlier configuration, and
// that each new one reaches all nodes in time. Only the version that a request asks
// for has its route.
func (f *fleet) checkVersions() {
	type process struct{ node, incarnation int }
	latest := map[process]record{}
	for _, r := range f.records {
		if r.version == 0 || r.err != nil || r.answer.Status != http.StatusOK || !r.sameProcess {
			continue
		}
		p := process{r.node, r.incarnation}
		if previous, ok := latest[p]; ok && r.version < previous.version && r.sent.After(previous.ended) {
			f.recordViolation("host-%d served version %d after %s had been served version %d", r.node, r.version, previous.id, previous.version)
		}
		if previous, ok := latest[p]; !ok || r.version > previous.version {
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
			f.recordViolation("host-%d did not serve version %d %s after its publication", r.node, r.version, elapsed.Round(time.Millisecond))
		}
	}
}
