package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callerBudget is how long callers wait for an answer.
const callerBudget = 2500 * time.Millisecond

// sent is a request of a caller with its answer.
type sent struct {
	id, path, node string
	at             time.Time
	// status is the status of the answer, 0 without one.
	status int
}

// promised reports whether the answer says that the request has not run and never will.
func (s sent) promised() bool {
	switch s.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers sends requests, each on a connection of its own; it is safe for concurrent use.
type callers struct {
	record *record
	client *http.Client
	group  sync.WaitGroup

	mu   sync.Mutex
	list []sent
}

func newCallers(r *record) *callers {
	return &callers{record: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one POST request and records its answer.
func (c *callers) send(n *node, path, body string) {
	s := sent{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, node: n.name, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerBudget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+path, strings.NewReader(body))
	if err == nil {
		request.Host = callerHost
		request.Header.Set(wire["request-id"], s.id)
		request.Header.Set(wire["timeout"], fmt.Sprint(callerBudget.Milliseconds()))
		var response *http.Response
		if response, err = c.client.Do(request); err == nil {
			s.status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	c.record.add("caller: POST %s %s at %s is answered %d", path, s.id, n.name, s.status)
	c.mu.Lock()
	c.list = append(c.list, s)
	c.mu.Unlock()
}

// load sends requests to the nodes in turn at a rate until the time is over.
func (c *callers) load(nodes []*node, perSecond float64, length time.Duration, path, body string) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			c.send(nodes[i%len(nodes)], path, body)
		}()
	}
}

// all waits for the answers and returns all requests.
func (c *callers) all() []sent {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.list...)
}
