package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Caller is a stand-in for an application that sends requests to the node on its
// host over one persistent connection.
type Caller struct {
	client *http.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// CallerAnswer is an answer as the caller received it.
type CallerAnswer struct {
	Status int
	// ID is the Request-Id header of the answer.
	ID string
	// Stamped reports whether the answer has the Response-Stamp header of an
	// upstream.
	Stamped bool
	Body    string
}

// Rejected reports whether the status guarantees that the request has not run and
// will not run.
func (a CallerAnswer) Rejected() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Send sends one request with a body to the node at address. It uses POST, which
// http.Client does not retry by itself.
func (c *Caller) Send(ctx context.Context, address, path, id, body string, timeout time.Duration) (CallerAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
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

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
