package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// Guards against a response that invites a further request on a connection which the
// stopping entry is about to close.
func TestResponsesInFlightAtADrainCloseTheirConnections(t *testing.T) {
	cases := []struct {
		desc   string
		result targetconn.Result
		status int
	}{
		{"response of a target", good(), http.StatusOK},
		{"error", reset(), http.StatusBadGateway},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := &fakeFleet{}
			g := newGateway(f)
			f.outcome = func(int) targetconn.Result {
				g.Drain()
				return tc.result
			}
			server := httptest.NewServer(g)
			defer server.Close()
			r, err := http.NewRequest(http.MethodPost, server.URL+"/once/1", strings.NewReader("x"))
			require.NoError(t, err)
			r.Host = "h"
			r.Header.Set(names.RequestID, "id")
			response, err := server.Client().Do(r)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, tc.status, response.StatusCode)
			assert.True(t, response.Close)
		})
	}
}

// waitingBroker grants nothing until the request for a grant ends.
type waitingBroker struct {
	*fakeFleet
	waiting chan struct{} // receives one value for each waiting request
}

func (b *waitingBroker) Acquire(ctx context.Context, service string, r pool.Request, maxWait time.Duration) (*grants.Lease, error) {
	if len(r.Tried) == 0 && b.outcome != nil {
		return b.fakeFleet.Acquire(ctx, service, r, maxWait)
	}
	b.waiting <- struct{}{}
	<-ctx.Done()
	return nil, grants.ErrCanceled
}

// Guards against a stop at whose end requests are cut that wait for a target: they have
// not run, or their outcome is known, and their callers must be told.
func TestWaitingRequestsAreAnsweredBeforeTheEndOfAStop(t *testing.T) {
	cases := []struct {
		desc   string
		path   string
		first  func(int) targetconn.Result // outcome of the first attempt; nil: the request waits for it
		status int
		kind   fault.Kind
	}{
		{"not sent yet", "/once/1", nil, http.StatusServiceUnavailable, fault.Draining},
		{"between two attempts, not run", "/once/1", func(int) targetconn.Result { return shed() }, http.StatusServiceUnavailable, fault.NoUpstream},
		{"between two attempts, may have run", "/reads/1", func(int) targetconn.Result { return reset() }, http.StatusBadGateway, fault.OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := &fakeFleet{outcome: tc.first}
			b := &waitingBroker{fakeFleet: f, waiting: make(chan struct{}, targets)}
			g := newGateway(f)
			g.options.Broker = b
			go func() {
				<-b.waiting
				g.Drain()
				g.EndWaits()
			}()
			answered := make(chan *httptest.ResponseRecorder, 1)
			go func() { answered <- call(t, g, http.MethodPost, tc.path, "body") }()
			var w *httptest.ResponseRecorder
			select {
			case w = <-answered:
			case <-time.After(30 * time.Second):
				t.Fatal("the request waits on")
			}
			assert.Equal(t, tc.status, w.Code)
			assert.Equal(t, string(tc.kind), w.Header().Get(fault.HeaderKind))
		})
	}
}

// Guards against a request that begins when its entry has hardly any time left, and is
// cut at the end of the stop with an unknown outcome.
func TestNewRequestsAreRejectedLateInAStop(t *testing.T) {
	f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
	g := newGateway(f)
	g.Drain()
	assert.Equal(t, http.StatusOK, call(t, g, http.MethodPost, "/once/1", "body").Code, "the entry still serves")
	g.RejectNew()
	w := call(t, g, http.MethodPost, "/once/1", "body")
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Equal(t, string(fault.Draining), w.Header().Get(fault.HeaderKind))
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.Len(t, f.sent, 1)
}
