package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// spellTime is how long an upstream is faulty, spells how often, and spellPause the pause
	// between two spells.
	spellTime  = 5 * time.Second
	spells     = 8
	spellPause = time.Second
	// connections is the number of callers' connections, and thinkTime the pause between
	// the requests of a connection.
	connections = 8
	thinkTime   = 150 * time.Millisecond
	// behind is the number of requests that are sent behind a download.
	behind = 2
	// maxLost is how many requests may be lost.
	maxLost = 3
)

// pipelinedRequest is a request that was sent on a connection with others.
type pipelinedRequest struct {
	id, path string
	answered bool
}

// pipelined sends requests behind downloads of a service one of whose upstreams breaks off
// some answers. All upstreams of the service that they go to are sound.
func pipelined(f *fleet, trouble bool) error {
	h, err := readHeaders()
	if err != nil {
		return err
	}
	err = f.publishRoutes(10, routeSpec{prefix: "/unduh/", kind: "download", service: "pustaka"}, routeSpec{prefix: "/cek/", kind: "safe", service: "grosir"})
	if err != nil {
		return err
	}
	var faulty *downloads
	for _, n := range []struct{ name, failureDomain, service string }{
		{"pustaka-1", "z1", "pustaka"}, {"pustaka-2", "z2", "pustaka"}, {"grosir-1", "z3", "grosir"},
	} {
		added, err := f.prepare(n.name, n.failureDomain, n.service, nil)
		if err != nil {
			return err
		}
		if n.service == "pustaka" {
			d, err := newDownloads(h, added.backend, f.record)
			if err != nil {
				return err
			}
			defer func() { _ = d.server.Close() }()
			added.settings.Backend, faulty = d.address, d
		}
		if err := f.launch(added); err != nil {
			return err
		}
	}
	for _, path := range []string{"/unduh/kalender", "/cek/pemasok"} {
		if err := f.awaitServing(path); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	requests := f.callPipelined(h, trouble, faulty)
	return f.judgePipelined(requests)
}

// callPipelined sends requests while the upstream is faulty again and again, and returns those
// that were sent behind others.
func (f *fleet) callPipelined(h headers, trouble bool, faulty *downloads) []*pipelinedRequest {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var mu sync.Mutex
	var all []*pipelinedRequest
	for range connections {
		callers.Go(func() {
			for ctx.Err() == nil {
				sent := f.callOnOneConnection(ctx, h, f.nodes[2])
				mu.Lock()
				all = append(all, sent...)
				mu.Unlock()
			}
		})
	}
	for range spells {
		if trouble {
			faulty.setFaulty(true)
		}
		time.Sleep(spellTime)
		if trouble {
			faulty.setFaulty(false)
		}
		time.Sleep(spellPause)
	}
	cancel()
	callers.Wait()
	return all
}

// callOnOneConnection sends downloads, each with requests behind it, on one connection until
// that ends. It returns the requests behind.
func (f *fleet) callOnOneConnection(ctx context.Context, h headers, n *node) []*pipelinedRequest {
	conn, err := net.DialTimeout("tcp", n.settings.Callers, time.Second)
	if err != nil {
		f.record.add("no connection to %s: %v", n.name, err)
		time.Sleep(thinkTime)
		return nil
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var all []*pipelinedRequest
	for ctx.Err() == nil {
		sent := []*pipelinedRequest{f.newPipelined("/unduh/kalender")}
		for range behind {
			sent = append(sent, f.newPipelined("/cek/pemasok"))
		}
		all = append(all, sent[1:]...)
		text := ""
		for _, r := range sent {
			text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %d\r\n\r\n", r.path, h.ID, r.id, h.Timeout, callTimeout.Milliseconds())
			f.record.add("%s for %s sent to %s", r.id, r.path, n.name)
		}
		_ = conn.SetDeadline(time.Now().Add(2 * callTimeout))
		if _, err := io.WriteString(conn, text); err != nil {
			f.record.add("the connection of %s ends: %v", sent[0].id, err)
			return all
		}
		for _, r := range sent {
			if !f.readAnswer(reader, h, r) {
				return all
			}
		}
		time.Sleep(thinkTime)
	}
	return all
}

// newPipelined returns a request for a path.
func (f *fleet) newPipelined(path string) *pipelinedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	return &pipelinedRequest{id: fmt.Sprintf("request%05d", f.requests), path: path}
}

// readAnswer reads the answer to a request and reports whether the connection goes on.
func (f *fleet) readAnswer(reader *bufio.Reader, h headers, r *pipelinedRequest) bool {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		f.record.add("%s: the connection ends without an answer: %v", r.id, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	length, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		f.record.add("%s: the answer %d breaks off after %d bytes: %v", r.id, response.StatusCode, length, err)
		return false
	}
	r.answered = true
	f.record.add("%s: answered %s to %s with %d bytes", r.id, strconv.Itoa(response.StatusCode), response.Header.Get(h.ID), length)
	return !response.Close
}

// judgePipelined returns errBroken if more requests than allowed were run by an upstream that
// is sound and got no answer.
func (f *fleet) judgePipelined(requests []*pipelinedRequest) error {
	ran := map[string]bool{}
	for _, run := range f.nodes[2].backend.Runs() {
		ran[run.ID] = true
	}
	answered, lost := 0, 0
	for _, r := range requests {
		switch {
		case r.answered:
			answered++
		case ran[r.id]:
			lost++
			f.record.add("%s was run by %s and got no answer", r.id, f.nodes[2].backend.Instance())
		}
	}
	f.record.add("of %d requests behind downloads, %d were answered; %d were run and got no answer", len(requests), answered, lost)
	switch {
	case lost > maxLost:
		return errBroken
	case answered == 0:
		return fmt.Errorf("no request was answered")
	}
	return nil
}
