package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireNames holds the header names of the platform's protocol.
type wireNames struct {
	ID       string `json:"id"`
	Timeout  string `json:"timeout"`
	Stamp    string `json:"stamp"`
	Expect   string `json:"expect"`
	NotRun   string `json:"not-run"`
	Load     string `json:"load"`
	Instance string `json:"instance"`
}

//go:embed wire.json
var wireDocument []byte

var wire = readWireNames()

func readWireNames() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireDocument, &names); err != nil {
		panic(err)
	}
	return names
}

// resource is an entry of the operators' configuration.
type resource struct {
	TypeURL  string            `json:"type_url"`
	Metadata map[string]string `json:"metadata"`
	Spec     map[string]any    `json:"spec"`
}

// callerHost is the host name in all requests of callers.
const callerHost = "shop.example"

// configuration returns a version of the configuration with one route for each
// service, whose prefix is the service's name, and one for each of the added prefixes,
// which lead to the first service.
func configuration(version int, services []serviceSpec, added []string) ([]byte, error) {
	resources := []resource{{
		TypeURL: "limits", Metadata: map[string]string{},
		Spec: map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}}
	route := func(prefix string, s serviceSpec) resource {
		return resource{TypeURL: "routes", Metadata: map[string]string{"name": "r-" + prefix}, Spec: map[string]any{
			"host": callerHost, "prefix": "/" + prefix + "/", "type": s.kind, "timeout_ms": s.timeout.Milliseconds(),
			"goal_ms": s.objective.Milliseconds(), "priority": 1, "service": s.name, "attempts": 2,
		}}
	}
	for _, prefix := range added {
		resources = append(resources, route(prefix, services[0]))
	}
	for _, s := range services {
		resources = append(resources, route(s.name, s),
			resource{TypeURL: "services", Metadata: map[string]string{"name": s.name}, Spec: map[string]any{
				"health_path": "/healthz", "max_conns": 240, "protocol": "h1", "tls": false,
			}})
	}
	return json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
}

// heartbeat returns the body of a heartbeat.
func heartbeat(u *upstream, state string, sequence uint64) ([]byte, error) {
	return json.Marshal(map[string]any{
		"addr": u.address(), "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.service.name, "version": "v1", "zone": u.zone, "slots": u.service.slots},
		"status": map[string]any{"state": state, "seq": sequence, "cold_left_ms": 0},
	})
}

// answerHead returns the head of an answer without its framing and last line.
func answerHead(status int, id string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if id != "" {
		head += wire.ID + ": " + id + "\r\n"
	}
	for i := 0; i+1 < len(fields); i += 2 {
		head += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	return head
}

// answer returns a complete answer.
func answer(status int, id, body string, fields ...string) string {
	return answerHead(status, id, fields...) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
