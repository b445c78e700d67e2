package sidecar

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
)

const (
	// headerTimeout bounds reading the header of a request to the upstream,
	// readiness and metrics addresses.
	headerTimeout = 5 * time.Second
	// maxHeartbeatBytes bounds the body of a heartbeat.
	maxHeartbeatBytes = 64 << 10
)

// discardLog discards what net/http logs about broken connections.
var discardLog = stdlog.New(io.Discard, "", 0)

// nodeHandler returns the handler of other nodes' calls and configuration
// fetches.
func (s *Sidecar) nodeHandler() http1.Handler {
	return &nodeHandler{sidecar: s, gate: egress.NewHandler(s.gate)}
}

type nodeHandler struct {
	sidecar *Sidecar
	gate    *egress.Handler
}

// Serve implements http1.Handler.
func (h *nodeHandler) Serve(ctx context.Context, r *http1.Request, reply *http1.Reply) {
	path, query, _ := strings.Cut(r.Target, "?")
	switch path {
	case configurationPath:
		h.serveConfiguration(r, reply)
	case rosterPath:
		h.sidecar.serveRoster(query, reply)
	default:
		h.gate.Serve(ctx, r, reply)
	}
}

// serveConfiguration answers a node whose configuration is older.
func (h *nodeHandler) serveConfiguration(r *http1.Request, reply *http1.Reply) {
	rawConfiguration := h.sidecar.rawConfiguration.Load()
	switch {
	case rawConfiguration == nil:
		_ = reply.Send(http.StatusNotFound, http.Header{}, nil)
	case len(*rawConfiguration) > maxPeerConfigurationBytes && r.Target != anySizePath:
		_ = reply.Send(http.StatusRequestEntityTooLarge, http.Header{}, nil)
	default:
		_ = reply.Send(http.StatusOK, http.Header{}, *rawConfiguration)
	}
}

// upstreamHandler returns the handler of the heartbeats and departures of this
// host's upstream.
func (s *Sidecar) upstreamHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.HeartbeatPath+"{id}", s.handleHeartbeat)
	mux.HandleFunc("POST "+platform.LeavePath+"{id}", s.handleLeave)
	return mux
}

// readMessage reads a message of the upstream. It answers one that breaks off and returns
// false: without a status, net/http would acknowledge it.
func readMessage(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return data, true
}

func (s *Sidecar) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	data, ok := readMessage(w, r)
	if !ok {
		return
	}
	h, err := platform.DecodeHeartbeat(r.PathValue("id"), data)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "heartbeat-skipped", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if h.Service() != s.service() {
		s.Reload()
	}
	if h.Service() != s.service() || !s.gate.Heartbeat(h) {
		_ = level.Warn(s.logger).Log("event", "heartbeat-skipped", "upstream", h.Instance(), "service", h.Service())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	acknowledge(w)
}

func (s *Sidecar) handleLeave(w http.ResponseWriter, r *http.Request) {
	data, ok := readMessage(w, r)
	if !ok {
		return
	}
	started, err := platform.DecodeLeave(r.PathValue("id"), data)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "leave-skipped", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.gate.Leave(r.PathValue("id"), started) {
		_ = level.Warn(s.logger).Log("event", "leave-skipped", "upstream", r.PathValue("id"))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	acknowledge(w)
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// readyHandler returns the handler of the readiness check, which fails while
// callers should not send requests to this node.
func (s *Sidecar) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Ready reports whether the node accepts requests: it has a configuration, has
// read the fleet's entries and crash counts or joined nodes that know no more than it
// does, and is not stopping.
func (s *Sidecar) Ready() bool {
	return s.table.Load() != nil && !s.stopping.Load() && (s.crashesKnown.Load() || s.settled.Load())
}

func (s *Sidecar) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("GET "+WherePath, s.handleWhere)
	return mux
}
