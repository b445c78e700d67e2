package standin

import (
	"bytes"
	"context"
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
