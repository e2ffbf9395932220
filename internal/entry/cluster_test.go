package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/dispatch"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/httpserver"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

const (
	testService = "consents"
	testToken   = "plan-token"
	idleService = "idle" // the test plan is entitled to it; it has no targets
)

// fakeCatalog is a fixed catalog whose freshness a test can change.
type fakeCatalog struct {
	snapshot  *plan.Snapshot
	freshness atomic.Value
}

func (f *fakeCatalog) Current() *plan.Snapshot { return f.snapshot }

func (f *fakeCatalog) Freshness() configsync.Freshness {
	return f.freshness.Load().(configsync.Freshness)
}

func newFakeCatalog(t *testing.T) *fakeCatalog {
	sum := sha256.Sum256([]byte(testToken))
	catalog := plan.NewCatalog()
	result := catalog.Apply(plan.Change{
		ID:       uuid.NewString(),
		SetPlans: []plan.Plan{{ID: "council", Weight: 1, TokenSHA256: []string{hex.EncodeToString(sum[:])}}},
		SetEntitlements: []plan.Entitlement{
			{Plan: "council", Service: testService}, {Plan: "council", Service: idleService},
		},
	})
	require.Equal(t, plan.Accepted, result.Outcome, result.Detail)
	f := &fakeCatalog{snapshot: catalog.Snapshot()}
	f.freshness.Store(configsync.Fresh)
	return f
}

type noGossip struct{}

func (noGossip) Send([]membership.Packet) {}

// node is an entry in the test process, with real servers on loopback.
type node struct {
	*Entry
	callers, peerServer *httpserver.Server
	pool                *workerpool.Pool
}

// cluster is a fleet in the test process. Its members know each other from the
// start; gossip does not run.
type cluster struct {
	nodes   []*node
	catalog *fakeCatalog
}

// deferredHandler allows a server to listen before its handler is created.
type deferredHandler struct{ handler http.Handler }

func (l *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.handler.ServeHTTP(w, r)
}

func newCluster(t *testing.T, regions ...string) *cluster {
	t.Helper()
	c := &cluster{catalog: newFakeCatalog(t)}
	var tables []*membership.Table
	memory := claims.NewMemoryClient(sys.RealClock{}, claims.DefaultLimits())
	for i, region := range regions {
		callers, peers := &deferredHandler{}, &deferredHandler{}
		n := &node{pool: workerpool.New(4, 64)}
		n.callers, n.peerServer = listen(t, callers), listen(t, peers)
		self := membership.Member{
			Name: fmt.Sprintf("entry-%d", i), Region: region, DataCentre: region + "-a", State: membership.Alive,
			CallerAddress: n.callers.Address(), PeerAddress: n.peerServer.Address(), GossipAddress: n.peerServer.Address(),
			Incarnation: uint64(i + 1),
		}
		table := membership.NewTable(self, []byte("fleet"), rand.New(rand.NewPCG(1, uint64(i))), time.Now())
		n.Entry = New(Options{
			Table: table, Gossip: noGossip{}, Catalog: c.catalog, Runner: newTestDispatcher(table, memory), Leases: memory,
			Tokens: Tokens{Fleet: "fleet", Upstream: "upstream", Operator: "operator"},
			Clock:  sys.RealClock{}, Workers: n.pool, Log: zap.NewNop(), TimeToLive: time.Second, FloorPercent: 50, Version: "test",
		})
		n.markReady()
		callers.handler, peers.handler = n.CallerHandler(), n.PeerHandler(nil)
		n.callers.Start()
		n.peerServer.Start()
		t.Cleanup(n.stop)
		c.nodes = append(c.nodes, n)
		tables = append(tables, table)
	}
	exchangeTables(t, tables)
	return c
}

func listen(t *testing.T, h http.Handler) *httpserver.Server {
	s, err := httpserver.Listen("127.0.0.1:0", h)
	require.NoError(t, err)
	return s
}

func (n *node) stop() {
	n.pool.Stop()
	n.peers.close()
	_ = n.callers.Close()
	_ = n.peerServer.Close()
}

func newTestDispatcher(table *membership.Table, memory *claims.MemoryClient) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Claims: memory, Sender: upstreamclient.New(sys.RealClock{}), Clock: sys.RealClock{}, Log: zap.NewNop(),
		Holder:       claims.HolderName(table.Self().Name, table.Self().Incarnation),
		HolderDead:   func(string) bool { return false },
		NewAttemptID: uuid.NewString,
		Limits:       claims.DefaultLimits(),
	})
}

// exchangeTables makes the members of all tables known to each other.
func exchangeTables(t *testing.T, tables []*membership.Table) {
	for range 2 {
		for _, a := range tables[1:] {
			answer, err := tables[0].HandleExchange(time.Now(), a.StartExchange())
			require.NoError(t, err)
			push, err := a.FinishExchange(time.Now(), answer)
			require.NoError(t, err)
			_, err = tables[0].HandleExchange(time.Now(), push)
			require.NoError(t, err)
		}
	}
}

// ranked returns the nodes of a region, the owner of the service first.
func (c *cluster) ranked(region string) []*node {
	var list []*node
	for _, m := range c.nodes[0].ranker.Rank(testService, region) {
		for _, n := range c.nodes {
			if n.self.Name == m.Name {
				list = append(list, n)
			}
		}
	}
	return list
}

// addTarget starts an upstream and announces it through the first node.
func (c *cluster) addTarget(t *testing.T, region string, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		handler(w, r)
	}))
	t.Cleanup(target.Close)
	body := fmt.Sprintf(`{"service":%q,"address":%q,"region":%q,"data_centre":"%s-a","slots":4,"state":"serving","incarnation":1,"sequence":1,`+
		`"echoes_request_id":true,"routes":[{"method":"PUT","path_prefix":"/uploads","idempotent":true}]}`,
		testService, strings.TrimPrefix(target.URL, "http://"), region, region)
	r, err := http.NewRequest(http.MethodPost, "http://"+c.nodes[0].callers.Address()+"/v1/announcements", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer upstream")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(raw))
	return target
}

type callResult struct {
	status int
	header http.Header
	body   string
	err    *fault.Error // nil unless the fleet returned an error
}

// call sends a request to the caller port of a node.
func (n *node) call(t *testing.T, method, path, body string, header map[string]string) callResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers.Address()+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	require.NoError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	g := callResult{status: response.StatusCode, header: response.Header, body: string(raw)}
	if response.Header.Get(fault.HeaderKind) != "" {
		g.err = fault.Decode(raw)
	}
	return g
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
