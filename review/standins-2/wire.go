package main

import (
	_ "embed" // for the names on the wire
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireNames []byte

// wire holds the platform's names of headers, paths and keys.
var wire = readWire()

func readWire() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err)
	}
	return names
}

// routeSpec describes a route of a configuration.
type routeSpec struct {
	name, prefix, kind, service string
	timeoutMs, goalMs           int
	attempts                    int
}

const (
	// callerHost is the host of all routes.
	callerHost = "shop.example"
	// healthPath is the path of the status check.
	healthPath = "/healthz"
)

// configuration returns the document that the operators store.
func configuration(version int, services []string, routes []routeSpec) []byte {
	type object = map[string]any
	resources := []object{{"type_url": "limits", "metadata": object{"name": "limits"}, "spec": object{
		"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}}
	for _, r := range routes {
		resources = append(resources, object{"type_url": "routes", "metadata": object{"name": r.name}, "spec": object{
			"host": callerHost, "prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMs, "goal_ms": r.goalMs,
			"attempts": r.attempts, "priority": 1, "service": r.service,
		}})
	}
	for _, name := range services {
		resources = append(resources, object{"type_url": "services", "metadata": object{"name": name}, "spec": object{
			"health_path": healthPath, "max_conns": 240,
		}})
	}
	data, err := json.Marshal(object{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}
