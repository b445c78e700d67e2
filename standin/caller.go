package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Caller is a stand-in of an application that keeps its connections open.
type Caller struct {
	client *http.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// CallerAnswer is an answer as the caller got it.
type CallerAnswer struct {
	Status int
	// ID is the request that the answer says it belongs to.
	ID string
	// Stamped tells that an upstream has signed the answer.
	Stamped bool
	Body    string
}

// Refused tells that the answer promises that the request has not run and never
// will.
func (a CallerAnswer) Refused() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Send sends one request to the node at address. It uses POST, which the client
// never sends a second time by itself.
func (c *Caller) Send(ctx context.Context, address, path, id string, timeout time.Duration) (CallerAnswer, error) {
	body := bytes.NewBufferString("body of " + id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		return CallerAnswer{}, err
	}
	request.Host = "x"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return CallerAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return CallerAnswer{
		Status: response.StatusCode, ID: response.Header.Get("Request-Id"),
		Stamped: response.Header.Get("Response-Stamp") != "", Body: string(data),
	}, err
}

// Close drops the connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// StoreConfiguration stores a configuration as the operators do, with the routes
// /view/, which may be repeated, /pay/, which may not, and /only-VERSION/, all to
// one service.
func (p *Platform) StoreConfiguration(version int, service string, timeout time.Duration) {
	const route = `{"type_url":"routes","metadata":{"name":%q},"spec":{"host":"x","prefix":%q,"type":%q,"timeout_ms":%d,"goal_ms":500,"attempts":2,"service":%q}},`
	text := fmt.Sprintf(`{"version":"r%d","resources":[`, version)
	for _, r := range []struct{ name, prefix, kind string }{
		{"view", "/view/", "safe"}, {"pay", "/pay/", "unsafe"}, {"only", fmt.Sprintf("/only-%d/", version), "safe"},
	} {
		text += fmt.Sprintf(route, r.name, r.prefix, r.kind, timeout.Milliseconds(), service)
	}
	text += fmt.Sprintf(`{"type_url":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_conns":100}}]}`, service)
	p.Store("op/config", []byte(text))
}
