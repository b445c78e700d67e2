package soak

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
)

// restartPause is how long a process that has ended stays down.
const restartPause = 300 * time.Millisecond

// apply plays one event to its end.
func (f *fleet) apply(ctx context.Context, e event) {
	n := f.nodes[e.node]
	if !e.planned() {
		f.disturbed(n, e)
		defer f.disturbed(n, e)
	}
	switch e.kind {
	case kill, stop, pause, reload:
		f.signal(ctx, n, e)
	case callsDelayed:
		f.harm(ctx, n.calls, Delayed, e.span)
	case callsSilent:
		f.harm(ctx, n.calls, Silent, e.span)
	case callsDeaf:
		f.harm(ctx, n.calls, Deaf, e.span)
	case callsRefused:
		f.harm(ctx, n.calls, Refused, e.span)
	case callsReset:
		n.calls.Reset()
	case serverDelayed:
		f.harm(ctx, n.upstream, Delayed, e.span)
	case serverDeaf:
		f.harm(ctx, n.upstream, Deaf, e.span)
	case serverReset:
		n.upstream.Reset()
	case serverFaults:
		s, _ := n.current()
		s.backend.InjectFaults(standin.FaultDisconnect, standin.FaultShed, standin.FaultError, standin.FaultTruncate, standin.FaultMalformed, standin.FaultUnstamped)
	case serverMoves:
		f.move(ctx, n, e.span)
	case storeSilent:
		f.harm(ctx, n.store, Silent, e.span)
	case storeReset:
		n.store.Reset()
	case storeDown:
		f.platform.SetDown(true)
		sleep(ctx, e.span)
		f.platform.SetDown(false)
	case storeSlow:
		f.platform.SetDelay(e.span / 4)
		sleep(ctx, e.span)
		f.platform.SetDelay(0)
	case storeLosing:
		f.platform.DropAnswers(f.options.Nodes)
	case storeCompact:
		f.platform.Compact()
	case storeLeases:
		f.platform.EndLeases()
	case publish:
		f.publish()
	}
}

// harm changes a forwarder for some time.
func (f *fleet) harm(ctx context.Context, forwarder *Forwarder, mode Mode, span time.Duration) {
	forwarder.Set(mode)
	sleep(ctx, span)
	forwarder.Set(Pass)
	if mode == Silent || mode == Deaf {
		// Bytes are missing, so that what follows on the connections is noise.
		forwarder.Reset()
	}
}

// signal plays an event of the process. One that is stopped or killed is started
// again; while that lasts, other events leave the process alone.
func (f *fleet) signal(ctx context.Context, n *node, e event) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	switch e.kind {
	case reload:
		n.signal(syscall.SIGHUP)
	case pause:
		n.signal(syscall.SIGSTOP)
		sleep(ctx, e.span)
		n.signal(syscall.SIGCONT)
	case kill:
		<-n.signal(syscall.SIGKILL)
		sleep(ctx, restartPause)
		f.restart(n)
	case stop:
		began := time.Now()
		exited := n.signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(2 * grace):
			f.violate("%s did not end within %s of a planned stop", n.name, time.Since(began).Round(time.Millisecond))
			<-n.signal(syscall.SIGKILL)
		}
		sleep(ctx, restartPause)
		f.restart(n)
	}
}

// restart starts the process, and waits until it listens: its start belongs to
// the disturbance.
func (f *fleet) restart(n *node) {
	if err := n.start(); err != nil {
		f.violate("%s: %v", n.name, err)
		return
	}
	for began := time.Now(); time.Since(began) < readyWithin; time.Sleep(lookPause) {
		conn, err := net.DialTimeout("tcp", n.callers, lookPause)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	f.violate("%s did not listen %s after its start", n.name, readyWithin)
}

// move replaces the upstream of a node, unless that happens already.
func (f *fleet) move(ctx context.Context, n *node, span time.Duration) {
	if !n.moving.TryLock() {
		return
	}
	defer n.moving.Unlock()
	if err := n.replace(ctx, span); err != nil {
		f.violate("%s: %v", n.name, err)
	}
}

// publish stores the next configuration.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.StoreConfiguration(len(f.published)+1, "stock", routeTimeout)
	f.published = append(f.published, time.Now())
}

// disturbed records that an event which was not planned harms the fleet now.
func (f *fleet) disturbed(n *node, e event) {
	now := time.Now()
	if e.kind == serverDelayed || e.kind == serverDeaf || e.kind == serverReset || e.kind == pause {
		n.mu.Lock()
		n.linked = now
		n.mu.Unlock()
	}
	f.mu.Lock()
	f.harmed = now
	f.mu.Unlock()
}
