package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// lateReader sends an upload of less than 16 KiB to a target that has a small receive
// buffer, works on the request at once and reads the rest of the body after that. The
// entry gets a SIGTERM meanwhile. Case 4 does the same with longer bodies.
func lateReader(rec *record, trouble bool) int {
	const (
		service, host = "cargas", "hulo84.example"
		request       = "5b1c07ce21a34d68"
		length        = 16000
		receive       = 8 << 10
		work          = 1500 * time.Millisecond
		termAfter     = 300 * time.Millisecond
	)
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(2)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", ip(100)+":0")
	if err != nil {
		cannotRun(err)
	}
	t := &target{
		rec: rec, id: "i-7f3a0000", service: service, address: l.Addr().String(), born: time.Now().UnixMilli(),
		nodes: f.controlAddresses(), listener: l, stopped: make(chan struct{}),
	}
	defer t.stop()
	var cut atomic.Bool
	go t.beat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
				if err != nil {
					return
				}
				rec.add("target: runs %s, body of %d bytes, and reads it later", r.Header.Get("X-Sequoialane-Attempt-Id"), r.ContentLength)
				time.Sleep(work)
				n, err := io.Copy(io.Discard, r.Body)
				cut.Store(err != nil)
				rec.add("target: has read %d bytes of the body, error %v", n, err)
				ok := write(c, 200, map[string]string{"X-Sequoialane-Attempt-Id": request, "X-Sequoialane-Response-Signature": "3e1b.07." + request}, "done\n")
				rec.add("target: answer written: %v", ok)
			}()
		}
	}()
	put := configuration(7, []string{service}, []route{{host: host, prefix: "/xapu221/", kind: "upload", service: service, timeoutMS: 5000, aimMS: 2500, maxAttempt: 2}})
	if status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second)); status != 200 {
		cannotRun(fmt.Errorf("config.put: %d %q %v", status, text, err))
	}
	time.Sleep(8 * time.Second)
	addresses, err := resolve([]string{fronts[0].address(f.ports.directory)}, host, 0, time.Now().Add(10*time.Second))
	if err != nil {
		cannotRun(err)
	}
	answered := make(chan answer, 1)
	go func() {
		answered <- send(addresses[0], 5*time.Second, piece{bytes: []byte(fmt.Sprintf(
			"POST /xapu221/2f HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
			host, request, length, strings.Repeat("p", length)))})
	}()
	time.Sleep(termAfter)
	if trouble {
		for _, m := range fronts {
			if m.address(f.ports.front) == addresses[0] {
				m.signal(syscall.SIGTERM)
			}
		}
	}
	a := <-answered
	rec.add("client: upload %s: %v", request, a)
	time.Sleep(work)
	if trouble && cut.Load() && a.signature == "" {
		return broken
	}
	return held // without a SIGTERM the rule doesn't judge it
}
