package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

const (
	maxLatencyUS    = 60_000_000
	histogramDigits = 3 // significant digits
	postBody        = `{"tree":"quercus suber","grove":"12"}`
)

// caller sends requests over keep-alive connections and counts failures.
type caller struct {
	client *http.Client
	token  string
	failed atomic.Int64
}

func newCaller(token string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * busyWorkers, DisableCompression: true}
	return &caller{client: &http.Client{Transport: transport, Timeout: 10 * time.Second}, token: token}
}

func (c *caller) errors() int { return int(c.failed.Load()) }

func (c *caller) get(ctx context.Context, url string) (time.Duration, bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	return c.send(r)
}

func (c *caller) post(ctx context.Context, url string) (time.Duration, bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(postBody))
	if err != nil {
		panic(err)
	}
	key, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	r.Header.Set("Idempotency-Key", key.String())
	return c.send(r)
}

// send returns the time until the last byte of the response, and false if the
// request failed or its status is not 200.
func (c *caller) send(r *http.Request) (time.Duration, bool) {
	r.Header.Set("Authorization", "Bearer "+c.token)
	started := time.Now()
	response, err := c.client.Do(r)
	if err != nil {
		c.failed.Add(1)
		return 0, false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return 0, false
	}
	return time.Since(started), true
}

// closedLoop keeps one request per worker in flight for d and returns the number
// of successful ones.
func (c *caller) closedLoop(ctx context.Context, url string, workers int, d time.Duration) int {
	var succeeded atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for range workers {
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				if _, ok := c.get(ctx, url); ok {
					succeeded.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(succeeded.Load())
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}
