package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// noticeTime is the time between a change of the settings file and what depends on it.
	noticeTime = 5 * time.Second
	// drainTime and reuseTime are drain_ms, and reuse_after_s with a margin.
	drainTime = 2 * time.Second
	reuseTime = 2500 * time.Millisecond
	// lateHeartbeat is how late the first heartbeat of a new upstream arrives.
	lateHeartbeat = 4 * time.Second
	// startMargin is the time after the start of a new upstream from which its host's requests
	// are judged.
	startMargin = 500 * time.Millisecond
	// callerTime is how long requests are sent after that start.
	callerTime = 8 * time.Second
)

// unsignalledRegion adds a failure domain in a new region to the settings files, without a
// signal, and then a route that allows that region to the configuration, which also moves the
// other routes to another service.
func unsignalledRegion(f *fleet, trouble bool) error {
	known := map[string]string{"z1": "palermo", "z2": "palermo", "z3": "catania"}
	f.publish(f.store.operators(), 10, "kasir", "grosir", routeTimeout)
	if err := f.startThree(known); err != nil {
		return err
	}
	grown := maps.Clone(known)
	grown["z4"] = "ragusa"
	for _, n := range f.nodes {
		n.regions = grown
		if err := n.writeSettings(); err != nil {
			return err
		}
		f.record.add("the settings file of %s has the failure domain z4 in the region ragusa", n.name)
		if !trouble {
			if err := f.reload(n); err != nil {
				return err
			}
		}
	}
	time.Sleep(noticeTime)
	err := f.publishRoutes(11,
		routeSpec{prefix: "/view/", kind: "safe", service: "grosir"}, routeSpec{prefix: "/pay/", kind: "unsafe", service: "grosir"},
		routeSpec{prefix: "/near/", kind: "safe", service: "kasir", regions: []string{"palermo", "ragusa"}})
	if err != nil {
		return err
	}
	time.Sleep(storeBounds)
	return f.judgeMoved()
}

// unsignalledService replaces the upstream beside a node by one of another service, with new
// settings but without a signal, whose first heartbeat arrives late.
func unsignalledService(f *fleet, trouble bool) error {
	f.publish(f.store.operators(), 10, "kasir", "grosir", routeTimeout)
	if err := f.startThree(nil); err != nil {
		return err
	}
	n, other := f.nodes[0], f.nodes[2]
	n.quiet()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if status, err := n.backend.Leave(ctx, n.settings.Upstream); err != nil || status != http.StatusOK {
		return fmt.Errorf("the departure of %s was answered %d: %w", n.backend.Instance(), status, err)
	}
	f.record.add("upstream %s leaves", n.backend.Instance())
	time.Sleep(drainTime)
	n.backend.Close()
	f.record.add("upstream %s has ended", n.backend.Instance())
	time.Sleep(reuseTime)
	n.settings.Service = "grosir"
	if err := n.writeSettings(); err != nil {
		return err
	}
	f.record.add("the settings file of %s names the service grosir", n.name)
	if !trouble {
		if err := f.reload(n); err != nil {
			return err
		}
	}
	backend, err := standin.NewBackend("i-grosir-2", "grosir", n.settings.FailureDomain, n.settings.Backend)
	if err != nil {
		return err
	}
	n.backend = backend
	n.announce(lateHeartbeat)
	f.record.add("upstream %s starts beside %s", backend.Instance(), n.name)
	time.Sleep(startMargin)
	judged := time.Now()
	for end := judged.Add(callerTime); time.Now().Before(end); time.Sleep(judgedPause) {
		f.send(n, "/view/stock")
	}
	return f.judgeCaller(other.backend, judged)
}

// judgeCaller returns errBroken if an upstream has run requests since a time that name
// another calling service than grosir.
func (f *fleet) judgeCaller(backend *standin.Backend, since time.Time) error {
	byCaller := map[string]int{}
	for _, run := range backend.Runs() {
		if run.At.Before(since) {
			continue
		}
		byCaller[run.Caller]++
	}
	f.record.add("requests run by the service of the caller that they name: %v", byCaller)
	switch {
	case len(byCaller) == 0:
		return fmt.Errorf("no request was served")
	case len(byCaller) > 1 || byCaller["grosir"] == 0:
		return errBroken
	}
	return nil
}
