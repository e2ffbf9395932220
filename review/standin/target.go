package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

	sequence        atomic.Int64
	running, waited atomic.Int64
	ran, refused    atomic.Int64 // requests run, and rejected since the target was full
	misdirected     atomic.Int64
	bytes           atomic.Int64
	slot            chan struct{}
	server          *http.Server
	acknowledged    atomic.Bool // the last heartbeat was acknowledged
	cut             atomic.Bool
	mu              sync.Mutex
	arrivals        []time.Time
}

const queueOfTarget = 8

func (f *fleet) startTarget(ctx context.Context, id, service, zone string, slots int, work time.Duration) (*target, error) {
	t := &target{
		id: id, service: service, zone: zone, slots: slots, work: work, fleet: f, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s:%d", f.newIP(), 8080), slot: make(chan struct{}, slots),
	}
	if err := t.join(); err != nil {
		return nil, err
	}
	go t.beat(ctx)
	return t, nil
}

// join makes the target reachable.
func (t *target) join() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
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
	h := w.Header()
	h.Set("X-Sequoialane-Attempt-Id", id)
	h.Set("X-Sequoialane-Instance-Id", t.id)
	h.Set("X-Sequoialane-Instance-Load", fmt.Sprintf("%d,%d,%d", t.running.Load(), t.waited.Load(), t.slots))
	if r.URL.Path == "/health" {
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	if expected := r.Header.Get("X-Sequoialane-Expect-Instance"); expected != "" && expected != t.id {
		t.misdirected.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, _ := io.Copy(io.Discard, r.Body)
	t.bytes.Add(n)
	if t.waited.Add(1) > queueOfTarget {
		t.waited.Add(-1)
		t.refused.Add(1)
		h.Set("X-Sequoialane-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.slot <- struct{}{}
	t.waited.Add(-1)
	t.running.Add(1)
	time.Sleep(t.work)
	t.running.Add(-1)
	<-t.slot
	t.ran.Add(1)
	body := fmt.Sprintf("%s ran %s", t.id, id)
	h.Set("X-Sequoialane-Response-Signature", fmt.Sprintf("%x.%s", len(body), t.id))
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
