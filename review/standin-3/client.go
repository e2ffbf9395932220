package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// resolve asks the nodes that serve the directory where to connect.
func resolve(nodes []string, host string, zone int, until time.Time) ([]string, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {host}, "region": {zones[zone].region}, "zone": {zones[zone].name}}
	last := fmt.Errorf("no time")
	for n := 0; time.Now().Before(until); n++ {
		addresses, err := resolveAt(client, nodes[n%len(nodes)], query)
		if err == nil {
			return addresses, nil
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return nil, last
}

func resolveAt(client *http.Client, node string, query url.Values) ([]string, error) {
	response, err := client.Get("http://" + node + "/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct{ Addresses []string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	if len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("status %d without addresses", response.StatusCode)
	}
	return answer.Addresses, nil
}

// piece of a request that is sent after a pause.
type piece struct {
	after time.Duration
	bytes []byte
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	err       error
	sent      time.Time // when the last byte of the request was sent
	ended     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, body %.60q", a.status, a.signature, a.body)
}

// send sends a request in pieces on a new connection and reads the answer, for at most
// the deadline.
func send(address string, deadline time.Duration, pieces ...piece) answer {
	until := time.Now().Add(deadline)
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err, ended: time.Now()}
	}
	defer c.Close()
	_ = c.SetDeadline(until)
	var a answer
	for _, p := range pieces {
		time.Sleep(p.after)
		if _, err := c.Write(p.bytes); err != nil {
			return answer{err: err, ended: time.Now()}
		}
		a.sent = time.Now()
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.signature = response.StatusCode, response.Header.Get("X-Sequoialane-Response-Signature")
	a.body, a.err, a.ended = string(body), err, time.Now()
	return a
}
