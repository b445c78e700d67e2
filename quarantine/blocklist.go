package quarantine

import (
	"sort"
	"sync"
	"time"
)

const (
	// heldAfter is how many upstreams a request must have brought down to be
	// held: the operators' bound on its retries.
	heldAfter = 3
	// holdSpan is how long crashes are remembered.
	holdSpan = time.Minute
	// maxRecords bounds what is told to other nodes at a time.
	maxRecords = 24
)

// Record tells other nodes of a request.
type Record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes is how many upstreams ended while they ran it.
	Crashes uint32 `cbor:"2,keyasint,omitempty"`
	// Answered tells that an upstream has answered it since.
	Answered bool `cbor:"3,keyasint,omitempty"`
}

// Blocklist counts the upstreams that ended under a request, over all nodes. Unlike
// Quarantine it lets suspects run beside others, so that an upstream that ended
// for another reason costs the requests that it ran nothing: whatever is
// answered once is cleared. It is safe for concurrent use.
type Blocklist struct {
	mu    sync.Mutex
	cases map[uint64]*suspicion
}

// suspicion is what is known of one request.
type suspicion struct {
	own      uint32
	others   map[string]uint32
	answered bool
	at       time.Time
}

// NewBlocklist returns an empty Blocklist.
func NewBlocklist() *Blocklist { return &Blocklist{cases: map[uint64]*suspicion{}} }

// Crashed records that an upstream ended while it ran the requests.
func (h *Blocklist) Crashed(now time.Time, fingerprints []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, fingerprint := range fingerprints {
		s := h.suspicion(now, fingerprint)
		s.own++
		s.answered = false
	}
	h.expire(now)
}

// suspicion returns the case of a request; h.mu is held.
func (h *Blocklist) suspicion(now time.Time, fingerprint uint64) *suspicion {
	s := h.cases[fingerprint]
	if s == nil {
		s = &suspicion{others: map[string]uint32{}}
		h.cases[fingerprint] = s
	}
	s.at = now
	return s
}

// expire forgets old cases; h.mu is held.
func (h *Blocklist) expire(now time.Time) {
	for fingerprint, s := range h.cases {
		if now.Sub(s.at) > holdSpan || len(h.cases) > maxEntries {
			delete(h.cases, fingerprint)
		}
	}
}

// Answered records that an upstream answered the request.
func (h *Blocklist) Answered(now time.Time, fingerprint uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.cases[fingerprint]; s != nil {
		s.own, s.others, s.answered, s.at = 0, map[string]uint32{}, true, now
	}
}

// Blocked tells whether the request must not run.
func (h *Blocklist) Blocked(now time.Time, fingerprint uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.cases[fingerprint]
	if s == nil || now.Sub(s.at) > holdSpan {
		return false
	}
	total := s.own
	for _, crashes := range s.others {
		total += crashes
	}
	return total >= heldAfter
}

// Records returns what other nodes should know, the latest cases first.
func (h *Blocklist) Records(now time.Time) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	records := make([]Record, 0, maxRecords)
	order := make([]uint64, 0, len(h.cases))
	for fingerprint, s := range h.cases {
		if s.own > 0 || s.answered {
			order = append(order, fingerprint)
		}
	}
	sort.Slice(order, func(i, j int) bool { return h.cases[order[i]].at.After(h.cases[order[j]].at) })
	for _, fingerprint := range order[:min(len(order), maxRecords)] {
		s := h.cases[fingerprint]
		records = append(records, Record{Fingerprint: fingerprint, Crashes: s.own, Answered: s.answered})
	}
	return records
}

// Merge takes the records of another node.
func (h *Blocklist) Merge(now time.Time, host string, records []Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range records {
		known := h.cases[record.Fingerprint]
		if record.Answered {
			if known != nil {
				known.own, known.others = 0, map[string]uint32{}
			}
			continue
		}
		if known != nil && known.others[host] == record.Crashes {
			continue
		}
		h.suspicion(now, record.Fingerprint).others[host] = record.Crashes
	}
}
