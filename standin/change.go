package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// transaction is a change under a condition.
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

func (p *Platform) change(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var t transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChange)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range t.Puts {
		if len(put.Value) > maxValue {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	p.mu.Lock()
	status, document := p.apply(t)
	lost := p.lose > 0
	if lost {
		p.lose--
	}
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, document)
}

// apply carries a transaction out whole or not at all; p.mu is held.
func (p *Platform) apply(t transaction) (int, any) {
	met := true
	current := []event{}
	for _, condition := range t.Precondition {
		v, ok := p.values[condition.Key]
		if ok {
			current = append(current, event{Key: condition.Key, Value: v.data, Rev: v.rev, Created: v.created, Lease: v.lease})
		}
		met = met && v.rev == condition.Rev
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range t.Puts {
		if put.Lease != 0 && p.leases[put.Lease] == nil {
			return http.StatusNotFound, map[string]any{"error": "no such lease"}
		}
	}
	p.revision++
	for _, put := range t.Puts {
		p.set(put.Key, put.Value, put.Lease)
	}
	for _, key := range t.Remove {
		p.remove(key)
	}
	p.wake()
	return http.StatusOK, map[string]any{"rev": p.revision}
}

// set writes a key at the current revision; p.mu is held.
func (p *Platform) set(key string, data []byte, lease uint64) {
	v := value{data: data, rev: p.revision, created: p.revision, lease: lease}
	if old, ok := p.values[key]; ok {
		v.created = old.created
	}
	p.values[key] = v
	p.history = append(p.history, event{Key: key, Value: data, Rev: v.rev, Created: v.created, Lease: lease})
}

// remove deletes a key at the current revision; p.mu is held.
func (p *Platform) remove(key string) {
	if _, ok := p.values[key]; !ok {
		return
	}
	delete(p.values, key)
	p.history = append(p.history, event{Key: key, Rev: p.revision, Deleted: true})
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var request struct {
		Duration int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChange)).Decode(&request); err != nil || request.Duration <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	duration := time.Duration(request.Duration) * time.Millisecond
	p.mu.Lock()
	p.granted++
	number := p.granted
	p.leases[number] = &lease{duration: duration, ends: time.Now().Add(duration)}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": number, "ttl_ms": request.Duration})
}

func (p *Platform) keep(w http.ResponseWriter, text string) {
	p.reads.Add(1)
	number, _ := strconv.ParseUint(text, 10, 64)
	p.mu.Lock()
	l := p.leases[number]
	if l != nil {
		l.ends = time.Now().Add(l.duration)
	}
	p.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.duration.Milliseconds()})
}

func (p *Platform) end(w http.ResponseWriter, text string) {
	p.writes.Add(1)
	number, _ := strconv.ParseUint(text, 10, 64)
	p.mu.Lock()
	p.endLease(number)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{})
}

// expire ends the leases that ran out; p.mu is held.
func (p *Platform) expire(now time.Time) {
	for number, l := range p.leases {
		if now.After(l.ends) {
			p.endLease(number)
		}
	}
}

// endLease removes a lease and its keys; p.mu is held.
func (p *Platform) endLease(number uint64) {
	if p.leases[number] == nil {
		return
	}
	delete(p.leases, number)
	p.revision++
	for key, v := range p.values {
		if v.lease == number {
			p.remove(key)
		}
	}
	p.wake()
}
