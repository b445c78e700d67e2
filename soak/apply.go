package soak

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
)

// restartDelay is how long a process that has ended stays down.
const restartDelay = 300 * time.Millisecond

// apply plays one event to its end.
func (f *fleet) apply(ctx context.Context, e event) {
	n := f.nodes[e.node]
	if !e.planned() {
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
		s.backend.InjectFaults(standin.FaultDisconnect, standin.FaultShed, standin.FaultError, standin.FaultTruncate, standin.FaultMalformed, standin.FaultUnstamped)
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
	case publishConfiguration:
		f.publish()
	}
}

// impair changes a forwarder for some time.
func (f *fleet) impair(ctx context.Context, forwarder *Forwarder, mode Mode, duration time.Duration) {
	forwarder.SetMode(mode)
	sleep(ctx, duration)
	forwarder.SetMode(ModePass)
	if mode == ModeDrop || mode == ModeDropAnswers {
		// Bytes are missing, so that what follows on the connections is noise.
		forwarder.Reset()
	}
}

// applyProcessEvent plays an event of the process. One that is stopped or killed is started
// again; while that lasts, other events leave the process alone.
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
			f.recordViolation("%s did not end within %s of a planned stop", n.name, time.Since(began).Round(time.Millisecond))
			<-n.signal(syscall.SIGKILL)
		}
		sleep(ctx, restartDelay)
		f.restart(n)
	}
}

// restart starts the process, and waits until it listens: its start belongs to
// the disturbance.
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
	f.recordViolation("%s did not listen %s after its start", n.name, startTimeout)
}

// replaceUpstream replaces the upstream of a node, unless that happens already.
func (f *fleet) replaceUpstream(ctx context.Context, n *node, duration time.Duration) {
	if !n.replaceMu.TryLock() {
		return
	}
	defer n.replaceMu.Unlock()
	if err := n.replaceServer(ctx, duration); err != nil {
		f.recordViolation("%s: %v", n.name, err)
	}
}

// publish stores the next configuration.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.StoreConfiguration(len(f.publishedAt)+1, "stock", routeTimeout)
	f.publishedAt = append(f.publishedAt, time.Now())
}

// recordFault records that an event which was not planned harms the fleet now.
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
