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

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/ownership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

// Catalog is the entry's copy of plans and entitlements.
type Catalog interface {
	Current() *plan.Snapshot // nil until ready
	Freshness() configsync.Freshness
}

// Gossip sends packets of the membership table.
type Gossip interface {
	Send(packets []membership.Packet)
}

// Tokens are the secrets of the system's own parties.
type Tokens struct {
	Fleet    string
	Upstream string
	Operator string
}

// Options are the parts of an Entry.
type Options struct {
	Table        *membership.Table
	Gossip       Gossip
	Catalog      Catalog
	Runner       Runner
	Leases       claims.Leases
	Tokens       Tokens
	Clock        sys.Clock
	Pool         *workerpool.Pool
	Log          *zap.Logger
	TimeToLive   time.Duration // of address answers
	FloorPercent int           // healthy capacity that ejection leaves
	Version      string        // of the program
}

// Entry handles the requests of one entry VM. It is safe for concurrent use.
type Entry struct {
	self     membership.Member // as at the start; its state is in the table
	table    *membership.Table
	gossip   Gossip
	ranker   *ownership.Ranker
	catalog  Catalog
	runner   Runner
	leases   claims.Leases
	tokens   Tokens
	token    string // fleet token
	clock    sys.Clock
	pool     *workerpool.Pool
	log      *zap.Logger
	ttl      time.Duration
	version  string
	services *services
	peers    *peers
	spills   *spills
	ids      *requestIDs
	inFlight atomic.Int64
	ready    chan struct{}
	readied  sync.Once
	readyAt  atomic.Int64 // Unix nanoseconds
}

// New returns an entry. StartJobs starts its background jobs.
func New(o Options) *Entry {
	self := o.Table.Self()
	return &Entry{
		self:     self,
		table:    o.Table,
		gossip:   o.Gossip,
		ranker:   ownership.NewRanker(o.Table),
		catalog:  o.Catalog,
		runner:   o.Runner,
		leases:   o.Leases,
		tokens:   o.Tokens,
		token:    o.Tokens.Fleet,
		clock:    o.Clock,
		pool:     o.Pool,
		log:      o.Log,
		ttl:      o.TimeToLive,
		version:  o.Version,
		services: newServices(self.Region, self.DataCentre, o.FloorPercent, o.Clock),
		peers:    newPeers(o.Clock),
		spills:   newSpills(),
		ids:      newRequestIDs(),
		ready:    make(chan struct{}),
	}
}

// Ready is closed once the entry serves requests for the first time.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

func (e *Entry) markReady() {
	e.readied.Do(func() {
		e.readyAt.Store(e.clock.Now().UnixNano())
		close(e.ready)
	})
}

func (e *Entry) random(n int) int { return rand.IntN(n) }

func incarnationName(m membership.Member) string {
	return claims.HolderName(m.Name, m.Incarnation)
}

// Servers are the HTTP servers of an entry.
type Servers interface {
	Drain()
	Shutdown(ctx context.Context) error
}

// Drainer waits for requests that go on after their caller has left.
type Drainer interface {
	Drain(ctx context.Context) error
}

// spreadTime is how long the news that an entry drains may take to reach the
// other entries, which name it in address answers until then.
const spreadTime = time.Second

// Shutdown leaves the fleet without cutting a request: it announces draining,
// serves until address answers that name it have ended, waits for requests in flight
// until ctx ends, and leaves the membership.
func (e *Entry) Shutdown(ctx context.Context, callers, peerServer Servers, running Drainer) error {
	e.log.Info("draining")
	e.gossip.Send(e.table.Drain())
	callers.Drain()
	peerServer.Drain()
	if err := e.clock.Sleep(ctx, e.ttl+spreadTime); err != nil {
		return trace.Wrap(err)
	}
	if err := callers.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "callers' requests still in flight")
	}
	if err := peerServer.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "peers' requests still in flight")
	}
	if err := running.Drain(ctx); err != nil {
		return trace.Wrap(err, "upstream calls still in flight")
	}
	e.gossip.Send(e.table.Leave())
	e.peers.close()
	e.log.Info("left the fleet")
	return nil
}

// CallerHandler serves the caller port: requests, address answers,
// announcements and the operator API.
func (e *Entry) CallerHandler() http.Handler { return e.callerRoutes() }

// PeerHandler serves the peer port. Further handlers, such as those of claims
// and of the catalog copy, are added by pattern; each checks the fleet token
// by itself or is wrapped with RequireFleet.
func (e *Entry) PeerHandler(further map[string]http.Handler) http.Handler {
	return e.peerRoutes(further)
}
