package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// acknowledgeTimeout is the time within which an acknowledgement counts.
	acknowledgeTimeout = time.Second
	slots              = 16
)

// verdict is what an upstream does with a request.
type verdict int

// The verdicts.
const (
	runs verdict = iota
	rejects
	crashes
)

// arrival is a request that reached an upstream and was meant for it.
type arrival struct {
	id, path string
	at       time.Time
	ran      bool
	upstream string
}

// upstream is a backend server beside a node.
type upstream struct {
	record *record
	node   *node
	id     string
	born   int64
	// work is how long a run takes.
	work time.Duration
	// decide returns the verdict on a request, and repeats whether its answer is sent once
	// more where the next one on the connection is expected.
	decide  func(path string) verdict
	repeats func() bool
	// crashed is called after a crash.
	crashed  func()
	listener net.Listener

	mu       sync.Mutex
	sequence uint64
	state    string
	leaving  bool
	ended    bool
	running  int
	conns    map[net.Conn]struct{}
	arrivals []arrival
	// late delays each heartbeat on its way.
	late time.Duration
	// acknowledged is when a heartbeat that says draining was acknowledged.
	acknowledged time.Time
}

var lastUpstream struct {
	sync.Mutex
	number int
}

// newUpstreamID returns an identity that no other upstream of the run has.
func newUpstreamID() string {
	lastUpstream.Lock()
	defer lastUpstream.Unlock()
	lastUpstream.number++
	return fmt.Sprintf("i-%08d", lastUpstream.number)
}

// startUpstream starts an upstream beside a node; options set its fields before.
func startUpstream(n *node, options ...func(*upstream)) (*upstream, error) {
	u := &upstream{
		record: n.fleet.record, node: n, id: newUpstreamID(), born: time.Now().UnixMilli(), work: 20 * time.Millisecond,
		decide: func(string) verdict { return runs }, repeats: func() bool { return false }, crashed: func() {},
		state: "ready", conns: map[net.Conn]struct{}{},
	}
	for _, option := range options {
		option(u)
	}
	var err error
	if u.listener, err = net.Listen("tcp", n.backend); err != nil {
		return nil, err
	}
	u.record.add("%s: upstream of %s starts beside %s", u.id, n.service, n.name)
	go u.accept()
	go u.announce()
	return u, nil
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		ended := u.ended
		u.conns[conn] = struct{}{}
		u.mu.Unlock()
		if ended {
			_ = conn.Close()
			return
		}
		go u.serve(conn)
	}
}

// end closes the listener and all connections at once.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	_ = u.listener.Close()
	for conn := range u.conns {
		_ = conn.Close()
	}
	u.record.add("%s: upstream ends", u.id)
}

// announce sends heartbeats until the upstream leaves or ends.
func (u *upstream) announce() {
	for {
		u.mu.Lock()
		done := u.ended || u.leaving
		u.mu.Unlock()
		if done {
			return
		}
		u.beat()
		time.Sleep(heartbeatInterval)
	}
}

// beat sends one heartbeat, and waits for its acknowledgement unless it is late.
func (u *upstream) beat() (acknowledged bool) {
	u.mu.Lock()
	u.sequence++
	sequence, state, late := u.sequence, u.state, u.late
	u.mu.Unlock()
	document := u.heartbeat(sequence, state)
	if late > 0 {
		u.record.add("%s: heartbeat %d (%s) is on its way for %v", u.id, sequence, state, late)
		time.AfterFunc(late, func() { u.post(wire["heartbeat"], document, fmt.Sprintf("late heartbeat %d (%s)", sequence, state)) })
		return false
	}
	status := u.post(wire["heartbeat"], document, "")
	if status == http.StatusOK && state == "draining" {
		u.mu.Lock()
		if u.acknowledged.IsZero() {
			u.acknowledged = time.Now()
			u.record.add("%s: heartbeat %d (draining) is acknowledged", u.id, sequence)
		}
		u.mu.Unlock()
	}
	return status == http.StatusOK
}

// heartbeat returns the document of a heartbeat.
func (u *upstream) heartbeat(sequence uint64, state string) map[string]any {
	return map[string]any{
		"addr": u.node.backend, "born": u.born,
		"info":   map[string]any{"service": u.node.service, "version": "v1", "zone": u.node.zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": sequence, "cold_left_ms": 0},
	}
}

// post sends a document to the node and returns the status of the answer, 0 without one in
// time.
func (u *upstream) post(path string, document map[string]any, what string) int {
	data, err := json.Marshal(document)
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: acknowledgeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	status := 0
	response, err := client.Post("http://"+u.node.control+path+u.id, "application/json", bytes.NewReader(data))
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if what != "" {
		u.record.add("%s: %s is answered %d", u.id, what, status)
	}
	return status
}

// drain reports draining until a heartbeat is acknowledged.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	for try := 0; try < 10 && !u.beat(); try++ {
		time.Sleep(200 * time.Millisecond)
	}
}

// leave deregisters the upstream and reports whether that was acknowledged.
func (u *upstream) leave() bool {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	return u.post(wire["leave"], map[string]any{"born": u.born}, "its leaving") == http.StatusOK
}

// serve serves the requests of a connection one at a time.
func (u *upstream) serve(conn net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != nil {
			u.record.add("%s: sends its previous answer on this connection once more", u.id)
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer, keep := u.answer(request, body)
		if !keep {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if request.URL.Path != healthPath && u.repeats() {
			extra = answer
		}
	}
}

// answer returns the bytes of the answer to a request; keep is false if there is none.
func (u *upstream) answer(request *http.Request, body []byte) (answer []byte, keep bool) {
	header := http.Header{}
	header.Set(wire["instance"], u.id)
	u.mu.Lock()
	header.Set(wire["load"], fmt.Sprintf("%d,0,%d,100", u.running, slots))
	leaves := u.leaving || u.state != "ready"
	u.mu.Unlock()
	if request.URL.Path == healthPath {
		status := http.StatusOK
		if leaves {
			status = http.StatusServiceUnavailable
		}
		return encode(status, header, nil), true
	}
	id := request.Header.Get(wire["request-id"])
	header.Set(wire["request-id"], id)
	if request.Header.Get(wire["expect"]) != u.id {
		return encode(http.StatusMisdirectedRequest, header, nil), true
	}
	decided := u.decide(request.URL.Path)
	u.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{id: id, path: request.URL.Path, at: time.Now(), ran: decided != rejects, upstream: u.id})
	u.mu.Unlock()
	switch decided {
	case rejects:
		u.record.add("%s: rejects %s", u.id, id)
		header.Set(wire["not-run"], "1")
		return encode(http.StatusServiceUnavailable, header, nil), true
	case crashes:
		u.record.add("%s: runs %s %s and crashes", u.id, request.URL.Path, id)
		u.end()
		u.crashed()
		return nil, false
	}
	u.record.add("%s: runs %s", u.id, id)
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	header.Set(wire["stamp"], "s."+u.id+"."+id)
	return encode(http.StatusOK, header, append([]byte(u.id+" "+id+" "), body...)), true
}

// encode returns the bytes of an answer on a connection that stays open.
func encode(status int, header http.Header, body []byte) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", fmt.Sprint(len(body)))
	header.Set("Keep-Alive", "timeout=10")
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// seen returns the requests that reached the upstream so far.
func (u *upstream) seen() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}
