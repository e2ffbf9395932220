package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	probePath        = "/probe"
	headerRequestID  = "X-Request-Id"
	headerKey        = "Idempotency-Key"
	headerDigest     = "X-Body-Digest"
	headerLeaving    = "Server-Leaving"
	queueFactor      = 2           // maximum requests in flight, as a multiple of the slots
	doubledOpenTime  = time.Second // a connection stays open this long after a doubled response
	maxResponseBytes = 8 << 20     // limit of the size query parameter
)

// target handles requests and fails according to its mode.
type target struct {
	slots       chan struct{}
	serviceTime time.Duration

	mu       sync.Mutex
	rng      *rand.Rand
	mode     mode
	since    time.Time
	changed  chan struct{} // closed when the mode changes
	inFlight int
	lastID   string
	stats    stats
	runsLog  io.Writer // receives the idempotency key of each run; may be nil
}

func newTarget(slots int, serviceTime time.Duration, seed uint64) *target {
	return &target{
		slots:       make(chan struct{}, slots),
		serviceTime: serviceTime,
		rng:         rand.New(rand.NewPCG(seed, 7)),
		mode:        defaultMode(),
		since:       time.Now(),
		changed:     make(chan struct{}),
		stats:       stats{Runs: map[string]int{}},
	}
}

func (t *target) setMode(m mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
	t.since = time.Now()
	close(t.changed)
	t.changed = make(chan struct{})
}

// resetMode sets the normal mode, so that requests held by the current mode end.
func (t *target) resetMode() { t.setMode(defaultMode()) }

// modeForRequest returns the mode for one request: the mode in force, or normal
// for requests outside its share. The channel is closed when the mode changes.
func (t *target) modeForRequest() (mode, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mode.resolve(t.since, time.Now())
	if t.rng.Float64() >= m.Share {
		m.Mode = modeNormal
	}
	return m, t.changed
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m, changed := t.modeForRequest()
	if m.Mode == modeFrozen {
		waitForModeChange(r.Context(), changed)
	}
	if r.URL.Path == probePath {
		t.serveProbe(w, r, m, changed)
		return
	}
	if m.Mode == modePostponing {
		w.Header().Set("Retry-After", strconv.FormatFloat(m.Period.Std().Seconds(), 'f', -1, 64))
	}
	if m.Mode == modeShed || m.Mode == modePostponing || !t.admit() {
		t.reject(w, r)
		return
	}
	defer t.finish()
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	if m.Mode == modeSilent {
		waitForModeChange(r.Context(), changed)
		panic(http.ErrAbortHandler)
	}
	t.countRun(r.Header.Get(headerKey))
	if !t.simulateWork(r.Context(), t.workTime(r, m)) {
		return
	}
	t.respond(w, r, m, hex.EncodeToString(digest.Sum(nil)))
}

func waitForModeChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

func (t *target) serveProbe(w http.ResponseWriter, r *http.Request, m mode, changed <-chan struct{}) {
	t.mu.Lock()
	t.stats.Probes++
	t.mu.Unlock()
	switch m.Mode {
	case modeSilent:
		waitForModeChange(r.Context(), changed)
		panic(http.ErrAbortHandler)
	case modeErrors:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(http.StatusOK)
	}
}

// admit counts a request as in flight, or returns false at the limit.
func (t *target) admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= queueFactor*cap(t.slots) {
		return false
	}
	t.inFlight++
	t.stats.MaxInFlight = max(t.stats.MaxInFlight, t.inFlight)
	return true
}

func (t *target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// reject responds that the request was shed and not run.
func (t *target) reject(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.stats.Shed++
	t.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set("X-Shed", "1")
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// countRun counts and logs a run before its work starts, so that no run is lost if
// the process is killed.
func (t *target) countRun(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Requests++
	if key == "" {
		return
	}
	t.stats.Runs[key]++
	if t.runsLog == nil {
		return
	}
	if _, err := io.WriteString(t.runsLog, key+"\n"); err != nil {
		panic("upstream: run cannot be written to the runs file: " + err.Error())
	}
}

// workTime returns the service time of a request under mode m. The query
// parameter work, such as "200ms", overrides the default.
func (t *target) workTime(r *http.Request, m mode) time.Duration {
	d := t.serviceTime
	if requested, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		d = requested
	}
	if m.Mode == modeSlow {
		d = time.Duration(float64(d) * m.Factor)
	}
	return d
}

// simulateWork waits for d. It returns false if ctx ends first.
func (t *target) simulateWork(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *target) respond(w http.ResponseWriter, r *http.Request, m mode, digest string) {
	id := r.Header.Get(headerRequestID)
	status := http.StatusOK
	switch m.Mode {
	case modeErrors, modeMisleading:
		status = http.StatusInternalServerError
	case modeLeaving:
		w.Header().Set(headerLeaving, "1")
	case modeCrossed:
		id = t.swapRequestID(id)
	}
	body := responseBody(r, id, digest)
	h := w.Header()
	h.Set(headerRequestID, id)
	h.Set(headerDigest, digest)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	switch m.Mode {
	case modeTruncated:
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case modeDoubled:
		writeTwice(w, status, body)
	default:
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

// swapRequestID stores id and returns the id of the previous request, so that the
// response carries the wrong id. The first request keeps its id.
func (t *target) swapRequestID(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.lastID
	t.lastID = id
	if previous == "" {
		return id
	}
	return previous
}

// responseBody returns a line with the request id and digest, repeated up to the
// number of bytes in the query parameter size.
func responseBody(r *http.Request, id, digest string) []byte {
	line := fmt.Sprintf("id=%s digest=%s\n", id, digest)
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size <= len(line) || size > maxResponseBytes {
		return []byte(line)
	}
	body := make([]byte, 0, size)
	for len(body) < size {
		body = append(body, line[:min(len(line), size-len(body))]...)
	}
	return body
}

// writeTwice sends the same response twice on the connection.
func writeTwice(w http.ResponseWriter, status int, body []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection stays open for a while, so that the second response can be
	// mistaken for the response to the next request.
	time.AfterFunc(doubledOpenTime, func() { _ = conn.Close() })
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
		_ = w.Header().Write(buffer)
		_, _ = buffer.WriteString("\r\n")
		_, _ = buffer.Write(body)
	}
	_ = buffer.Flush()
}
