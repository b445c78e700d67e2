package main

import (
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	payPath = "/pay/"
	payTime = 120 * time.Millisecond
)

// drainingFleet starts three nodes with an upstream of one service each.
func drainingFleet(f *fleet) ([]*upstream, error) {
	document := configuration(1, []string{"kasir"}, []routeSpec{
		{name: "pay", prefix: payPath, kind: "unsafe", service: "kasir", timeoutMs: 2500, goalMs: 400, attempts: 2},
	})
	if err := f.start([]string{"kasir", "kasir", "kasir"}, document); err != nil {
		return nil, err
	}
	var upstreams []*upstream
	for _, n := range f.nodes {
		u, err := startUpstream(n, func(u *upstream) { u.work = payTime })
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	time.Sleep(3 * time.Second)
	return upstreams, nil
}

func endAll(upstreams []*upstream) {
	for _, u := range upstreams {
		u.end()
	}
}

// countLost returns how many of the requests an upstream began to run although their callers
// got no answer of it.
func countLost(u *upstream, list []sent) int {
	status := map[string]int{}
	for _, s := range list {
		status[s.id] = s.status
	}
	lost := 0
	for _, a := range u.seen() {
		if answered, ok := status[a.id]; ok && a.ran && answered != http.StatusOK {
			lost++
		}
	}
	return lost
}

// countLate returns how many requests reached an upstream later than drainTime after
// acknowledged, and not before inTouch.
func countLate(r *record, u *upstream, acknowledged, inTouch time.Time) int {
	late, bound := 0, acknowledged.Add(drainTime)
	if inTouch.After(bound) {
		bound = inTouch
	}
	for _, a := range u.seen() {
		if a.at.After(bound) {
			late++
			r.add("DRAIN: %s reached %s %.3f s after the acknowledgement", a.id, u.id, a.at.Sub(acknowledged).Seconds())
		}
	}
	return late
}

// servingTime is how long an upstream goes on serving after its leaving was acknowledged.
const servingTime = 8 * time.Second

// foreignSequence is the sequence number in the heartbeat of the other writer.
const foreignSequence = 1000

// playForeignHeartbeat plays one heartbeat of another writer, with fields missing, before an
// upstream drains. DRAIN: no request reaches it later than drainTime after it was told that
// its draining is known.
func playForeignHeartbeat(r *record, f *fleet, trouble bool) (bool, error) {
	upstreams, err := drainingFleet(f)
	defer func() { endAll(upstreams) }()
	if err != nil {
		return false, err
	}
	c, u := newCallers(r), upstreams[0]
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(f.nodes, 60, 16*time.Second, payPath+"1", "one payment")
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		document := u.heartbeat(foreignSequence, "ready")
		document["info"] = map[string]any{"service": u.node.service, "slots": slots}
		document["status"] = map[string]any{"state": "ready", "seq": foreignSequence}
		u.post(wire["heartbeat"], document, "a heartbeat of another writer, without version, zone and cold_left_ms,")
	}
	time.Sleep(2 * time.Second)
	u.drain()
	// It goes on serving for a while, as the pages allow.
	time.Sleep(servingTime)
	u.leave()
	u.end()
	<-done
	list := c.all()
	u.mu.Lock()
	acknowledged := u.acknowledged
	u.mu.Unlock()
	if acknowledged.IsZero() {
		r.result("the draining was not acknowledged")
		return false, nil
	}
	late := countLate(r, u, acknowledged, time.Time{})
	r.result("%d requests; %d reached the upstream later than %v after the acknowledgement; %d ran there without an answer",
		len(list), late, drainTime, countLost(u, list))
	return late > 0, nil
}

const (
	// heartbeatLateness is how long heartbeats are on their way.
	heartbeatLateness = 5 * time.Second
	// restartDelay is the pause before a process that was killed starts again.
	restartDelay = 500 * time.Millisecond
)

// playLateHeartbeats plays an upstream whose last heartbeats are on their way when it leaves,
// and the kill of the node that has acknowledged its leaving. DRAIN: no request reaches it
// later than drainTime after the acknowledgement. With PART=late or PART=kill in the
// environment, only one of the two happens.
func playLateHeartbeats(r *record, f *fleet, trouble bool) (bool, error) {
	upstreams, err := drainingFleet(f)
	defer func() { endAll(upstreams) }()
	if err != nil {
		return false, err
	}
	c, u := newCallers(r), upstreams[0]
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(f.nodes, 60, 18*time.Second, payPath+"1", "one payment")
	}()
	time.Sleep(2 * time.Second)
	if trouble && os.Getenv("PART") != "kill" {
		u.mu.Lock()
		u.late = heartbeatLateness
		u.mu.Unlock()
	}
	time.Sleep(heartbeatLateness)
	left := u.leave()
	acknowledged := time.Now()
	if trouble && os.Getenv("PART") != "late" {
		if err := u.node.restart(syscall.SIGKILL, restartDelay); err != nil {
			return false, err
		}
	}
	inTouch := u.node.since.Add(stableTime)
	time.Sleep(time.Until(acknowledged.Add(servingTime)))
	u.end()
	<-done
	list := c.all()
	if !left {
		r.result("the leaving was not acknowledged")
		return false, nil
	}
	late := countLate(r, u, acknowledged, inTouch)
	r.result("%d requests; %d reached the upstream later than %v after the acknowledgement, from machines in touch; %d ran there without an answer",
		len(list), late, drainTime, countLost(u, list))
	return late > 0, nil
}
