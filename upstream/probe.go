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
	// minIdleTime is how long the upstream must not have answered a call before
	// it is probed, since answered calls show its health at no extra cost.
	minIdleTime   = time.Second
	probeTimeout  = 500 * time.Millisecond
	maxProbeBytes = 4 << 10
)

// Prober probes the health of an idle upstream, within the budget that the
// release notes set.
type Prober struct {
	gate         *Gate
	client       *http.Client
	probeLimiter *rate.Limiter
	byteLimiter  *rate.Limiter
}

// NewProber returns the Prober of the gate's upstream.
func NewProber(gate *Gate) *Prober {
	return &Prober{
		gate:         gate,
		client:       &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, DisableCompression: true}},
		probeLimiter: rate.NewLimiter(0, 1),
		byteLimiter:  rate.NewLimiter(0, maxProbeBytes),
	}
}

// Close closes the idle connection.
func (p *Prober) Close() { p.client.CloseIdleConnections() }

// Allow reports whether to send a probe now, and takes it from the budget if so.
func (p *Prober) Allow(now time.Time) bool {
	announcement := p.gate.Announcement()
	state := p.gate.configuration.State()
	if announcement.HealthPath == "" || state == nil || p.gate.State() == membership.Absent {
		return false
	}
	service, ok := state.Service(announcement.Service)
	if !ok || now.Sub(time.Unix(0, p.gate.lastAnswerUnixNano.Load())) < minIdleTime {
		return false
	}
	p.probeLimiter.SetLimitAt(now, rate.Limit(service.Service.ProbesPerSecond))
	p.byteLimiter.SetLimitAt(now, rate.Limit(service.Service.ProbeBytesPerSecond))
	return p.byteLimiter.TokensAt(now) >= 0 && p.probeLimiter.AllowN(now, 1)
}

// Probe requests the upstream's health path and reports whether the upstream is
// healthy, which any status below 500 means.
func (p *Prober) Probe(ctx context.Context) bool {
	announcement := p.gate.Announcement()
	ctx = withConn(ctx, func(*serverConn, bool) {})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+announcement.Address+announcement.HealthPath, http.NoBody)
	if err != nil {
		return false
	}
	p.gate.probes.Add(1)
	requestDump, err := httputil.DumpRequestOut(request, false)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.spend(len(requestDump))
		if isConnectionRefused(err) {
			p.gate.SetReachable(false)
		}
		return false
	}
	p.gate.SetReachable(true)
	defer func() { _ = response.Body.Close() }()
	responseHead, _ := httputil.DumpResponse(response, false)
	n, _ := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	p.spend(len(requestDump) + len(responseHead) + int(n))
	return response.StatusCode < http.StatusInternalServerError
}

// spend takes the bytes of a probe from the budget, which may become negative, so
// that the mean rate stays within it.
func (p *Prober) spend(n int) {
	p.gate.probeBytes.Add(uint64(n))
	p.byteLimiter.ReserveN(p.gate.clock.Now(), min(n, p.byteLimiter.Burst()))
}
