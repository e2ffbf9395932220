package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in for a sound target.
type target struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	fleet                      *fleet

	sequence         atomic.Int64
	running, waiting atomic.Int64
	ran, refused     atomic.Int64 // requests run, and rejected
	misdirected      atomic.Int64
	slot             chan struct{}
	handler          http.Handler // of requests
	listen           func(address string) (net.Listener, error)
	server           *http.Server
	acknowledged     atomic.Bool // the last heartbeat was acknowledged
	cut              atomic.Bool
	mu               sync.Mutex
	arrivals         []time.Time
}

const (
	queueOfTarget = 8                // requests that wait for a slot
	idleTime      = 10 * time.Second // after which a target closes an idle connection
)

// newTarget returns a target that is neither reachable nor announced yet.
func (f *fleet) newTarget(id, service, zone string, slots int, work time.Duration) *target {
	t := &target{
		id: id, service: service, zone: zone, slots: slots, work: work, fleet: f, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s:%d", f.newIP(), 8080), slot: make(chan struct{}, slots),
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	}
	t.handler = t
	return t
}

// start makes the target reachable and announces it.
func (t *target) start(ctx context.Context) error {
	if err := t.join(); err != nil {
		return err
	}
	go t.beat(ctx)
	return nil
}

// join makes the target reachable.
func (t *target) join() error {
	l, err := t.listen(t.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t.handler, IdleTimeout: idleTime}
	t.mu.Lock()
	t.server = server
	t.mu.Unlock()
	t.cut.Store(false)
	go func() { _ = server.Serve(l) }()
	return nil
}

// cutOff cuts the target off from all machines: its connections are reset, new
// ones are refused, and its heartbeats reach nobody. The target itself goes on.
func (t *target) cutOff() {
	t.cut.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.server.Close()
}

// ServeHTTP runs a request as the users' pages say.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sequoialane-Attempt-Id")
	t.stateHeaders(w.Header(), id)
	if r.URL.Path == "/health" {
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	if !t.isMeant(w, r, id) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	deadline := time.After(timeLeft(r))
	if !t.takeSlot(deadline) {
		t.reject(w, id)
		return
	}
	defer t.freeSlot()
	t.fleet.record.add("target %s: runs %s", t.id, id)
	select {
	case <-time.After(t.work):
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	t.ran.Add(1)
	t.answer(w, id)
}

// stateHeaders sets the headers of each response.
func (t *target) stateHeaders(h http.Header, id string) {
	h.Set("X-Sequoialane-Attempt-Id", id)
	h.Set("X-Sequoialane-Instance-Id", t.id)
	h.Set("X-Sequoialane-Instance-Load", fmt.Sprintf("%d,%d,%d", t.running.Load(), t.waiting.Load(), t.slots))
	h.Set("Keep-Alive", "timeout="+itoa(int64(idleTime/time.Second)))
}

// isMeant reports whether the request is for this target. If not, it responds.
func (t *target) isMeant(w http.ResponseWriter, r *http.Request, id string) bool {
	if expected := r.Header.Get("X-Sequoialane-Expect-Instance"); expected != "" && expected != t.id {
		t.misdirected.Add(1)
		t.fleet.record.add("target %s: 421 to %s, which expects %s", t.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if id == "" {
		w.Header().Set("X-Sequoialane-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// timeLeft returns the time that the caller gives the request.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Sequoialane-Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// takeSlot waits for a slot. It returns false if the queue is full or the
// deadline comes first.
func (t *target) takeSlot(deadline <-chan time.Time) bool {
	select {
	case t.slot <- struct{}{}:
		t.running.Add(1)
		return true
	default:
	}
	defer t.waiting.Add(-1)
	if t.waiting.Add(1) > queueOfTarget {
		return false
	}
	select {
	case t.slot <- struct{}{}:
		t.running.Add(1)
		return true
	case <-deadline:
		return false
	}
}

func (t *target) freeSlot() {
	t.running.Add(-1)
	<-t.slot
}

func (t *target) reject(w http.ResponseWriter, id string) {
	t.refused.Add(1)
	t.fleet.record.add("target %s: does not run %s", t.id, id)
	w.Header().Set("X-Sequoialane-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *target) answer(w http.ResponseWriter, id string) {
	body := fmt.Sprintf("%s ran %s", t.id, id)
	w.Header().Set("X-Sequoialane-Response-Signature", fmt.Sprintf("%x.%s", len(body), t.id))
	_, _ = io.WriteString(w, body)
}

// announcement is the body of a heartbeat.
func (t *target) announcement(state string) map[string]any {
	return map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "max_concurrency": t.slots},
		"status": map[string]any{"state": state, "sequence": t.sequence.Add(1), "warmup_left_ms": 0},
	}
}

// beat sends heartbeats until ctx is done, to the node that the last response
// named, or to one node after the other.
func (t *target) beat(ctx context.Context) {
	next := ""
	for i := 0; ctx.Err() == nil; i++ {
		if t.cut.Load() {
			next = ""
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		text, _ := json.Marshal(t.announcement("ready"))
		if next == "" {
			addresses := t.fleet.controlAddresses()
			next = addresses[i%len(addresses)]
		}
		status, response := callControl(next, "instances.heartbeat&of="+t.id, text)
		t.acknowledged.Store(status/100 == 2)
		if status/100 != 2 {
			next = ""
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		var named struct {
			URL string `json:"heartbeat_url"`
		}
		if json.Unmarshal(response, &named) == nil && named.URL != "" {
			next = named.URL
		}
		sleep(ctx, heartbeatEvery)
	}
}

// arrivalsBetween returns how many requests arrived in the span.
func (t *target) arrivalsBetween(from, to time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
