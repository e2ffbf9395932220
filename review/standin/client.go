package main

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	connectTime   = time.Second     // time that a client allows a new connection
	callerTimeout = 5 * time.Second // deadline of the consents and uploads of the site
)

// outcome is what a client saw of one request.
type outcome struct {
	id        string
	at, ended time.Time
	status    int  // 0: the connection ended without an answer
	signed    bool // the answer bears the signature of a target
	served    bool
	err       string
}

// clients sends the requests of one host and collects what the clients saw. The
// clients of this deployment do not retry (the site's "client's retries" are 0).
type clients struct {
	fleet *fleet
	host  string
	http  *http.Client
	wg    sync.WaitGroup

	mu       sync.Mutex
	seen     []outcome
	resolved map[string]resolution // by zone
}

// resolution is a response of the directory.
type resolution struct {
	addresses []string
	until     time.Time
}

func newClients(f *fleet, host string) *clients {
	dialer := net.Dialer{Timeout: connectTime}
	return &clients{fleet: f, host: host, resolved: map[string]resolution{}, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 50, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

func attemptID() string {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

// address returns an address that the directory names for clients of the zone.
// It keeps a response for its time, and longer if it obtains no new one.
func (c *clients) address(zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.resolved[zone]
	if time.Now().After(r.until) {
		for _, m := range c.nearestEntries(zone) {
			if found, ok := c.resolve(m, zone); ok {
				r = found
				c.resolved[zone] = r
				break
			}
		}
	}
	if len(r.addresses) == 0 {
		return ""
	}
	return r.addresses[rand.IntN(len(r.addresses))]
}

// nearestEntries returns up to three entries, those of the zone first.
func (c *clients) nearestEntries(zone string) []*machine {
	var near, far []*machine
	for _, m := range c.fleet.entries {
		if m.zone == zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	all := append(near, far...)
	return all[:min(3, len(all))]
}

// resolve asks an entry where to connect.
func (c *clients) resolve(at *machine, zone string) (resolution, bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + at.address(c.fleet.ports.directory) + "/resolve?name=" + c.host + "&region=" + zones[zone] + "&zone=" + zone)
	if err != nil {
		return resolution{}, false
	}
	defer response.Body.Close()
	var r struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&r) != nil || len(r.Addresses) == 0 {
		return resolution{}, false
	}
	return resolution{r.Addresses, time.Now().Add(time.Duration(min(r.TTL, maxTTL) * float64(time.Second)))}, true
}

// send sends one request of a client in the zone.
func (c *clients) send(zone, method, path string, body io.Reader, length int64) outcome {
	address := c.address(zone)
	o := outcome{id: attemptID(), at: time.Now()}
	c.exchange(&o, method, address, path, body, length)
	o.ended = time.Now()
	c.fleet.record.add("client in %s: %s %s%s %s at %s, sent %v ago: status %d, served %v %s",
		zone, method, c.host, path, o.id, address, o.ended.Sub(o.at).Round(time.Millisecond), o.status, o.served, o.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, o)
	return o
}

func (c *clients) exchange(o *outcome, method, address, path string, body io.Reader, length int64) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		o.err = err.Error()
		return
	}
	r.Host = c.host
	r.ContentLength = length
	r.Header.Set("X-Sequoialane-Attempt-Id", o.id)
	r.Header.Set("X-Sequoialane-Deadline-Ms", itoa(callerTimeout.Milliseconds()))
	response, err := c.http.Do(r)
	if err != nil {
		o.err = err.Error()
		return
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		o.err = err.Error()
		return
	}
	o.status = response.StatusCode
	o.signed = response.Header.Get("X-Sequoialane-Response-Signature") != ""
	o.served = o.status/100 == 2 && o.signed
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

// keepSending sends requests of a route from the zones of the entries in turn, at
// random times with the mean rate, until ctx is done.
func (c *clients) keepSending(ctx context.Context, perSecond float64, path string) {
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
		zone := c.fleet.entries[i%len(c.fleet.entries)].zone
		c.wg.Go(func() { c.send(zone, "POST", path, nil, 0) })
	}
}
