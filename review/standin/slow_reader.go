package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	uploadBytes   = 300_000 // the site's uploads have up to 360,000 bytes
	firstPart     = 16 << 10
	windowBytes   = 32 << 10                // receive buffer of a target's connection: links have small windows
	workOnFirst   = 1500 * time.Millisecond // the target works on the first part before it reads on
	uploadTime    = 5 * time.Second         // deadline and timeout of the uploads
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
	routes := []route{{host: "surveys.example", name: "survey", kind: "upload", prefix: "/surveys/", service: "vistorias", objectiveMS: 800, timeoutMS: int(uploadTime.Milliseconds()), attempts: 2, priority: 1}}
	if status, _ := f.put(1, configuration(1, routes, []string{"vistorias"}), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	var broke, ran atomic.Int64
	for i, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		t := &target{id: "i-sound-" + itoa(int64(i)), service: "vistorias", zone: zone, slots: 2, fleet: f, born: time.Now().UnixMilli(), address: f.newIP() + ":8080"}
		l, err := listenWithWindow(t.address)
		if err != nil {
			return cannotRun, err
		}
		go func() { _ = http.Serve(l, t.readInParts(&broke, &ran)) }()
		go t.beat(ctx)
	}
	sleep(ctx, 8*time.Second)
	c := newClients(f)
	entry := f.entries[0]
	var sending sync.WaitGroup
	lost := int64(0)
	sent := time.Now()
	for range 3 {
		sending.Go(func() {
			o := c.send("POST", entry.address(f.ports.front), "surveys.example", "/surveys/2f", &zeros{uploadBytes}, uploadBytes, uploadTime)
			f.record.add("client: status %d, served %v, after %v %s", o.status, o.served, o.took.Round(time.Millisecond), o.err)
			if !o.served {
				atomic.AddInt64(&lost, 1)
			}
		})
	}
	sleep(ctx, beforeSigterm)
	if trouble {
		entry.signal(syscall.SIGTERM)
	}
	sending.Wait()
	sleep(ctx, sent.Add(8*time.Second).Sub(time.Now()))
	f.record.add("seen: of 3 uploads %d were not served; targets ran %d to the end, and found the connection of %d closed while they worked on it", lost, ran.Load(), broke.Load())
	if !trouble {
		f.record.add("no machine was stopped, so the rule does not apply")
		return held, nil
	}
	if lost > 0 && broke.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// readInParts runs a request: it reads a part of the body, works on it, reads the
// rest and answers.
func (t *target) readInParts(broke, ran *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Sequoialane-Attempt-Id")
		t.fleet.record.add("target %s: begins to work on %s", t.id, id)
		n, err := io.CopyN(io.Discard, r.Body, firstPart)
		if err == nil {
			time.Sleep(workOnFirst)
			var m int64
			m, err = io.Copy(io.Discard, r.Body)
			n += m
		}
		if err != nil {
			broke.Add(1)
			t.fleet.record.add("target %s: after %d bytes of %s the connection is closed: %v", t.id, n, id, err)
			return
		}
		ran.Add(1)
		t.fleet.record.add("target %s: has run %s (%d bytes)", t.id, id, n)
		body := t.id + " ran " + id
		w.Header().Set("X-Sequoialane-Attempt-Id", id)
		w.Header().Set("X-Sequoialane-Response-Signature", itoa(int64(len(body)))+"."+t.id)
		_, _ = io.WriteString(w, body)
	})
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
