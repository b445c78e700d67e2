package soak

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
)

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 300 * time.Millisecond

// apply runs one event and returns when it has ended.
func (f *fleet) apply(ctx context.Context, e event) {
	n := f.nodes[e.node]
	if e.failsRequests() {
		f.recordFault(n, e)
		defer f.recordFault(n, e)
	}
	switch e.kind {
	case killProcess, stopProcess, pauseProcess, reloadSettings:
		f.applyProcessEvent(ctx, n, e)
	case callsDelayed:
		f.impair(ctx, n.calls, ModeDelay, e.duration)
	case callsDropped:
		f.impair(ctx, n.calls, ModeDrop, e.duration)
	case callsAnswersDropped:
		f.impair(ctx, n.calls, ModeDropAnswers, e.duration)
	case callsRefused:
		f.impair(ctx, n.calls, ModeRefuse, e.duration)
	case callsReset:
		n.calls.Reset()
	case upstreamDelayed:
		f.impair(ctx, n.upstream, ModeDelay, e.duration)
	case upstreamAnswersDropped:
		f.impair(ctx, n.upstream, ModeDropAnswers, e.duration)
	case upstreamReset:
		n.upstream.Reset()
	case upstreamFaults:
		s, _ := n.currentServer()
		s.backend.InjectFaults(standin.FaultDisconnect, standin.FaultShed, standin.FaultError, standin.FaultTruncate, standin.FaultMalformed, standin.FaultUnstamped,
			standin.FaultTruncateHead, standin.FaultLongTrailer, standin.FaultLongError, standin.FaultRepeatRejection,
			standin.FaultEndlessHead, standin.FaultEndlessInterim, standin.FaultEndlessExtension,
			standin.FaultRunUnavailable, standin.FaultRunLimited, standin.FaultRunTimeout)
	case upstreamRejects:
		n.setRejections(e.rejectShare, e.repeatShare)
		sleep(ctx, e.duration)
		n.setRejections(0, 0)
	case upstreamReplaced:
		f.replaceUpstream(ctx, n, e.duration)
	case storeDropped:
		f.impair(ctx, n.store, ModeDrop, e.duration)
	case storeReset:
		n.store.Reset()
	case storeDown:
		f.platform.SetDown(true)
		sleep(ctx, e.duration)
		f.platform.SetDown(false)
	case storeSlow:
		f.platform.SetDelay(e.duration / 4)
		sleep(ctx, e.duration)
		f.platform.SetDelay(0)
	case storeDropsAnswers:
		f.platform.DropAnswers(f.options.Nodes)
	case storeCompacts:
		f.platform.Compact()
	case storeEndsLeases:
		f.platform.EndLeases()
	case storeRestored:
		f.restoreStore(ctx, e)
	case publishConfiguration:
		f.publishConfiguration()
	}
}

// impair sets the mode of a forwarder for the duration.
func (f *fleet) impair(ctx context.Context, forwarder *Forwarder, mode Mode, duration time.Duration) {
	forwarder.SetMode(mode)
	sleep(ctx, duration)
	forwarder.SetMode(ModePass)
	if mode == ModeDrop || mode == ModeDropAnswers {
		// The connections lack the dropped bytes, so later data on them cannot be
		// parsed.
		forwarder.Reset()
	}
}

// applyProcessEvent runs an event on the node's process. A stopped or killed process
// is restarted. Other process events of the node are skipped meanwhile.
func (f *fleet) applyProcessEvent(ctx context.Context, n *node, e event) {
	if !n.processMu.TryLock() {
		return
	}
	defer n.processMu.Unlock()
	switch e.kind {
	case reloadSettings:
		n.signal(syscall.SIGHUP)
	case pauseProcess:
		n.signal(syscall.SIGSTOP)
		sleep(ctx, e.duration)
		n.signal(syscall.SIGCONT)
	case killProcess:
		<-n.signal(syscall.SIGKILL)
		sleep(ctx, restartDelay)
		f.restart(n)
	case stopProcess:
		began := time.Now()
		exited := n.signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(2 * gracePeriod):
			f.recordViolation("%s did not exit within %s of a planned stop", n.name, time.Since(began).Round(time.Millisecond))
			<-n.signal(syscall.SIGKILL)
		}
		sleep(ctx, restartDelay)
		f.restart(n)
	}
}

// restart starts the process and waits until it accepts connections, so that its
// start is part of the event.
func (f *fleet) restart(n *node) {
	if err := n.start(); err != nil {
		f.recordViolation("%s: %v", n.name, err)
		return
	}
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(pollInterval) {
		conn, err := net.DialTimeout("tcp", n.callers, pollInterval)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	f.recordViolation("%s did not accept connections within %s of its start", n.name, startTimeout)
}

// replaceUpstream replaces the upstream of a node, unless a replacement is in
// progress.
func (f *fleet) replaceUpstream(ctx context.Context, n *node, duration time.Duration) {
	if !n.replaceMu.TryLock() {
		return
	}
	defer n.replaceMu.Unlock()
	if err := n.replaceServer(ctx, duration); err != nil {
		f.recordViolation("%s: %v", n.name, err)
	}
}

// publishConfiguration publishes the next version of the configuration.
func (f *fleet) publishConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishedAt = append(f.publishedAt, time.Now())
	f.storeLatest()
}

// recordFault records the time at which a fault begins or ends. A paused process and
// a fault of the link to the upstream also count as upstream faults of the node.
func (f *fleet) recordFault(n *node, e event) {
	now := time.Now()
	if e.kind == upstreamDelayed || e.kind == upstreamAnswersDropped || e.kind == upstreamReset || e.kind == pauseProcess {
		n.mu.Lock()
		n.lastUpstreamFault = now
		n.mu.Unlock()
	}
	f.mu.Lock()
	f.lastFault = now
	f.mu.Unlock()
}
