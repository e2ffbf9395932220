package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request at which a target began to work.
type run struct {
	id, method, uri, target string
	arrived                 time.Time
}

const (
	// queueLength is how many requests wait at a target beyond its slots.
	queueLength = 8
	// idleTimeout is how long a target keeps an idle connection.
	idleTimeout = 10 * time.Second
)

// runs are the requests that all targets have run.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string][]run{}
	for _, x := range r.list {
		m[x.id] = append(m[x.id], x)
	}
	return m
}

// ending says how a target ends a request that it has run.
type ending int

const (
	answers ending = iota // 200
	losesIt               // the connection is reset without an answer
)

// target is a stand-in for a target: it speaks what PROTOCOL.md says under "Targets"
// and "Service discovery".
type target struct {
	fleet    *fleet
	rec      *record
	runs     *runs
	id       string
	service  string
	zone     string
	address  string
	born     int64 // Unix milliseconds, by the clock of the target's machine
	slots    chan struct{}
	queue    chan struct{}
	work     time.Duration
	end      func(id string) ending // how the request with the id ends
	listener net.Listener

	mu       sync.Mutex
	sequence int
	state    string
	home     *process
	stopped  chan struct{}
}

// newTarget returns a target that listens on its address; it announces itself once
// announce is called.
func newTarget(f *fleet, rec *record, all *runs, id, service, zone, address string, born int64) (*target, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &target{
		fleet: f, rec: rec, runs: all, id: id, service: service, zone: zone, address: l.Addr().String(), born: born,
		slots: make(chan struct{}, 2), queue: make(chan struct{}, queueLength), work: 40 * time.Millisecond, listener: l, state: "ready", stopped: make(chan struct{}),
	}
	for i, z := range zones {
		if z == zone {
			t.home = f.controls[i]
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t, nil
}

// crash ends the target: it says nothing more, and its connections end.
func (t *target) crash() {
	close(t.stopped)
	_ = t.listener.Close()
}

// serve answers the requests of a connection, one at a time.
func (t *target) serve(c net.Conn) {
	defer c.Close()
	go func() {
		<-t.stopped
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !t.answer(c, r) {
			return
		}
	}
}

// answer answers one request. It reports false if the connection ends.
func (t *target) answer(c net.Conn, r *http.Request) bool {
	arrived := time.Now()
	id := r.Header.Get("X-Sequoialane-Attempt-Id")
	write := func(status int, fields, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Sequoialane-Attempt-Id: %s\r\nKeep-Alive: timeout=10\r\n%s\r\n%s",
			status, http.StatusText(status), len(body), id, fields, body)
		return err == nil
	}
	if r.URL.Path == "/health" {
		return write(200, "X-Sequoialane-Instance-Id: "+t.id+"\r\n", "")
	}
	if expect := r.Header.Get("X-Sequoialane-Expect-Instance"); expect != "" && expect != t.id {
		t.rec.add("target %s answers 421 to %s and doesn't run it", t.id, id)
		return write(421, "X-Sequoialane-Not-Executed: 1\r\n", "")
	}
	if why := t.takeSlot(r); why != "" {
		t.rec.add("target %s %s, answers 503 to %s and doesn't run it", t.id, why, id)
		return write(503, "X-Sequoialane-Not-Executed: 1\r\n", "")
	}
	defer func() { <-t.slots }()
	t.runs.add(run{id, r.Method, r.RequestURI, t.id, arrived})
	t.rec.add("target %s runs %s (%s %s)", t.id, id, r.Method, r.RequestURI)
	time.Sleep(t.work)
	signature := "X-Sequoialane-Response-Signature: " + t.id + "." + id + "\r\n"
	if t.ending(id) == losesIt {
		t.rec.add("target %s has run %s, its answer is lost (the connection is reset)", t.id, id)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	return write(200, signature, "done "+id)
}

// takeSlot waits for a slot until the deadline of the request. It returns why there is
// none; empty: there is one.
func (t *target) takeSlot(r *http.Request) string {
	select {
	case t.slots <- struct{}{}:
		return ""
	default:
	}
	select {
	case t.queue <- struct{}{}:
		defer func() { <-t.queue }()
	default:
		return "is full"
	}
	left, err := strconv.Atoi(r.Header.Get("X-Sequoialane-Deadline-Ms"))
	if err != nil {
		left = int(idleTimeout.Milliseconds())
	}
	select {
	case t.slots <- struct{}{}:
		return ""
	case <-time.After(time.Duration(left) * time.Millisecond):
		return "has the request in its queue at the deadline"
	}
}

// ending returns how the request with the id ends.
func (t *target) ending(id string) ending {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end == nil {
		return answers
	}
	return t.end(id)
}

// fail makes a share of the target's requests end in another way than with an answer,
// for a time.
func (t *target) fail(share float64, how ending, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	time.AfterFunc(length, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.end = nil
	})
	t.end = func(id string) ending {
		if hashShare(id+t.id) < share {
			return how
		}
		return answers
	}
}

// announce sends a heartbeat with the state, to its member first and then to the
// others. It reports whether one was acknowledged.
func (t *target) announce(state string) bool {
	t.mu.Lock()
	t.state = state
	t.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"max_concurrency":%d},"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`,
		t.address, t.born, t.service, t.zone, cap(t.slots), state, t.sequence)
	t.mu.Unlock()
	return t.tell("instances.heartbeat", body, "is "+state)
}

// leave says that the target has left.
func (t *target) leave() bool {
	return t.tell("instances.leave", `{"born":`+strconv.FormatInt(t.born, 10)+`}`, "leaves")
}

func (t *target) tell(call, body, what string) bool {
	members := append([]*process{t.home}, t.fleet.controls...)
	for _, m := range members {
		status, _, err := t.fleet.call(m, "call="+call+"&of="+t.id, []byte(body))
		if err == nil && status/100 == 2 {
			t.rec.add("target %s (born %d) %s: acknowledged by %s", t.id, t.born, what, m.name)
			return true
		}
	}
	t.rec.add("target %s (born %d) %s: not acknowledged", t.id, t.born, what)
	return false
}

// beat sends heartbeats until the target stops.
func (t *target) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-t.stopped:
			return
		case <-tick.C:
			t.mu.Lock()
			state := t.state
			t.mu.Unlock()
			t.announce(state)
		}
	}
}
