package main

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// downloadBytes is the length of a download, and brokenBytes what an answer that is broken
	// off has of it.
	downloadBytes = 400_000
	brokenBytes   = 300_000
	// pieceBytes is written at a time, with piecePause after it.
	pieceBytes = 20_000
	piecePause = 5 * time.Millisecond
	// brokenEvery is the number of answers of which a faulty upstream breaks off one.
	brokenEvery = 50
)

// downloads is an upstream of large answers, which breaks off some of them while it is faulty.
// A standin.Backend announces it.
type downloads struct {
	headers  headers
	instance string
	address  string
	record   *record
	server   *http.Server

	mu sync.Mutex
	// answers counts those of a faulty upstream, and broken those that were broken off.
	faulty          bool
	answers, broken int
}

// newDownloads starts an upstream in place of the one that announces itself.
func newDownloads(h headers, announcer *standin.Backend, r *record) (*downloads, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	d := &downloads{headers: h, instance: announcer.Instance(), address: listener.Addr().String(), record: r}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()
	announcer.SetAnnouncedAddress(d.address)
	return d, nil
}

// setFaulty sets whether the upstream breaks off answers.
func (d *downloads) setFaulty(faulty bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faulty = faulty
	d.record.add("upstream %s breaks off one of %d answers: %t", d.instance, brokenEvery, faulty)
}

// breaksOff reports whether the next answer is broken off.
func (d *downloads) breaksOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.faulty {
		return false
	}
	d.answers++
	if d.answers%brokenEvery != 0 {
		return false
	}
	d.broken++
	return true
}

// ServeHTTP implements http.Handler.
func (d *downloads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(d.headers.Instance, d.instance)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(d.headers.ID)
	w.Header().Set(d.headers.ID, id)
	if r.Header.Get(d.headers.Expected) != d.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.record.add("%s runs %s", d.instance, id)
	w.Header().Set(d.headers.Stamp, "s")
	w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
	length, broken := downloadBytes, d.breaksOff()
	if broken {
		length = brokenBytes
	}
	piece := bytes.Repeat([]byte{'x'}, pieceBytes)
	for sent := 0; sent < length; sent += pieceBytes {
		if _, err := w.Write(piece); err != nil {
			return
		}
		time.Sleep(piecePause)
	}
	if broken {
		d.record.add("upstream %s breaks off its answer to %s after %d of %d bytes", d.instance, id, length, downloadBytes)
		panic(http.ErrAbortHandler)
	}
}
