package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id, method, uri string
	status          int // 0: none
	signature, body string
	header          http.Header
	sent, ended     time.Time
	err             error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends one client attempt on a new connection and waits for its answer.
func send(rec *record, address, host, method, uri, body string, deadline time.Duration) answer {
	a := answer{id: newID(), method: method, uri: uri, sent: time.Now()}
	rec.add("client sends %s (%s %s) to %s", a.id, method, uri, address)
	a.status, a.signature, a.body, a.header, a.err = exchange(a, address, host, body, deadline)
	a.ended = time.Now()
	if a.err != nil {
		rec.add("client gets no answer to %s: %v", a.id, a.err)
	} else {
		rec.add("client gets %d for %s, signature %q", a.status, a.id, a.signature)
	}
	return a
}

func exchange(a answer, address, host, body string, deadline time.Duration) (int, string, string, http.Header, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", "", nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: %d\r\n", a.method, a.uri, host, a.id, deadline.Milliseconds())
	if body != "" || a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return 0, "", "", nil, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		return 0, "", "", nil, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header.Get("X-Sequoialane-Response-Signature"), string(text), r.Header, err
}
