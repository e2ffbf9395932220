package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// target is a server behind the fleet. It runs each request for its work time and
// answers 200.
type target struct {
	rec      *record
	id       string
	service  string
	zone     int
	address  string
	born     int64
	sequence atomic.Int64
	work     time.Duration
	nodes    []string
	listener net.Listener
	stopped  chan struct{}

	mu   sync.Mutex
	runs []run
}

// run is a request that a target began to work on.
type run struct {
	request, method, uri string
	bytes                int
	answered             bool
}

func startTarget(rec *record, n int, service string, zone int, work time.Duration, nodes []string) *target {
	l, err := net.Listen("tcp4", ip(100+n)+":0")
	if err != nil {
		cannotRun(err)
	}
	t := &target{
		rec: rec, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, zone: zone, address: l.Addr().String(),
		born: time.Now().UnixMilli(), work: work, nodes: nodes, listener: l, stopped: make(chan struct{}),
	}
	go t.accept()
	go t.beat()
	return t
}

func (t *target) stop() {
	close(t.stopped)
	_ = t.listener.Close()
}

// beat sends heartbeats.
func (t *target) beat() {
	acknowledged := false
	for {
		body, err := json.Marshal(map[string]any{
			"address": t.address, "born": t.born,
			"info":   map[string]any{"service": t.service, "version": "v1", "zone": zones[t.zone].name, "max_concurrency": 6},
			"status": map[string]any{"state": "ready", "sequence": t.sequence.Add(1), "warmup_left_ms": 0},
		})
		if err != nil {
			cannotRun(err)
		}
		status, _, err := callControl(t.nodes, "call=instances.heartbeat&of="+t.id, body, time.Now().Add(heartbeat))
		if now := err == nil && status == 200; now != acknowledged {
			acknowledged = now
			t.rec.add("target %s of %s: heartbeat acknowledged: %v", t.id, t.service, now)
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// serve reads requests of a connection one after the other.
func (t *target) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !t.respond(c, r, len(body)) {
			return
		}
	}
}

// respond answers a request. It reports false if the connection has ended.
func (t *target) respond(c net.Conn, r *http.Request, length int) bool {
	id := r.Header.Get("X-Sequoialane-Attempt-Id")
	switch expected := r.Header.Get("X-Sequoialane-Expect-Instance"); {
	case r.URL.Path == "/health":
		return write(c, 200, map[string]string{"X-Sequoialane-Instance-Id": t.id}, "")
	case expected != "" && expected != t.id:
		return write(c, 421, map[string]string{"X-Sequoialane-Attempt-Id": id, "X-Sequoialane-Not-Executed": "1"}, "")
	case id == "":
		return write(c, 400, map[string]string{"X-Sequoialane-Not-Executed": "1"}, "")
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{request: id, method: r.Method, uri: r.RequestURI, bytes: length})
	n := len(t.runs) - 1
	t.mu.Unlock()
	t.rec.add("target %s of %s: runs request %s, %s %s, body of %d bytes, deadline in %s ms",
		t.id, t.service, id, r.Method, r.RequestURI, length, r.Header.Get("X-Sequoialane-Deadline-Ms"))
	time.Sleep(t.work)
	ok := write(c, 200, map[string]string{
		"X-Sequoialane-Attempt-Id": id, "X-Sequoialane-Response-Signature": "3e1b.07." + id, "X-Sequoialane-Instance-Load": "1,0,6",
	}, "done by "+t.id+"\n")
	t.mu.Lock()
	t.runs[n].answered = ok
	t.mu.Unlock()
	t.rec.add("target %s of %s: its run of %s ends, answer written: %v", t.id, t.service, id, ok)
	return ok
}

func write(c net.Conn, status int, header map[string]string, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range header {
		head += name + ": " + value + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}

// runsOf returns the runs of a request.
func (t *target) runsOf(id string) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []run
	for _, r := range t.runs {
		if r.request == id {
			found = append(found, r)
		}
	}
	return found
}
