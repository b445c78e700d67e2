package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"golang.org/x/time/rate"

	"github.com/banyancross/banyancross/membership"
)

const (
	// quietSpan is how long the upstream must have been silent to be probed: a
	// call's own answer is a better measure and costs nothing.
	quietSpan    = time.Second
	probeTimeout = 500 * time.Millisecond
	maxProbe     = 4 << 10
)

// Prober probes the health of an upstream that has nothing else to do, within
// the budget of the release notes.
type Prober struct {
	gate   *Gate
	client *http.Client
	probes *rate.Limiter
	bytes  *rate.Limiter
}

// NewProber returns the Prober of the gate's upstream.
func NewProber(gate *Gate) *Prober {
	return &Prober{
		gate:   gate,
		client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		probes: rate.NewLimiter(0, 1),
		bytes:  rate.NewLimiter(0, maxProbe),
	}
}

// Close drops the idle connection.
func (p *Prober) Close() { p.client.CloseIdleConnections() }

// Allow takes a probe from the budget if one is wanted now.
func (p *Prober) Allow(now time.Time) bool {
	announcement := p.gate.Announcement()
	state := p.gate.configuration.State()
	if announcement.HealthPath == "" || state == nil || p.gate.State() == membership.Absent {
		return false
	}
	service, ok := state.Service(announcement.Service)
	if !ok || now.Sub(time.Unix(0, p.gate.lastAnswer.Load())) < quietSpan {
		return false
	}
	p.probes.SetLimitAt(now, rate.Limit(service.Service.ProbesPerSecond))
	p.bytes.SetLimitAt(now, rate.Limit(service.Service.ProbeBytesPerSecond))
	return p.bytes.TokensAt(now) >= 0 && p.probes.AllowN(now, 1)
}

// Probe asks the upstream's health path and tells whether it is well.
func (p *Prober) Probe(ctx context.Context) bool {
	announcement := p.gate.Announcement()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+announcement.Address+announcement.HealthPath, http.NoBody)
	if err != nil {
		return false
	}
	p.gate.probes.Add(1)
	sent, err := httputil.DumpRequestOut(request, false)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.spend(len(sent))
		if refusedConnection(err) {
			p.gate.SetReachable(false)
		}
		return false
	}
	p.gate.SetReachable(true)
	defer func() { _ = response.Body.Close() }()
	head, _ := httputil.DumpResponse(response, false)
	n, _ := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbe))
	p.spend(len(sent) + len(head) + int(n))
	return response.StatusCode < http.StatusInternalServerError
}

// spend books the bytes of a probe, into debt if need be, so that the mean
// stays within the budget.
func (p *Prober) spend(n int) {
	p.gate.probeBytes.Add(uint64(n))
	p.bytes.ReserveN(p.gate.clock.Now(), min(n, p.bytes.Burst()))
}
