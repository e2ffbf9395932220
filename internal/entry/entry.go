package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/ownership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

// Catalog is the entry's copy of the catalog of plans and entitlements.
type Catalog interface {
	Current() *plan.Snapshot // nil until the first catalog is loaded
	Freshness() configsync.Freshness
}

// Gossip sends packets of the membership table.
type Gossip interface {
	Send(packets []membership.Packet)
}

// Tokens are the bearer tokens of entries, upstreams and operators.
type Tokens struct {
	Fleet    string
	Upstream string
	Operator string
}

// Options configures an Entry.
type Options struct {
	Table        *membership.Table
	Gossip       Gossip
	Catalog      Catalog
	Runner       Runner
	Leases       claims.Leases
	Tokens       Tokens
	Clock        sys.Clock
	Workers      *workerpool.Pool
	Log          *zap.Logger
	TimeToLive   time.Duration // of address responses
	FloorPercent int           // percentage of the healthy capacity that ejection must leave
	Version      string        // version of the program
	// Guard has the memory for the bodies that other entries forward. nil: no limit.
	Guard *callerconn.Guard
}

// Entry handles the requests that arrive at one entry VM. It is safe for
// concurrent use.
type Entry struct {
	self        membership.Member // as of the start; the table holds the current state
	table       *membership.Table
	gossip      Gossip
	ranker      *ownership.Ranker
	catalog     Catalog
	runner      Runner
	leases      claims.Leases
	tokens      Tokens
	fleetToken  string
	clock       sys.Clock
	workers     *workerpool.Pool
	log         *zap.Logger
	ttl         time.Duration
	version     string
	guard       *callerconn.Guard // nil: no limit
	services    *services
	peers       *peers
	spillPauses *spillPauses
	ids         *requestIDs
	inFlight    atomic.Int64
	ready       chan struct{}
	readyOnce   sync.Once
	readyAt     atomic.Int64 // Unix nanoseconds
}

// New returns an entry. StartJobs starts its background jobs.
func New(o Options) *Entry {
	self := o.Table.Self()
	return &Entry{
		self:        self,
		table:       o.Table,
		gossip:      o.Gossip,
		ranker:      ownership.NewRanker(o.Table),
		catalog:     o.Catalog,
		runner:      o.Runner,
		leases:      o.Leases,
		tokens:      o.Tokens,
		fleetToken:  o.Tokens.Fleet,
		clock:       o.Clock,
		workers:     o.Workers,
		log:         o.Log,
		ttl:         o.TimeToLive,
		version:     o.Version,
		guard:       o.Guard,
		services:    newServices(self.Region, self.DataCentre, o.FloorPercent, o.Clock),
		peers:       newPeers(o.Clock),
		spillPauses: newSpillPauses(),
		ids:         newRequestIDs(),
		ready:       make(chan struct{}),
	}
}

// Ready returns a channel that is closed once the entry can serve requests for
// the first time.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

func (e *Entry) markReady() {
	e.readyOnce.Do(func() {
		e.readyAt.Store(e.clock.Now().UnixNano())
		close(e.ready)
	})
}

func (e *Entry) randomIndex(n int) int { return rand.IntN(n) }

func incarnationName(m membership.Member) string {
	return claims.HolderName(m.Name, m.Incarnation)
}

// Server is an HTTP server of an entry.
type Server interface {
	Drain()
	Shutdown(ctx context.Context) error
}

// Drainer waits for upstream calls that continue after their caller has
// disconnected.
type Drainer interface {
	Drain(ctx context.Context) error
}

// drainPropagationTime is how long gossip may take to tell all other entries
// that an entry drains. Until then their address responses may list it.
const drainPropagationTime = time.Second

// Shutdown removes the entry from the fleet without aborting requests. It
// gossips that the entry drains, keeps serving until the address responses that
// list it have expired, waits for requests in flight until ctx ends, and leaves
// the membership.
func (e *Entry) Shutdown(ctx context.Context, callers, peerServer Server, dispatcher Drainer) error {
	e.log.Info("draining")
	e.gossip.Send(e.table.Drain())
	callers.Drain()
	peerServer.Drain()
	if err := e.clock.Sleep(ctx, e.ttl+drainPropagationTime); err != nil {
		return trace.Wrap(err)
	}
	if err := callers.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "caller requests still in flight")
	}
	if err := peerServer.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "peer requests still in flight")
	}
	if err := dispatcher.Drain(ctx); err != nil {
		return trace.Wrap(err, "upstream calls still in flight")
	}
	e.gossip.Send(e.table.Leave())
	e.peers.close()
	e.log.Info("left the fleet")
	return nil
}

// CallerHandler returns the handler of the caller port: requests to services,
// address lookups, announcements and the operator API.
func (e *Entry) CallerHandler() http.Handler { return e.callerRoutes() }

// PeerHandler returns the handler of the peer port. Extra handlers, such as
// those of claims and the catalog, are registered by pattern. Each must check
// the fleet token itself or be wrapped with RequireFleet.
func (e *Entry) PeerHandler(extra map[string]http.Handler) http.Handler {
	return e.peerRoutes(extra)
}
