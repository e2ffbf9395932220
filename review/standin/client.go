package main

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	at     time.Time
	took   time.Duration
	status int // 0: the connection ended without an answer
	served bool
	err    string
}

// clients sends requests and collects what they saw.
type clients struct {
	fleet *fleet
	http  *http.Client
	mu    sync.Mutex
	seen  []outcome
	wg    sync.WaitGroup
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 10 * time.Second}}}
}

func attemptID() string {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

// resolve asks an entry where to connect; no addresses mean a failure.
func (c *clients) resolve(at *machine, name, zone string) []string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + at.address(c.fleet.ports.directory) + "/resolve?name=" + name + "&region=" + zones[zone] + "&zone=" + zone)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var r struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&r) != nil {
		return nil
	}
	return r.Addresses
}

// send sends one request to the address.
func (c *clients) send(method, address, host, path string, body io.Reader, length int64, deadline time.Duration) outcome {
	o := outcome{at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.ContentLength = length
	r.Header.Set("X-Sequoialane-Attempt-Id", attemptID())
	r.Header.Set("X-Sequoialane-Deadline-Ms", itoa(deadline.Milliseconds()))
	response, err := c.http.Do(r)
	if err != nil {
		o.err = err.Error()
	} else {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			o.err = err.Error()
		} else {
			o.status = response.StatusCode
			o.served = o.status/100 == 2 && response.Header.Get("X-Sequoialane-Response-Signature") != ""
		}
	}
	o.took = time.Since(o.at)
	c.mu.Lock()
	c.seen = append(c.seen, o)
	c.mu.Unlock()
	return o
}

// count returns the requests sent in the span and those that were served, and
// the statuses of all.
func (c *clients) count(from, to time.Time) (sent, served int, statuses map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses = map[int]int{}
	for _, o := range c.seen {
		if o.at.Before(from) || !o.at.Before(to) {
			continue
		}
		sent++
		statuses[o.status]++
		if o.served {
			served++
		}
	}
	return sent, served, statuses
}

// keepSending sends requests of a route, at random times with the mean rate,
// until ctx is done.
func (c *clients) keepSending(ctx context.Context, perSecond float64, host, path string) {
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
		entry := c.fleet.entries[i%len(c.fleet.entries)]
		c.wg.Go(func() {
			c.send("POST", entry.address(c.fleet.ports.front), host, path, nil, 0, 5*time.Second)
		})
	}
}
