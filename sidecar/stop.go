package sidecar

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// readinessDelay is how long callers may take to notice that the node is
	// not ready: two readiness checks, a second apart, and a margin.
	readinessDelay = 2300 * time.Millisecond
	// listenerCloseDelay is when the node stops accepting connections. Until
	// then it accepts them, since callers may have no other node; later
	// requests may not finish in time. Runs in progress at its upstream have no
	// other node for their calls, and keep it open.
	listenerCloseDelay = 3 * time.Second
	// gateStopDelay is how long the gate still accepts calls of other nodes.
	gateStopDelay = 1500 * time.Millisecond
	// drainPollInterval is the pause between checks of the work in progress.
	drainPollInterval = 50 * time.Millisecond
	// gracePeriodMargin is what remains of the grace period when the node ends
	// with calls in progress.
	gracePeriodMargin = 600 * time.Millisecond
	// idleBeforeExit is how long nothing may be in progress before the node
	// ends. It ends later if callers' connections are still read, since their
	// unread bytes would reset them before the last response arrives.
	idleBeforeExit = 150 * time.Millisecond
)

// Stop drains the node and ends it: it reports not ready, accepts requests
// until its callers have noticed, completes those in progress, and gives up
// shortly before the grace period is over.
func (s *Sidecar) Stop() {
	start := s.clock.Now()
	s.stopping.Store(true)
	_ = level.Info(s.logger).Log("event", "stopping", "running", s.gate.Running(), "serving", s.callerServer.ActiveRequests())
	limit := s.settings.Load().GracePeriod() - gracePeriodMargin
	closeDelay := min(listenerCloseDelay, limit/2)
	s.ingress.Stop(start.Add(closeDelay), start.Add(limit))
	elapsed := func() time.Duration { return s.clock.Now().Sub(start) }
	for elapsed() < min(gateStopDelay, limit) {
		s.wait(drainPollInterval)
	}
	s.gate.Drain()
	for elapsed() < min(readinessDelay, limit) {
		s.wait(drainPollInterval)
	}
	s.callerServer.Drain()
	idleSince := s.clock.Now()
	for elapsed() < limit {
		if elapsed() > closeDelay && s.gate.Running() == 0 {
			s.callerServer.CloseListener()
			s.callerServer.CloseIdleConnections()
		}
		if s.gate.Running() > 0 || s.callerServer.ActiveRequests() > 0 || s.nodeServer.ActiveRequests() > 0 {
			idleSince = s.clock.Now()
		} else {
			s.callerServer.CloseIdleConnections()
		}
		if s.clock.Now().Sub(idleSince) > idleBeforeExit && s.callerServer.Connections() == 0 {
			break
		}
		s.wait(drainPollInterval)
	}
	_ = level.Info(s.logger).Log("event", "stopped", "took", elapsed(), "running", s.gate.Running(), "serving", s.callerServer.ActiveRequests())
	s.Kill()
}

func (s *Sidecar) wait(d time.Duration) { <-s.clock.After(d) }

// Kill ends the node immediately, as a crash would.
func (s *Sidecar) Kill() {
	s.tomb.Kill(nil)
	for _, server := range s.httpServers {
		_ = server.Close()
	}
	if s.socket != nil {
		_ = s.socket.Close()
	}
	if s.callerServer != nil {
		s.callerServer.Close()
	}
	if s.nodeServer != nil {
		s.nodeServer.Close()
	}
	s.gate.Close()
	if len(s.httpServers) > 0 {
		_ = s.tomb.Wait()
	}
}

// Reload reads the settings again. If they are invalid, the previous ones stay
// in force.
func (s *Sidecar) Reload() {
	if s.readSettings == nil {
		return
	}
	conf, err := s.readSettings()
	if err != nil {
		_ = level.Error(s.logger).Log("event", "reload-refused", "err", err)
		return
	}
	before := s.settings.Swap(conf)
	_ = level.Info(s.logger).Log("event", "reloaded", "service", conf.Service(), "before", before.Service())
}
