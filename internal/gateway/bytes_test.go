package gateway

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// outcomeBroker passes the outcomes of a oneTarget on completely.
type outcomeBroker struct {
	*oneTarget
	outcomes chan pool.Outcome
}

func (b *outcomeBroker) Acquire(ctx context.Context, service string, r pool.Request, wait time.Duration) (*grants.Lease, error) {
	l, err := b.oneTarget.Acquire(ctx, service, r, wait)
	return grants.NewLease(l.Grant, l.Owner, func(o pool.Outcome) { b.outcomes <- o }), err
}

// Guards against responses whose length the owner does not learn: short ones, empty
// ones, and long ones that are passed on while they arrive.
func TestOutcomeCarriesResponseBytes(t *testing.T) {
	for _, length := range []int{0, 5, longResponse} {
		o := &oneTarget{address: startRawTarget(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Mark: m\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n")
			_, _ = c.Write(make([]byte, length))
		})}
		b := &outcomeBroker{oneTarget: o, outcomes: make(chan pool.Outcome, 1)}
		f := &fakeFleet{}
		view := f.view()
		view.Targets[0].Address = o.address
		g := New(Options{
			Name: "e", DataCentre: "d", HeaderNames: names, View: func() *fleetview.View { return view }, Broker: b, Clock: sys.RealClock{},
			Sender: targetconn.New(sys.RealClock{}, names, membudget.New(8<<20), nil), Log: zap.NewNop(), BodyMemory: membudget.New(1 << 20),
		})
		server := httptest.NewServer(g)
		t.Cleanup(server.Close)
		response, err := getOnce(t, server, "2000")
		require.NoError(t, err)
		received, err := io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		assert.EqualValues(t, length, received)
		outcome := <-b.outcomes
		assert.Equal(t, pool.OK, outcome.Kind)
		assert.EqualValues(t, max(length, 1), outcome.Bytes, "0 would mean that it is not known")
	}
}

// Guards against paths of one kind that are told apart by their ids, and against ones
// that are not told apart at all.
func TestPathHash(t *testing.T) {
	for _, c := range []struct {
		desc, prefix, path, like string
		wantSame                 bool
	}{
		{"ids below the segment", "/v1/", "/v1/orders/1", "/v1/orders/2", true},
		{"prefix without a slash", "/v1", "/v1/orders/1", "/v1/orders", true},
		{"other segment", "/v1/", "/v1/orders/1", "/v1/carts/1", false},
	} {
		assert.Equal(t, c.wantSame, pool.PathHash(c.prefix, c.path) == pool.PathHash(c.prefix, c.like), c.desc)
		assert.NotZero(t, pool.PathHash(c.prefix, c.path), c.desc)
	}
	assert.Zero(t, pool.PathHash("/v1/", "/v1/"), "no segment")
}

// Guards against a log line that does not say what the owner expected of an attempt.
func TestExpectedRunTimeIsLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
	g := newGateway(f)
	g.options.Log = zap.New(core)
	broker := &fixedBroker{run: 120 * time.Millisecond}
	g.options.Broker = broker
	call(t, g, "GET", "/reads/1", "")
	require.Equal(t, 1, lines.Len())
	attempts, ok := lines.All()[0].ContextMap()["attempts"].([]attempt)
	require.True(t, ok)
	require.Len(t, attempts, 1)
	assert.InDelta(t, 120, attempts[0].RunMS, 0)
	assert.Equal(t, pool.PathHash("/", "/1"), broker.asked.Path, "the owner expects it by the path")
}

// fixedBroker grants the first target with an expected run time.
type fixedBroker struct {
	run   time.Duration
	asked pool.Request
}

func (b *fixedBroker) Acquire(_ context.Context, _ string, r pool.Request, _ time.Duration) (*grants.Lease, error) {
	b.asked = r
	g := pool.Grant{Target: "t0", Address: "10.0.0.1:80", HedgeDelay: time.Hour, RunTime: b.run}
	return grants.NewLease(g, "owner", func(pool.Outcome) {}), nil
}
