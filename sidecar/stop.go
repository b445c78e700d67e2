package sidecar

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// callersLeave is how long callers may take to notice that the node is not
	// ready any more: two questions, a second apart, and some slack.
	callersLeave = 2300 * time.Millisecond
	// doorsClose is when the node stops taking connections. Callers may have
	// nowhere else to go, and what comes later could not be ended in time.
	doorsClose = 3 * time.Second
	// gateLeaves is how long the gate goes on to take calls of other nodes.
	gateLeaves = 1500 * time.Millisecond
	// retirePause is the pause between looks at what is still in progress.
	retirePause = 50 * time.Millisecond
	// graceMargin is what is left of the grace period when the node ends with
	// calls in progress.
	graceMargin = 600 * time.Millisecond
	// quietFor is how long nothing may be in progress before the node ends.
	quietFor = 150 * time.Millisecond
)

// Stop ends the node without cutting calls: it stops being ready, takes calls
// until its callers have noticed, ends what is in progress, and gives up
// shortly before the grace period is over.
func (s *Sidecar) Stop() {
	began := s.clock.Now()
	s.stopping.Store(true)
	_ = level.Info(s.logger).Log("event", "stopping", "running", s.gate.Running(), "serving", s.callers.ActiveRequests())
	limit := s.settings.Load().GracePeriod() - graceMargin
	elapsed := func() time.Duration { return s.clock.Now().Sub(began) }
	for elapsed() < min(gateLeaves, limit) {
		s.wait(retirePause)
	}
	s.gate.Drain()
	for elapsed() < min(callersLeave, limit) {
		s.wait(retirePause)
	}
	s.callers.Drain()
	quietSince := s.clock.Now()
	for elapsed() < limit {
		if elapsed() > min(doorsClose, limit/2) {
			s.callers.CloseListener()
			s.callers.CloseIdleConnections()
		}
		if s.gate.Running() > 0 || s.callers.ActiveRequests() > 0 || s.nodes.ActiveRequests() > 0 {
			quietSince = s.clock.Now()
		} else {
			s.callers.CloseIdleConnections()
		}
		if s.clock.Now().Sub(quietSince) > quietFor {
			break
		}
		s.wait(retirePause)
	}
	_ = level.Info(s.logger).Log("event", "stopped", "took", elapsed(), "running", s.gate.Running(), "serving", s.callers.ActiveRequests())
	s.Kill()
}

func (s *Sidecar) wait(d time.Duration) { <-s.clock.After(d) }

// Kill ends the node at once, as a crash would.
func (s *Sidecar) Kill() {
	s.tomb.Kill(nil)
	for _, server := range s.servers {
		_ = server.Close()
	}
	if s.socket != nil {
		_ = s.socket.Close()
	}
	if s.callers != nil {
		s.callers.Close()
	}
	if s.nodes != nil {
		s.nodes.Close()
	}
	s.gate.Close()
	if len(s.servers) > 0 {
		_ = s.tomb.Wait()
	}
}

// Reload reads the settings again. Settings that cannot be used leave those in
// force.
func (s *Sidecar) Reload() {
	if s.reread == nil {
		return
	}
	conf, err := s.reread()
	if err != nil {
		_ = level.Error(s.logger).Log("event", "reload-refused", "err", err)
		return
	}
	before := s.settings.Swap(conf)
	_ = level.Info(s.logger).Log("event", "reloaded", "service", conf.Service(), "before", before.Service())
}
