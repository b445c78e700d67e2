package standin

import (
	"fmt"
	"time"
)

// defaultGrace is the grace period of settings that have none.
const defaultGrace = 6 * time.Second

// SidecarSettings is the part of a sidecar's settings that differs from host to
// host.
type SidecarSettings struct {
	Name, FailureDomain, Service               string
	Platform, Backend                          string
	Callers, Nodes, Datagrams, Ready, Upstream string
	Metrics                                    string
	// Advertised is the address that other nodes send calls to; empty means Nodes.
	Advertised string
	// Grace is the grace period of a planned stop; 0 means 6 s.
	Grace time.Duration
	// FirstStart means that the whole fleet starts for the first time.
	FirstStart bool
}

const settingsTemplate = `host = %q
failure-domain = %q
service = %q
platform = %q
backend = %q
first-start = %t
[listen]
callers = %q
nodes = %q
datagrams = %q
ready = %q
upstream = %q
metrics = %q
[bounds]
retry-ratio = 0.2
retry-slack = 60
retry-window = "10s"
grace = %q
memory-mb = 284
`

// TOML returns the complete settings file of the sidecar.
func (s SidecarSettings) TOML() string {
	grace := s.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	text := fmt.Sprintf(settingsTemplate, s.Name, s.FailureDomain, s.Service, s.Platform, s.Backend, s.FirstStart,
		s.Callers, s.Nodes, s.Datagrams, s.Ready, s.Upstream, s.Metrics, grace.String())
	if s.Advertised != "" {
		text += fmt.Sprintf("[advertise]\nnodes = %q\n", s.Advertised)
	}
	return text
}
