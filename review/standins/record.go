package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps it for the check.
type record struct {
	mu       sync.Mutex
	file     *os.File
	w        *bufio.Writer
	started  time.Time
	requests map[string]*request
	order    []string
}

// request is what callers and upstreams have seen of one request.
type request struct {
	id, service, host string
	// kept means that the request was sent on a connection that had served others.
	kept   bool
	sentAt time.Duration
	// runs lists the upstreams that began to run it.
	runs []string
	// status is the answer's status, 0 if the connection ended without one.
	status  int
	outcome string
	endedAt time.Duration
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, w: bufio.NewWriter(file), started: time.Now(), requests: map[string]*request{}}, nil
}

func (rec *record) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.w.Flush()
	_ = rec.file.Close()
}

// elapsed returns the time since the start of the record.
func (rec *record) elapsed() time.Duration { return time.Since(rec.started) }

func (rec *record) add(format string, arguments ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(format, arguments...)
}

// write implements add; rec.mu is held.
func (rec *record) write(format string, arguments ...any) {
	text := strings.ReplaceAll(fmt.Sprintf(format, arguments...), "\r\n", "; ")
	_, _ = fmt.Fprintf(rec.w, "%8.3f %s\n", rec.elapsed().Seconds(), text)
}

func (rec *record) sent(id, service, host string, kept bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[id] = &request{id: id, service: service, host: host, kept: kept, sentAt: rec.elapsed()}
	rec.order = append(rec.order, id)
	rec.write("sent %s to %s for %s, on a kept connection: %t", id, host, service, kept)
}

func (rec *record) ran(id, instance string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write("upstream %s runs %s", instance, id)
	if r := rec.requests[id]; r != nil {
		r.runs = append(r.runs, instance)
		return
	}
	rec.write("VIOLATION upstream %s runs %s, which nobody sent", instance, id)
}

func (rec *record) ended(id string, status int, outcome string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.requests[id]
	r.status, r.outcome, r.endedAt = status, outcome, rec.elapsed()
	rec.write("ended %s: %s", id, outcome)
}

// all returns copies of the requests in the order in which they were sent.
func (rec *record) all() []request {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	requests := make([]request, 0, len(rec.order))
	for _, id := range rec.order {
		r := *rec.requests[id]
		r.runs = append([]string(nil), r.runs...)
		requests = append(requests, r)
	}
	return requests
}
