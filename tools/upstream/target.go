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
	probePath       = "/probe"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerDigest    = "X-Body-Digest"
	queueFactor     = 2 // requests accepted at once, as a multiple of the slots
	doubledOpen     = time.Second
	maxAnswerBytes  = 8 << 20 // largest answer asked for by the size parameter
)

// target answers requests and fails as its mode says.
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
	runsLog  io.Writer // gets the key of each run; nil: none
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

// release lets requests that a mode holds back end.
func (t *target) release() { t.setMode(defaultMode()) }

// pick returns the mode for one request: the mode in force, or normal for
// requests outside its share.
func (t *target) pick() (mode, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mode.current(t.since, time.Now())
	if t.rng.Float64() >= m.Share {
		m.Mode = modeNormal
	}
	return m, t.changed
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m, changed := t.pick()
	if m.Mode == modeFrozen {
		hold(r.Context(), changed)
	}
	if r.URL.Path == probePath {
		t.serveProbe(w, r, m, changed)
		return
	}
	if m.Mode == modeShed || !t.enter() {
		t.shed(w, r)
		return
	}
	defer t.leave()
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
		hold(r.Context(), changed)
		panic(http.ErrAbortHandler)
	}
	t.countRun(r.Header.Get(headerKey))
	if !t.work(r.Context(), t.workTime(r, m)) {
		return
	}
	t.answer(w, r, m, hex.EncodeToString(digest.Sum(nil)))
}

func hold(ctx context.Context, changed <-chan struct{}) {
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
		hold(r.Context(), changed)
		panic(http.ErrAbortHandler)
	case modeErrors:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(http.StatusOK)
	}
}

func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= queueFactor*cap(t.slots) {
		return false
	}
	t.inFlight++
	t.stats.MaxInFlight = max(t.stats.MaxInFlight, t.inFlight)
	return true
}

func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *target) shed(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.stats.Shed++
	t.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set("X-Shed", "1")
	w.Header().Set("X-Not-Run", "1")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// countRun counts a run before its work starts. The log is written by then, so
// that a process that is killed loses no run.
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
		panic("upstream: run cannot be recorded: " + err.Error())
	}
}

// workTime is the service time of a request; the query parameter work, such
// as "200ms", replaces the default.
func (t *target) workTime(r *http.Request, m mode) time.Duration {
	d := t.serviceTime
	if asked, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		d = asked
	}
	if m.Mode == modeSlow {
		d = time.Duration(float64(d) * m.Factor)
	}
	return d
}

func (t *target) work(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *target) answer(w http.ResponseWriter, r *http.Request, m mode, digest string) {
	id := r.Header.Get(headerRequestID)
	status := http.StatusOK
	switch m.Mode {
	case modeErrors, modeMisleading:
		status = http.StatusInternalServerError
	case modeCrossed:
		id = t.swapID(id)
	}
	body := answerBody(r, id, digest)
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

// swapID returns the id of the request before, so that answers are crossed.
func (t *target) swapID(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.lastID
	t.lastID = id
	if before == "" {
		return id
	}
	return before
}

// answerBody repeats a line that names the request up to the number of bytes
// in the query parameter size.
func answerBody(r *http.Request, id, digest string) []byte {
	line := fmt.Sprintf("id=%s digest=%s\n", id, digest)
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size <= len(line) || size > maxAnswerBytes {
		return []byte(line)
	}
	body := make([]byte, 0, size)
	for len(body) < size {
		body = append(body, line[:min(len(line), size-len(body))]...)
	}
	return body
}

// writeTwice sends the same answer twice on the connection.
func writeTwice(w http.ResponseWriter, status int, body []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection stays open for a while, so that the second answer can be
	// taken for the answer to the next request.
	time.AfterFunc(doubledOpen, func() { _ = conn.Close() })
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
		_ = w.Header().Write(buffer)
		_, _ = buffer.WriteString("\r\n")
		_, _ = buffer.Write(body)
	}
	_ = buffer.Flush()
}
