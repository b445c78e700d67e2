package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/standin"
)

const (
	// settleTime is the time in which the nodes of a small fleet have joined and registered.
	settleTime = 8 * time.Second
	// storeBounds is the time after which the latest configuration must be in force, whatever
	// stretches its bound: the longest config_ms of any sheet, 3 s, max_stretch_ms, 6 s, and
	// stable_ms, 4 s.
	storeBounds = 13 * time.Second
	// judgedTime is how long requests are judged, and judgedPause the pause between them.
	judgedTime  = 15 * time.Second
	judgedPause = 100 * time.Millisecond
	// routeTimeout is the timeout of all routes, which a change of the configuration varies.
	routeTimeout = 2 * time.Second
)

// startThree starts two nodes beside upstreams of kasir and one beside an upstream of grosir,
// and waits until they have joined.
func (f *fleet) startThree(regions map[string]string) error {
	for _, n := range []struct{ name, failureDomain, service string }{
		{"kasir-1", "z1", "kasir"}, {"grosir-1", "z2", "grosir"}, {"kasir-2", "z3", "kasir"},
	} {
		if _, err := f.add(n.name, n.failureDomain, n.service, regions); err != nil {
			return err
		}
	}
	if err := f.awaitServing("/view/stock"); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// publish writes a configuration whose routes /view/ and /pay/ lead to a service.
func (f *fleet) publish(p *standin.Platform, version int, service, other string, timeout time.Duration) {
	p.StoreConfiguration(version, service, other, timeout)
	f.record.add("the store acknowledges r%d: /view/ and /pay/ lead to %s", version, service)
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	prefix, kind, service string
	// regions are the only regions that requests may enter, none for all.
	regions []string
}

// publishRoutes writes a configuration with routes.
func (f *fleet) publishRoutes(version int, routes ...routeSpec) error {
	entry := func(kind, name string, spec map[string]any) map[string]any {
		return map[string]any{"type_url": kind, "metadata": map[string]string{"name": name}, "spec": spec}
	}
	var resources []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		spec := map[string]any{
			"host": "x", "prefix": r.prefix, "type": r.kind, "timeout_ms": routeTimeout.Milliseconds(),
			"goal_ms": 500, "attempts": 2, "service": r.service,
		}
		if len(r.regions) > 0 {
			spec["allowed_regions"] = r.regions
		}
		resources = append(resources, entry("routes", strings.Trim(r.prefix, "/"), spec))
		if !services[r.service] {
			services[r.service] = true
			resources = append(resources, entry("services", r.service, map[string]any{"health_path": "/healthz", "max_conns": 240}))
		}
	}
	document, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		return err
	}
	f.store.operators().Store(platform.ConfigurationKey, document)
	f.record.add("the store acknowledges r%d: %s", version, document)
	return nil
}

// judgeMoved sends requests to all nodes, and returns errBroken if the old service runs any of
// them.
func (f *fleet) judgeMoved() error {
	byService := map[string]int{}
	for end := time.Now().Add(judgedTime); time.Now().Before(end); time.Sleep(judgedPause) {
		for _, n := range f.nodes {
			for _, path := range []string{"/view/stock", "/pay/candles"} {
				answer := f.send(n, path)
				service, _, _ := strings.Cut(strings.TrimPrefix(answer.Body, "i-"), "-")
				if answer.Status == http.StatusOK {
					byService[service]++
				}
			}
		}
	}
	f.record.add("requests run after the last configuration had to be in force: %v", byService)
	if byService["kasir"] > 0 {
		return errBroken
	}
	if byService["grosir"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
