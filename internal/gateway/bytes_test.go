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
