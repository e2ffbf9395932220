package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
)

// refusingAddress returns an address that refuses connections. The port stays
// bound, so that no other test can use it.
func refusingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// silentAddress returns an address that accepts connections but never responds.
func silentAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	return l.Addr().String()
}

// Guards against a resend running a completed request again.
func TestResendReplaysTheAnswer(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}}
	key := newKey(0)
	assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(key))))
	assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(strings.ToUpper(key)))))
	assert.Equal(t, 1, u.runsOf(key))
}

// Guards against one key being claimed for two requests with different content.
func TestOtherContentIsAConflict(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}}
	first := post(newKey(0))
	bodyOf(t, f.Run(context.Background(), s, first))
	second := post(first.Key)
	second.URL.RawQuery = "a=2"
	result := f.Run(context.Background(), s, second)
	require.NotNil(t, result.Err)
	assert.Equal(t, fault.KeyConflict, result.Err.Kind)
	assert.Equal(t, 1, u.runsOf(first.Key))
}

// Guards against losing a request or its claim when a target refuses the
// connection.
func TestRefusedConnectionGoesToAnotherTarget(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{refusingAddress(t), u.address()}, retries: 1}
	key := newKey(0)
	assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(key))))
	assert.Equal(t, 1, u.runsOf(key))
}

// Guards against a not-run rejection that leaves the key claimed, and against one
// without ClaimChecked.
func TestNotRunReleasesKey(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	key := newKey(0)
	result := f.Run(context.Background(), &fakeScheduler{targets: []string{refusingAddress(t)}}, post(key))
	require.NotNil(t, result.Err)
	assert.Equal(t, fault.NotRun, result.Err.Effect)
	assert.True(t, result.ClaimChecked)
	overloaded := fault.New(fault.Overloaded, "full")
	result = f.Run(context.Background(), &fakeScheduler{rejection: overloaded}, post(key))
	assert.Equal(t, fault.Overloaded, result.Err.Kind)
	assert.Equal(t, fault.NotRun, result.Err.Effect)
	s := &fakeScheduler{targets: []string{u.address()}}
	assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(key))))
	assert.Equal(t, 1, u.runsOf(key))
}

// Guards against a second send after a byte was sent and no complete response
// arrived.
func TestIncompleteAnswerStaysUnknown(t *testing.T) {
	cases := []struct {
		desc  string
		serve func(w http.ResponseWriter)
	}{
		{"closed before the response", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }},
		{"closed after the first bytes", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "do")
			panic(http.ErrAbortHandler)
		}},
		{"response to another request", func(w http.ResponseWriter) { w.Header().Set("X-Request-Id", "other") }},
		{"response without an id", func(w http.ResponseWriter) { w.Header().Del("X-Request-Id") }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			var u *fakeUpstream
			u = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				u.count(r)
				tc.serve(w)
			})
			f := newFixture(t, newMemory(), "a/1")
			s := &fakeScheduler{targets: []string{u.address()}, retries: 5}
			key := newKey(0)
			for range 3 {
				result := f.Run(context.Background(), s, post(key))
				require.NotNil(t, result.Err)
				assert.Equal(t, fault.OutcomeUnknown, result.Err.Kind)
			}
			assert.Equal(t, 1, u.runsOf(key))
		})
	}
}

// Guards against losing a late response after the caller has disconnected.
func TestLateAnswerReachesAResend(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	var u *fakeUpstream
	u = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		u.count(r)
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "late")
	})
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}}
	key := newKey(0)
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan Result, 1)
	go func() { first <- f.Run(ctx, s, post(key)) }()
	<-arrived
	leave()
	assert.Equal(t, fault.Unknown, (<-first).Err.Effect)
	resend := make(chan Result, 1)
	go func() { resend <- f.Run(context.Background(), s, post(key)) }()
	close(release)
	assert.Equal(t, "late", bodyOf(t, <-resend))
	assert.Equal(t, 1, u.runsOf(key))
}

// Guards against two owners both sending the same request.
func TestResendsThroughTwoDispatchers(t *testing.T) {
	u := newUpstream(t, nil)
	memory := newMemory()
	a, b := newFixture(t, memory, "a/1"), newFixture(t, memory, "b/1")
	key := newKey(0)
	results := make(chan Result, 20)
	for i := range 20 {
		d := []*fixture{a, b}[i%2]
		go func() {
			results <- d.Run(context.Background(), &fakeScheduler{targets: []string{u.address()}}, post(key))
		}()
	}
	for range 20 {
		assert.Equal(t, "done", bodyOf(t, <-results))
	}
	assert.Equal(t, 1, u.runsOf(key))
}

// Guards against a resend that runs or gets a not-run rejection while the
// holder of the claim is running or dead, or the claims are unavailable.
func TestResendWhileOutcomeIsUnknown(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "b/1")
	s := &fakeScheduler{targets: []string{u.address()}}
	r := post(newKey(0))
	held := r.claimRequest(requestDigest(r, []byte("fell oak 7")), "attempt-x", "a/1")
	_, err := f.claims.Claim(context.Background(), held)
	require.NoError(t, err)

	shortDeadline := post(r.Key)
	shortDeadline.Deadline = time.Now().Add(50 * time.Millisecond)
	assert.Equal(t, fault.StillRunning, f.Run(context.Background(), s, shortDeadline).Err.Kind)

	f.claims.SetOffline(true)
	result := f.Run(context.Background(), s, post(r.Key))
	assert.Equal(t, fault.ClaimsUnavailable, result.Err.Kind)
	assert.Equal(t, fault.Unknown, result.Err.Effect)
	f.claims.SetOffline(false)

	f.dead.Store("a/1", true)
	assert.Equal(t, fault.OutcomeUnknown, f.Run(context.Background(), s, post(r.Key)).Err.Kind)
	assert.Equal(t, 0, u.runsOf(r.Key))

	require.NoError(t, f.claims.Complete(context.Background(), held, claims.Answer{Status: 200, Body: []byte("late")}))
	assert.Equal(t, "late", bodyOf(t, f.Run(context.Background(), s, post(r.Key))))
}

// Guards against rejections of keys that state not-run although the request may
// have run.
func TestRejectedKeys(t *testing.T) {
	cases := []struct {
		desc   string
		key    string
		kind   fault.Kind
		effect fault.Effect
	}{
		{"none", "", fault.KeyRequired, fault.NotRun},
		{"malformed", "42", fault.KeyInvalid, fault.NotRun},
		{"version 4", "1b4e28ba-2fa1-41d2-883f-0016d3cca427", fault.KeyInvalid, fault.NotRun},
		{"older than the retention time", newKey(2 * time.Hour), fault.KeyExpired, fault.Unknown},
		{"from the future", newKey(-time.Minute), fault.KeyInvalid, fault.Unknown},
	}
	f := newFixture(t, newMemory(), "a/1")
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			result := f.Run(context.Background(), &fakeScheduler{}, post(tc.key))
			require.NotNil(t, result.Err)
			assert.Equal(t, tc.kind, result.Err.Kind)
			assert.Equal(t, tc.effect, result.Err.Effect)
			assert.False(t, result.ClaimChecked)
		})
	}
}

// Guards against sending a request after its caller got a not-run rejection.
func TestRequestTimedOutInQueueIsNotSent(t *testing.T) {
	u := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	s := &fakeScheduler{targets: []string{u.address()}, hold: make(chan struct{})}
	r := post(newKey(0))
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	result := f.Run(context.Background(), s, r)
	assert.Equal(t, fault.NotRun, result.Err.Effect)
	close(s.hold)
	assert.Equal(t, 0, u.runsOf(r.Key))
}

// Guards against treating a shed response as not run although the target does not
// state it, and against a missing retry if it does.
func TestShedAnswers(t *testing.T) {
	shed := func(notRun bool) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			if notRun {
				w.Header().Set("X-Not-Run", "1")
			}
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	notRun := newUpstream(t, shed(true))
	effectUnknown := newUpstream(t, shed(false))
	good := newUpstream(t, nil)
	f := newFixture(t, newMemory(), "a/1")
	key := newKey(0)
	s := &fakeScheduler{targets: []string{notRun.address(), good.address()}, retries: 3}
	assert.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(key))))
	assert.Equal(t, 1, good.runsOf(key))

	key = newKey(0)
	s = &fakeScheduler{targets: []string{effectUnknown.address(), good.address()}, retries: 3}
	for range 2 {
		result := f.Run(context.Background(), s, post(key))
		require.Nil(t, result.Err)
		assert.Equal(t, http.StatusServiceUnavailable, result.Response.StatusCode)
	}
	assert.Equal(t, 0, good.runsOf(key))
	assert.Equal(t, owner.Shed, s.done[0].Kind)
}

// Guards against a call to a silent target that never ends, or ends as not-run.
func TestSilentTargetEndsAsUnknown(t *testing.T) {
	f := newFixture(t, newMemory(), "a/1")
	f.cfg.CallLimit = 100 * time.Millisecond
	s := &fakeScheduler{targets: []string{silentAddress(t)}, retries: 3}
	key := newKey(0)
	shortDeadline := post(key)
	shortDeadline.Deadline = time.Now().Add(30 * time.Millisecond)
	result := f.Run(context.Background(), s, shortDeadline)
	assert.Equal(t, fault.DeadlineExceeded, result.Err.Kind)
	assert.Equal(t, fault.Unknown, result.Err.Effect)
	result = f.Run(context.Background(), s, post(key))
	assert.Equal(t, fault.OutcomeUnknown, result.Err.Kind)
	assert.Len(t, s.done, 1)
}

// Guards against a scheduler bug leading to a second send or to a false not-run
// rejection. The program must panic instead.
func TestSecondSendAndFalseNotRunPanic(t *testing.T) {
	f := newFixture(t, newMemory(), "a/1")
	c := &keyedCall{dispatcher: f.Dispatcher, mayHaveRun: true}
	assert.Panics(t, func() { c.send(context.Background(), owner.Grant{}) })
	assert.Panics(t, func() { c.notRunResult(fault.New(fault.Overloaded, "full")) })
}
