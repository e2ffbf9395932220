package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes   = 300_000 // the site's uploads have up to 360,000 bytes
	firstPart     = 16 << 10
	windowBytes   = 32 << 10                // receive buffer of a target's connection: links have small windows
	workOnFirst   = 1500 * time.Millisecond // the target works on the first part before it reads on
	uploads       = 2                       // as many as the slots of a target
	beforeSigterm = 300 * time.Millisecond
)

// zeros is a body of the given length.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left <= 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	clear(p[:n])
	z.left -= n
	return int(n), nil
}

// slowReader stops an entry with SIGTERM while targets work on uploads, which
// they read in two parts.
func slowReader(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b"} {
		f.addControl(zone, true)
	}
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addEntry(zone)
	}
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	routes := []route{{host: "surveys.example", name: "survey", kind: "upload", prefix: "/surveys/", service: "vistorias", objectiveMS: 800, timeoutMS: int(callerTimeout.Milliseconds()), attempts: 2, priority: 1}}
	if status, _ := f.put(1, configuration(1, routes, []string{"vistorias"}), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	work := &uploadWork{began: map[string]time.Time{}, ran: map[string]bool{}, closed: map[string]bool{}}
	for i, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		t := f.newTarget("i-sound-"+itoa(int64(i)), "vistorias", zone, 2, workOnFirst)
		t.handler, t.listen = t.readInParts(work), listenWithWindow
		if err := t.start(ctx); err != nil {
			return cannotRun, err
		}
	}
	sleep(ctx, 8*time.Second)
	c := newClients(f, "surveys.example")
	entry := f.entries[0]
	started := time.Now()
	for range uploads {
		c.wg.Go(func() { c.send(entry.zone, "POST", "/surveys/2f", &zeros{uploadBytes}, uploadBytes) })
	}
	sleep(ctx, beforeSigterm)
	stopped := time.Now()
	if trouble {
		entry.signal(syscall.SIGTERM)
	}
	c.wg.Wait()
	sleep(ctx, time.Until(started.Add(8*time.Second)))
	return work.judge(f, c, trouble, stopped), nil
}

// uploadWork collects what became of the uploads at the targets.
type uploadWork struct {
	mu     sync.Mutex
	began  map[string]time.Time // by id: when a target began to work on it
	ran    map[string]bool      // by id: run to the end
	closed map[string]bool      // by id: the connection was closed while the target was at work
}

// judge checks the rule: after a SIGTERM no request at which its target is at work
// is broken off with an answer of the system's own.
func (u *uploadWork) judge(f *fleet, c *clients, trouble bool, stopped time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	brokenOff := 0
	for _, o := range c.seen {
		own := o.status != 0 && !o.signed
		early := o.ended.Sub(o.at) < callerTimeout-time.Second // well before the deadline and the route's timeout
		atWork := u.closed[o.id] && u.began[o.id].Before(o.ended)
		if atWork && own && early && o.ended.After(stopped) {
			brokenOff++
		}
	}
	f.record.add("seen: %d uploads; %d run to the end; %d broken off while their target was at work, with an answer that is not the target's, after the time of the SIGTERM", len(c.seen), len(u.ran), brokenOff)
	if !trouble {
		f.record.add("no machine was stopped, so the rule does not apply")
		return held
	}
	if brokenOff > 0 {
		return broken
	}
	return held
}

// readInParts runs a request: it reads a part of the body, works on it, reads the
// rest and answers.
func (t *target) readInParts(u *uploadWork) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Sequoialane-Attempt-Id")
		t.stateHeaders(w.Header(), id)
		if !t.isMeant(w, r, id) {
			return
		}
		if !t.takeSlot(time.After(timeLeft(r))) {
			t.reject(w, id)
			return
		}
		defer t.freeSlot()
		t.fleet.record.add("target %s: begins to work on %s", t.id, id)
		u.mu.Lock()
		u.began[id] = time.Now()
		u.mu.Unlock()
		n, err := t.readBody(r.Body)
		u.mu.Lock()
		defer u.mu.Unlock()
		if err != nil {
			u.closed[id] = true
			t.fleet.record.add("target %s: after %d bytes of %s the connection is closed: %v", t.id, n, id, err)
			return
		}
		u.ran[id] = true
		t.fleet.record.add("target %s: has run %s (%d bytes)", t.id, id, n)
		t.answer(w, id)
	})
}

// readBody reads the first part, works on it and reads the rest.
func (t *target) readBody(body io.Reader) (int64, error) {
	n, err := io.CopyN(io.Discard, body, firstPart)
	if err != nil {
		return n, err
	}
	time.Sleep(t.work)
	rest, err := io.Copy(io.Discard, body)
	return n + rest, err
}

// listenWithWindow returns a listener whose connections have a small window.
func listenWithWindow(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		}); err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", address)
}
