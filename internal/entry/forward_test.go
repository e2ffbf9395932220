package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/httpserver"
	"github.com/sequoialane/sequoialane/internal/upstream"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
)

// freezePeerPort replaces the peer port of a node by one that accepts connections
// and never responds.
func (n *node) freezePeerPort(t *testing.T) {
	t.Helper()
	require.NoError(t, n.peerServer.Close())
	l, err := net.Listen("tcp", n.peerServer.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
}

// hasHandedOver reports whether another entry holds the records.
func (s *serviceState) hasHandedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.recordHolders) > 0
}

// restartPeerPort serves the peer port of a node again after it was closed.
func (n *node) restartPeerPort(t *testing.T) {
	t.Helper()
	server, err := httpserver.Listen(n.peerServer.Address(), n.PeerHandler(nil))
	require.NoError(t, err)
	server.Start()
	n.peerServer = server
}

// Guards against callers seeing an error when the owner is lost, and against a
// request with a key running twice when it is sent again to the next owner.
func TestFailoverToSecondOwner(t *testing.T) {
	cases := []struct {
		desc    string
		disrupt func(t *testing.T, c *cluster, owner *node)
	}{
		{"process stopped", func(t *testing.T, _ *cluster, owner *node) { require.NoError(t, owner.peerServer.Close()) }},
		{"process frozen", func(t *testing.T, _ *cluster, owner *node) { owner.freezePeerPort(t) }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			c := newCluster(t, "north", "north", "north")
			var runs atomic.Int64
			c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				echo(w, r)
			})
			ranked := c.ranked("north")
			third := ranked[2]
			require.Equal(t, "warm", third.call(t, "PUT", "/s/consents/uploads", "warm", nil).body)
			runs.Store(0)
			tc.disrupt(t, c, ranked[0])
			g := third.call(t, "POST", "/s/consents/x", "once", map[string]string{headerKey: newKey()})
			require.Nil(t, g.err)
			assert.Equal(t, "once", g.body)
			assert.EqualValues(t, 1, runs.Load())
			assert.Equal(t, "again", third.call(t, "PUT", "/s/consents/uploads", "again", nil).body)
		})
	}
}

// Guards against requests failing when the network path between one entry and
// the owner is cut, while other entries still reach the owner.
func TestRelayWhenOwnerIsUnreachable(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	ranked := c.ranked("north")
	owner, from := ranked[0], ranked[2]
	from.peers.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == owner.self.PeerAddress {
			return nil, os.ErrDeadlineExceeded
		}
		return dialPeer(ctx, network, address)
	}
	before := relayedRequests.Get()
	g := from.call(t, "POST", "/s/consents/x", "relayed", map[string]string{headerKey: newKey()})
	require.Nil(t, g.err)
	assert.Equal(t, "relayed", g.body)
	assert.Equal(t, before+1, relayedRequests.Get())
}

// stallingConn simulates a connection on which a network device loses its state:
// once stalled is closed, writes succeed but no bytes arrive.
type stallingConn struct {
	net.Conn
	stalled chan struct{}
}

func (s *stallingConn) Write(b []byte) (int, error) {
	select {
	case <-s.stalled:
		return len(b), nil
	default:
		return s.Conn.Write(b)
	}
}

// Guards against a dead idle connection failing a caller's request or delaying it
// by more than a second, and against the owner being avoided because of it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	ranked := c.ranked("north")
	from := ranked[2]
	var mu sync.Mutex
	stalled := make(chan struct{})
	from.peers.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialPeer(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		return &stallingConn{Conn: conn, stalled: stalled}, err
	}
	require.Equal(t, "warm", from.call(t, "PUT", "/s/consents/uploads", "warm", nil).body)
	mu.Lock()
	close(stalled)
	stalled = make(chan struct{})
	mu.Unlock()
	before, relayedBefore := silentReused.Get(), relayedRequests.Get()
	g := from.call(t, "POST", "/s/consents/x", "kept", map[string]string{headerKey: newKey()})
	require.Nil(t, g.err)
	assert.Equal(t, "kept", g.body)
	assert.Equal(t, before+1, silentReused.Get())
	assert.Equal(t, relayedBefore, relayedRequests.Get())
	assert.False(t, from.peers.get(ranked[0].self.PeerAddress).avoided(from.clock.Now()), "the owner must not be marked as avoided")
}

// Guards against requests going to the second owner because a caller has
// disconnected, or its upload has stalled, while the first owner ran its request.
func TestLostCallerDoesNotAvoidOwner(t *testing.T) {
	for _, tc := range []struct {
		name    string
		request func(t *testing.T, arrived <-chan struct{}) *http.Request
	}{
		{"caller disconnects", newAbandonedRequest},
		{"upload stalls", func(t *testing.T, _ <-chan struct{}) *http.Request { return newStalledUpload(t) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, "north", "north", "north")
			arrived := make(chan struct{}, 1)
			c.addTarget(t, "north", func(_ http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
			ranked := c.ranked("north")
			owner, from := ranked[0], ranked[2]
			from.serveTestCaller(tc.request(t, arrived))
			assert.False(t, from.peers.get(owner.self.PeerAddress).avoided(from.clock.Now()))
		})
	}
}

// Guards against a region getting no more spilled requests because the caller of one
// has disconnected.
func TestLostCallerDoesNotPauseSpill(t *testing.T) {
	c := newCluster(t, "north", "south")
	arrived := make(chan struct{}, 1)
	c.addTarget(t, "south", func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	from := c.ranked("north")[0]
	from.serveTestCaller(newAbandonedRequest(t, arrived))
	assert.False(t, from.spillPauses.paused(testService, "south", from.clock.Now()))
}

// newAbandonedRequest returns a request whose caller disconnects once it has arrived
// at a target and its owner must have acknowledged it.
func newAbandonedRequest(t *testing.T, arrived <-chan struct{}) *http.Request {
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		time.Sleep(ackTimeout)
		cancel()
	}()
	return httptest.NewRequestWithContext(ctx, http.MethodGet, "/s/consents/slow", nil)
}

// Guards against a region without targets rejecting requests that another region
// can run, and against spilled requests being spilled again between regions.
func TestSpillToOtherRegion(t *testing.T) {
	c := newCluster(t, "north", "north", "south")
	c.addTarget(t, "south", echo)
	for _, n := range c.nodes {
		n.readyAt.Store(time.Now().Add(-time.Minute).UnixNano())
	}
	for _, n := range c.nodes {
		assert.Equal(t, "spilled", n.call(t, "PUT", "/s/consents/uploads", "spilled", nil).body)
		large := strings.Repeat("u", 200_000)
		g := n.call(t, "PUT", "/s/consents/uploads", large, nil)
		assert.True(t, large == g.body, "streamed: %v", g.err)
		key := newKey()
		for range 2 {
			assert.Equal(t, "keyed", n.call(t, "POST", "/s/consents/x", "keyed", map[string]string{headerKey: key}).body)
		}
	}
	g := c.nodes[0].call(t, "GET", "/s/idle/x", "", nil)
	require.NotNil(t, g.err)
	assert.Equal(t, fault.NoUpstream, g.err.Kind)
}

// Guards against requests that are rejected for want of capacity in their region
// while the targets of another one are idle.
func TestOverloadSpillsToOtherRegion(t *testing.T) {
	const requests = 40 // 2 s of work for the four slots of a region
	c := newCluster(t, "north", "south")
	work := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		echo(w, r)
	}
	c.addTarget(t, "north", work)
	c.addTarget(t, "south", work)
	north := c.ranked("north")[0]
	header := map[string]string{headerTimeout: "4s"}
	for range 10 {
		require.Nil(t, north.call(t, "PUT", "/s/consents/uploads", "x", header).err)
	}
	var rejected atomic.Int64
	var calls sync.WaitGroup
	for range requests {
		calls.Go(func() {
			if g := north.call(t, "PUT", "/s/consents/uploads", "x", header); g.err != nil {
				rejected.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	calls.Wait()
	assert.Zero(t, rejected.Load(), "of %d requests", requests)
}

// Guards against a restarted owner rejecting requests because it knows no
// targets yet.
func TestOwnerWithoutRecordsForwardsToSecondOwner(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	for i, n := range c.ranked("north") {
		c.ranked("north")[0].services.drop(testService)
		g := n.call(t, "POST", "/s/consents/x", "found", map[string]string{headerKey: newKey()})
		assert.Equal(t, "found", g.body, "through rank %d", i)
		large := strings.Repeat("u", 200_000)
		g = n.call(t, "PUT", "/s/consents/uploads", large, nil)
		assert.True(t, large == g.body, "streamed through rank %d: %v", i, g.err)
	}
}

// Guards against target records not being handed over when an owner drains. Its
// successor would then have no targets until the next announcements.
func TestRecordsAreHandedOverOnDrain(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	ranked := c.ranked("north")
	for _, n := range ranked[:2] {
		n.updateRanks(context.Background())
	}
	require.Nil(t, ranked[2].services.get(testService))
	ranked[0].table.Drain()
	ranked[0].updateRanks(context.Background())
	require.Eventually(t, func() bool {
		s := ranked[2].services.get(testService)
		return s != nil && s.hasTargets()
	}, waitLimit, pollStep)
}

// Guards against requests at a target that has said in a response that it is leaving,
// once another entry owns the service: the news must reach the other owners, also if
// one of them does not respond at first.
func TestLeavingTargetIsKnownToOtherOwners(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("reachable ", reachable), func(t *testing.T) {
			c := newCluster(t, "north", "north", "north")
			c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(upstreamclient.HeaderLeaving, "1")
				echo(w, r)
			})
			first, second := c.ranked("north")[0], c.ranked("north")[1]
			require.Eventually(t, func() bool { // until the records are handed over
				first.updateRanks(context.Background())
				return second.services.get(testService) != nil && first.services.get(testService).hasHandedOver()
			}, waitLimit, pollStep)
			if !reachable {
				require.NoError(t, second.peerServer.Close())
			}
			require.Nil(t, first.call(t, "PUT", "/s/consents/uploads", "x", nil).err)
			first.tickServices(context.Background())
			if !reachable {
				time.Sleep(500 * time.Millisecond) // the news cannot be delivered meanwhile
				second.restartPeerPort(t)
			}
			require.Eventually(t, func() bool {
				first.updateRanks(context.Background())
				return second.services.get(testService).service.Snapshot().Targets[0].Announced == upstream.Draining
			}, waitLimit, pollStep)
		})
	}
}

// Guards against a truncated response reaching the caller as a complete one.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	c := newCluster(t, "north", "north")
	c.addTarget(t, "north", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = io.WriteString(w, strings.Repeat("x", 500_000))
		panic(http.ErrAbortHandler)
	})
	for _, n := range c.nodes {
		r, err := http.NewRequest(http.MethodGet, "http://"+n.callers.Address()+"/s/consents/x", http.NoBody)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+testToken)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.Error(t, err)
		_ = response.Body.Close()
	}
}
