package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// Guards against a truncated response, or the response to another request,
// reaching the caller.
func TestIdempotentRetry(t *testing.T) {
	var calls atomic.Int32
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) {
		case 1:
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
			panic(http.ErrAbortHandler)
		case 2:
			w.Header().Set("X-Request-Id", "other")
		default:
			_, _ = io.WriteString(w, "whole")
		}
	})
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}, retries: 3}
	assert.Equal(t, "whole", bodyOf(t, f.Run(context.Background(), s, get())))
}

// Guards against a silent target delaying a request although a slot on another
// target is free.
func TestHedge(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{silentAddress(t), u.address()}, hedges: 1}
	assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, get())))
	require.NoError(t, f.Drain(context.Background()))
	assert.Empty(t, s.open, "every grant must be released")
}

// Guards against a request waiting for a silent target until its deadline because
// its hedge failed or no slot was free when the hedge was due.
func TestHedgeIsRepeated(t *testing.T) {
	broken := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
		panic(http.ErrAbortHandler)
	})
	u := newUpstream(t, nil)
	for desc, s := range map[string]*fakeScheduler{
		"failed hedge": {targets: []string{silentAddress(t), broken.address(), u.address()}, hedges: 2},
		"no free slot": {targets: []string{silentAddress(t), u.address()}, hedges: 1, refusedHedges: 2},
	} {
		t.Run(desc, func(t *testing.T) {
			f := newFixture(t, newMemory(), "a/1")
			r := get()
			r.Deadline = time.Now().Add(5 * time.Second)
			assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, r)))
			require.NoError(t, f.Drain(context.Background()))
			assert.Empty(t, s.open, "every grant must be released")
		})
	}
}

// Guards against a retry of a streamed upload that lacks the part already read.
func TestStreamedBodyIsNotReplayed(t *testing.T) {
	var calls atomic.Int32
	u := newUpstream(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}, retries: 3}
	r := get()
	r.Method = http.MethodPut
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", MaxReplayedBody+1)))
	r.ContentLength = -1
	result := f.Run(context.Background(), s, r)
	assert.Equal(t, fault.UpstreamFailed, result.Err.Kind)
	assert.Equal(t, fault.Unknown, result.Err.Effect)
	assert.EqualValues(t, 1, calls.Load())
}

// Guards against a streamed response that is truncated, or whose slot is never
// released.
func TestStreamedAnswer(t *testing.T) {
	long := strings.Repeat("y", 300<<10)
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}}
	assert.Equal(t, long, bodyOf(t, f.Run(context.Background(), s, get())))
	require.NoError(t, f.Drain(context.Background()))
	assert.Empty(t, s.open)
}

// Guards against a deadline error that states not-run although a byte was sent,
// and against a deadline that is not enforced.
func TestIdempotentDeadline(t *testing.T) {
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{silentAddress(t)}}
	r := get()
	r.Deadline = time.Now().Add(60 * time.Millisecond)
	result := f.Run(context.Background(), s, r)
	assert.Equal(t, fault.DeadlineExceeded, result.Err.Kind)
	assert.Equal(t, fault.Unknown, result.Err.Effect)
}
