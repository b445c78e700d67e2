package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/standin"
)

const (
	// eraHeader holds the number of the store's history, which rises with each restore.
	eraHeader = "Store-Era"
	// watchSuffix ends the path of a watch.
	watchSuffix = "-watch"
	// fillerKey is a key outside those of the nodes and the operators. Writes of it bring a
	// restored store to the revision of its copy.
	fillerKey = "filler"
)

// store is the platform's store. It can be away, and come back from a copy.
type store struct {
	record  *record
	address string
	server  *http.Server

	mu       sync.Mutex
	platform *standin.Platform
	era      int
	away     bool
	// cut ends the calls in progress when it is closed.
	cut chan struct{}
}

func newStore(r *record) (*store, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{record: r, platform: standin.NewPlatform(), era: 1, cut: make(chan struct{})}
	s.serve(listener)
	return s, nil
}

// serve serves the store on a listener.
func (s *store) serve(listener net.Listener) {
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.server = server
	go func() { _ = server.Serve(listener) }()
}

func (s *store) close() {
	s.mu.Lock()
	s.platform.Close()
	s.mu.Unlock()
	_ = s.server.Close()
}

// operators returns the interface through which the operators write.
func (s *store) operators() *standin.Platform {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.platform
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	current, era, away, cut := s.platform, s.era, s.away, s.cut
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.Itoa(era))
	if strings.HasSuffix(r.URL.Path, watchSuffix) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		s.record.add("the store gets a watch after revision %d, and is at %d", after, revisionOf(current))
		if after > revisionOf(current) {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	current.ServeHTTP(w, r.WithContext(ctx))
	select {
	case <-cut:
		panic(http.ErrAbortHandler)
	default:
	}
}

// contents returns the entries of a store and its revision.
func contents(p *standin.Platform) ([]platform.Entry, uint64, error) {
	server := httptest.NewServer(p)
	defer server.Close()
	client := platform.NewClient(server.Listener.Addr().String())
	defer client.Close()
	return client.List(context.Background(), "", false)
}

// revisionOf returns the revision of a store.
func revisionOf(p *standin.Platform) uint64 {
	_, revision, err := contents(p)
	if err != nil {
		return 0
	}
	return revision
}

// backup is a copy of the store.
type backup struct {
	entries  []platform.Entry
	revision uint64
}

// backUp copies the store.
func (s *store) backUp() (backup, error) {
	entries, revision, err := contents(s.operators())
	s.record.add("the store is copied at revision %d", revision)
	return backup{entries: entries, revision: revision}, err
}

// goAway makes the store close all connections until it is restored.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.cut)
	s.record.add("the store is away")
}

// restore brings the store back from a copy. Leases have run out meanwhile, with their
// keys. Write writes again what the operators wrote since the copy, and what they
// write next.
func (s *store) restore(b backup, write func(p *standin.Platform)) error {
	restored := standin.NewPlatform()
	slices.SortFunc(b.entries, func(a, b platform.Entry) int { return cmp.Compare(a.Version(), b.Version()) })
	revision := revisionOf(restored)
	fill := func(upTo uint64) {
		for ; revision < upTo; revision++ {
			restored.Store(fillerKey, nil)
		}
	}
	for _, entry := range b.entries {
		if entry.Lease() != 0 {
			continue
		}
		fill(entry.Version() - 1)
		restored.Store(entry.Key(), entry.Value())
		revision++
	}
	fill(b.revision)
	if got := revisionOf(restored); got != b.revision {
		return fmt.Errorf("the restored store is at revision %d, not %d", got, b.revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platform, s.away, s.cut = restored, false, make(chan struct{})
	s.era++
	s.record.add("the store is back at revision %d, era %d", b.revision, s.era)
	write(restored)
	return nil
}
