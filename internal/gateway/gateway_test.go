package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetadvice"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

var names = targetconn.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", TargetID: "X-Instance", NotRun: "X-Not-Run", Signature: "X-Mark",
}

const targets = 6

// fakeFleet is a Broker and a Sender. It grants the untried targets in order and
// returns scripted outcomes.
type fakeFleet struct {
	mu         sync.Mutex
	outcome    func(n int) targetconn.Result // outcome of the n-th attempt
	sent       []string                      // ids of the targets that a request was sent to
	header     http.Header                   // header of the last request sent
	left       time.Duration                 // time left of the last request sent
	ran        int                           // attempts that the target may have run
	released   int
	acquireErr error
	gone       map[string]bool // targets that are missing in the entry's copy of the state
}

func (f *fakeFleet) Acquire(_ context.Context, _ string, r pool.Request, _ time.Duration) (*grants.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acquireErr != nil {
		return nil, f.acquireErr
	}
	for n := range targets {
		id := fmt.Sprint("t", n)
		tried := false
		for _, t := range r.Tried {
			tried = tried || t == id
		}
		if !tried {
			g := pool.Grant{Target: id, Address: "10.0.0.1:80", HedgeDelay: time.Hour}
			return grants.NewLease(g, "owner", func(pool.Outcome) { f.mu.Lock(); f.released++; f.mu.Unlock() }), nil
		}
	}
	return nil, pool.ErrNoTarget
}

func (f *fakeFleet) releasedLeases() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.released
}

func (f *fakeFleet) Send(_ context.Context, t targetconn.Target, r targetconn.Request) targetconn.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, t.ID)
	f.header = r.Header
	f.left = r.TimeLeft
	result := f.outcome(len(f.sent) - 1)
	if result.MayHaveRun {
		f.ran++
	}
	return result
}

func (f *fakeFleet) view() *fleetview.View {
	route := func(name string, kind routing.Kind, prefix string) routing.Route {
		return routing.Route{
			Name: name, Kind: kind, PathPrefix: prefix, Objective: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2,
			Destinations: []routing.Destination{{Service: "s", Weight: 1}},
		}
	}
	v := &fleetview.View{Routes: routing.NewTable(&routing.Document{
		Version: 3, Limits: routing.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000}, Services: []routing.Service{{Name: "s"}},
		Hosts: []routing.Host{{Name: "h", Routes: []routing.Route{
			route("reads", routing.Idempotent, "/reads/"), route("once", routing.Once, "/once/"), route("upload", routing.Upload, "/upload/"),
		}}},
	})}
	for n := range targets {
		id := fmt.Sprint("t", n)
		if !f.gone[id] {
			v.Targets = append(v.Targets, fleetstate.Target{ID: id, Service: "s", Address: "10.0.0.1:80", State: fleetstate.Ready})
		}
	}
	return v
}

func newGateway(f *fakeFleet) *Gateway {
	g := New(Options{
		Name: "e", DataCentre: "d", HeaderNames: names, View: f.view, Broker: f, Sender: f,
		Clock: sys.RealClock{}, Log: zap.NewNop(), BodyMemory: membudget.New(1 << 20),
	})
	g.spread = func(d time.Duration) time.Duration { return d }
	return g
}

func good() targetconn.Result {
	return targetconn.Result{Outcome: pool.OK, MayHaveRun: true, Response: &targetconn.Response{
		Status: 200, Header: http.Header{"X-Mark": {"m"}, "Connection": {"close"}}, Body: []byte("whole"), Length: 5,
	}}
}

func failed(status int) targetconn.Result {
	return targetconn.Result{Outcome: pool.Failed, MayHaveRun: true, Response: &targetconn.Response{Status: status, Header: http.Header{}, Body: []byte("bad")}}
}

func postponed(mayHaveRun bool) targetconn.Result {
	return targetconn.Result{Outcome: pool.Postponed, MayHaveRun: mayHaveRun, Response: &targetconn.Response{Status: 503, Header: http.Header{"Retry-After": {"3"}}}}
}

func reset() targetconn.Result {
	return targetconn.Result{Outcome: pool.Reset, MayHaveRun: true, Err: errors.New("reset")}
}

func shed() targetconn.Result {
	return targetconn.Result{Outcome: pool.Shed, Response: &targetconn.Response{Status: 503}}
}

// call sends a request over a real connection, since the gateway sets read
// deadlines on it.
func call(t *testing.T, g *Gateway, method, path, body string, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	server := httptest.NewServer(g)
	defer server.Close()
	r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := server.Client().Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	w := httptest.NewRecorder()
	w.Code = response.StatusCode
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	_, err = io.Copy(w.Body, response.Body)
	require.NoError(t, err)
	return w
}

// Guards against running a non-idempotent request twice, against reporting "not
// run" for a request that may have run, and against passing on a target's 503.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		desc    string
		path    string
		results []targetconn.Result
		status  int
		sent    int
	}{
		{"answered", "/once/1", []targetconn.Result{good()}, 200, 1},
		{"reset leaves the outcome unknown", "/once/1", []targetconn.Result{reset()}, 502, 1},
		{"upload is not retried", "/upload/1", []targetconn.Result{reset()}, 502, 1},
		{"shed goes to another target", "/once/1", []targetconn.Result{shed(), good()}, 200, 2},
		{"shed twice was not run", "/once/1", []targetconn.Result{shed(), shed()}, 503, 2},
		{"shed, then reset", "/once/1", []targetconn.Result{shed(), reset()}, 502, 2},
		{"failed connect does not count as an attempt", "/once/1", []targetconn.Result{{Outcome: pool.ConnectFailed}, {Outcome: pool.ConnectFailed}, good()}, 200, 3},
		{"failure of the target is passed on", "/once/1", []targetconn.Result{failed(500)}, 500, 1},
		{"503 without a not-run mark is not passed on", "/once/1", []targetconn.Result{failed(503)}, 502, 1},
		{"a target that wants no request now did not run it", "/once/1", []targetconn.Result{postponed(false), good()}, 200, 2},
		{"503 with Retry-After may have run", "/once/1", []targetconn.Result{postponed(true)}, 502, 1},
		{"read goes to another target after Retry-After", "/reads/1", []targetconn.Result{postponed(true), good()}, 200, 2},
		{"read is retried after a reset", "/reads/1", []targetconn.Result{reset(), good()}, 200, 2},
		{"read is retried after a failure", "/reads/1", []targetconn.Result{failed(500), good()}, 200, 2},
		{"read fails twice", "/reads/1", []targetconn.Result{failed(500), reset()}, 500, 2},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := &fakeFleet{outcome: func(n int) targetconn.Result { return tc.results[n] }}
			w := call(t, newGateway(f), http.MethodPost, tc.path, "body")
			assert.Equal(t, tc.status, w.Code)
			assert.Len(t, f.sent, tc.sent)
			if tc.status == 503 {
				assert.Contains(t, w.Header().Get("Retry-After"), "0.")
			}
		})
	}
}

// Guards, over random sequences of outcomes, against violations of the rules that
// TestOutcomes checks by example.
func TestRandomOutcomeSequences(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	all := []func() targetconn.Result{
		good, reset, shed,
		func() targetconn.Result { return failed(500) },
		func() targetconn.Result { return failed(503) },
		func() targetconn.Result { return targetconn.Result{Outcome: pool.ConnectFailed} },
		func() targetconn.Result {
			return targetconn.Result{Outcome: pool.InvalidResponse, MayHaveRun: true, Err: errors.New("broken")}
		},
		func() targetconn.Result {
			return targetconn.Result{Outcome: pool.Misdirected, Response: &targetconn.Response{Status: 421}}
		},
	}
	for n := range 1500 {
		f := &fakeFleet{outcome: func(int) targetconn.Result { return all[random.IntN(len(all))]() }}
		path := []string{"/once/1", "/upload/1", "/reads/1"}[n%3]
		w := call(t, newGateway(f), http.MethodPost, path, "body")
		if path != "/reads/1" {
			require.LessOrEqual(t, f.ran, 1, "run %d: the request may have run %d times", n, f.ran)
		}
		if w.Code == 503 || w.Code == 429 {
			require.Zero(t, f.ran, "run %d: status %d states that the request did not run", n, w.Code)
		}
		if w.Code == 200 {
			require.Equal(t, "whole", w.Body.String())
		}
		require.Equal(t, len(f.sent), f.released, "run %d: every grant is released", n)
	}
}

// Guards against sending to a target that this entry knows to be draining or gone
// while the owner has not learned of it yet.
func TestTargetMissingInOwnViewIsSkipped(t *testing.T) {
	f := &fakeFleet{gone: map[string]bool{"t0": true, "t1": true}, outcome: func(int) targetconn.Result { return good() }}
	w := call(t, newGateway(f), http.MethodPost, "/once/1", "")
	assert.Equal(t, 200, w.Code)
	assert.Equal(t, []string{"t2"}, f.sent)
}

func TestRejections(t *testing.T) {
	f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
	g := newGateway(f)
	cases := []struct {
		desc   string
		status int
		do     func() *httptest.ResponseRecorder
	}{
		{"no route", 404, func() *httptest.ResponseRecorder { return call(t, g, "GET", "/none/", "") }},
		{"header over the limit", 431, func() *httptest.ResponseRecorder {
			return call(t, g, "GET", "/reads/1", "", "X-Long", strings.Repeat("x", 2000))
		}},
		{"body over the limit", 413, func() *httptest.ResponseRecorder { return call(t, g, "POST", "/upload/1", strings.Repeat("x", 1001)) }},
		{"deadline that is not a number", 400, func() *httptest.ResponseRecorder { return call(t, g, "GET", "/reads/1", "", "X-Left", "soon") }},
		{"no time left", 504, func() *httptest.ResponseRecorder { return call(t, g, "GET", "/reads/1", "", "X-Left", "0") }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) { assert.Equal(t, tc.status, tc.do().Code) })
	}
	assert.Empty(t, f.sent)
	assert.Zero(t, g.options.BodyMemory.Used(), "body memory is released")
}

// Guards against a 404 from an entry that has no routing document yet.
func TestNoRoutingDocument(t *testing.T) {
	f := &fakeFleet{}
	g := New(Options{HeaderNames: names, View: func() *fleetview.View { return &fleetview.View{} }, Broker: f, Sender: f, Clock: sys.RealClock{}, Log: zap.NewNop()})
	assert.Equal(t, 503, call(t, g, "GET", "/reads/1", "").Code)
}

// Guards against forwarding hop-by-hop headers, forwarding the caller's deadline
// and instance headers, and granting a target more time than the caller has left.
func TestHeaders(t *testing.T) {
	f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
	w := call(t, newGateway(f), "POST", "/once/1", "b", "Connection", "X-Hop", "X-Hop", "1", "X-Left", "700", "X-Instance", "forged", "X-Kept", "yes")
	assert.Equal(t, "yes", f.header.Get("X-Kept"))
	for _, name := range []string{"X-Hop", "Connection", "X-Left", "X-Instance"} {
		assert.Empty(t, f.header.Get(name), name)
	}
	assert.LessOrEqual(t, f.left, 700*time.Millisecond)
	assert.Equal(t, "m", w.Header().Get("X-Mark"))
	assert.Empty(t, w.Header().Get("Connection"))
}

// brokenBody is a response body whose reads fail.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("cut") }
func (brokenBody) Close() error             { return nil }

// Guards against a streamed response that ends early and looks complete.
func TestTruncatedStreamedResponse(t *testing.T) {
	f := &fakeFleet{outcome: func(int) targetconn.Result {
		r := good()
		r.Response.Rest = brokenBody{}
		r.Response.Length = -1
		return r
	}}
	server := httptest.NewServer(newGateway(f))
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL+"/reads/1", nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("X-Id", "id-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the connection was aborted before the header, which is correct as well
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.Error(t, err)
}

// Guards against continuing an idempotent request after its caller has disconnected,
// and against cancelling one that may run only once.
func TestCallerDisconnects(t *testing.T) {
	for path, ends := range map[string]bool{"/reads/1": true, "/once/1": false} {
		ctx, cancel := context.WithCancel(context.Background())
		seen := make(chan bool, 1)
		f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
		g := newGateway(f)
		g.options.Sender = senderFunc(func(ctx context.Context) targetconn.Result {
			cancel()
			select {
			case <-ctx.Done():
				seen <- true
			case <-time.After(300 * time.Millisecond):
				seen <- false
			}
			return reset()
		})
		r := httptest.NewRequest(http.MethodPost, "http://h"+path, nil).WithContext(ctx)
		r.Header.Set("X-Id", "id-1")
		assert.Panics(t, func() { g.ServeHTTP(httptest.NewRecorder(), r) }, path)
		assert.Equal(t, ends, <-seen, path)
	}
}

type senderFunc func(ctx context.Context) targetconn.Result

func (s senderFunc) Send(ctx context.Context, _ targetconn.Target, _ targetconn.Request) targetconn.Result {
	return s(ctx)
}

// Guards against a request that waits, or gets another time to come back, although
// all targets have asked for time.
func TestAllTargetsPostponed(t *testing.T) {
	f := &fakeFleet{acquireErr: &grants.PostponedError{RetryAfter: 3250 * time.Millisecond}}
	w := call(t, newGateway(f), http.MethodPost, "/once/1", "body")
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Equal(t, "3.25", w.Header().Get("Retry-After"))
}

// Guards against a send to a target that has said that it is leaving, with a grant
// of an owner that does not know it yet.
func TestGrantForLeavingTargetIsNotUsed(t *testing.T) {
	f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
	g := newGateway(f)
	g.options.Advice = targetadvice.New(sys.RealClock{}, zap.NewNop())
	g.options.Advice.Record(targetconn.Target{ID: "t0"}, targetconn.Advice{Leaving: true})
	g.options.Advice.Record(targetconn.Target{ID: "t1"}, targetconn.Advice{RetryAfter: time.Minute})
	w := call(t, g, http.MethodPost, "/once/1", "body")
	assert.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, []string{"t2"}, f.sent)
}

// Guards against a rejection over a tenant's limit that does not say when to retry, or
// that leaves open whether the request ran.
func TestTenantOverItsLimit(t *testing.T) {
	f := &fakeFleet{acquireErr: &quota.ExceededError{RetryAfter: 1250 * time.Millisecond}}
	g := newGateway(f)
	w := call(t, g, http.MethodPost, "/once/x", "")
	assert.Equal(t, http.StatusTooManyRequests, w.Code)
	assert.Equal(t, "1.25", w.Header().Get("Retry-After"))
	assert.Contains(t, w.Body.String(), `"not-run"`)
}
