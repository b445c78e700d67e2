package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// transaction is a set of writes that is applied if each key of the precondition
// has its given revision.
type transaction struct {
	Precondition []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (p *Platform) commitTransaction(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var t transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxTransactionBytes)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range t.Puts {
		if len(put.Value) > maxValueBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	p.mu.Lock()
	status, document := p.applyTransaction(t)
	drop := p.answersToDrop > 0
	if drop {
		p.answersToDrop--
	}
	p.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, document)
}

// applyTransaction applies a transaction atomically, and returns the status and
// document of the answer. The caller holds p.mu.
func (p *Platform) applyTransaction(t transaction) (int, any) {
	satisfied := true
	current := []event{}
	for _, condition := range t.Precondition {
		v, ok := p.values[condition.Key]
		if ok {
			current = append(current, event{Key: condition.Key, Value: v.data, Rev: v.rev, Created: v.created, Lease: v.lease})
		}
		satisfied = satisfied && v.rev == condition.Rev
	}
	if !satisfied {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range t.Puts {
		if put.Lease != 0 && p.leases[put.Lease] == nil {
			return http.StatusNotFound, map[string]any{"error": "no such lease"}
		}
	}
	p.revision++
	for _, put := range t.Puts {
		p.setKey(put.Key, put.Value, put.Lease)
	}
	for _, key := range t.Remove {
		p.removeKey(key)
	}
	p.notifyWatches()
	return http.StatusOK, map[string]any{"rev": p.revision}
}

// setKey writes a key at the current revision. The caller holds p.mu.
func (p *Platform) setKey(key string, data []byte, lease uint64) {
	v := value{data: data, rev: p.revision, created: p.revision, lease: lease}
	if old, ok := p.values[key]; ok {
		v.created = old.created
	}
	p.values[key] = v
	p.history = append(p.history, event{Key: key, Value: data, Rev: v.rev, Created: v.created, Lease: lease})
}

// removeKey deletes a key at the current revision. The caller holds p.mu.
func (p *Platform) removeKey(key string) {
	if _, ok := p.values[key]; !ok {
		return
	}
	delete(p.values, key)
	p.history = append(p.history, event{Key: key, Rev: p.revision, Deleted: true})
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var request struct {
		Duration int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxTransactionBytes)).Decode(&request); err != nil || request.Duration <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	duration := time.Duration(request.Duration) * time.Millisecond
	p.mu.Lock()
	p.lastLease++
	number := p.lastLease
	p.leases[number] = &lease{duration: duration, expiresAt: time.Now().Add(duration)}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": number, "ttl_ms": request.Duration})
}

func (p *Platform) renewLease(w http.ResponseWriter, text string) {
	p.reads.Add(1)
	number, _ := strconv.ParseUint(text, 10, 64)
	p.mu.Lock()
	l := p.leases[number]
	if l != nil {
		l.expiresAt = time.Now().Add(l.duration)
	}
	p.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.duration.Milliseconds()})
}

func (p *Platform) revokeLease(w http.ResponseWriter, text string) {
	p.writes.Add(1)
	number, _ := strconv.ParseUint(text, 10, 64)
	p.mu.Lock()
	p.endLease(number)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{})
}

// expireLeases ends the leases that have expired. The caller holds p.mu.
func (p *Platform) expireLeases(now time.Time) {
	for number, l := range p.leases {
		if now.After(l.expiresAt) {
			p.endLease(number)
		}
	}
}

// endLease removes a lease and its keys. The caller holds p.mu.
func (p *Platform) endLease(number uint64) {
	if p.leases[number] == nil {
		return
	}
	delete(p.leases, number)
	p.revision++
	for key, v := range p.values {
		if v.lease == number {
			p.removeKey(key)
		}
	}
	p.notifyWatches()
}
