// Package gateway is the HTTP handler for callers' requests. It matches each
// request to a route, acquires a grant for a target, sends the request there and
// returns the response, with retries and hedges for idempotent routes. It is used
// by sequoialane-platform; package dispatch does this in sequoialane-entry.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetadvice"
	"github.com/sequoialane/sequoialane/internal/targetconn"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// defaultTimeout applies if the route sets no timeout.
const defaultTimeout = 10 * time.Second

// deadlineMargin is how long before its timeout a request gets its final
// response, so that the response reaches the caller in time.
const deadlineMargin = 30 * time.Millisecond

// Broker grants requests the use of a target.
type Broker interface {
	Acquire(ctx context.Context, service string, r pool.Request, maxWait time.Duration) (*grants.Lease, error)
}

// Sender sends requests to targets.
type Sender interface {
	Send(ctx context.Context, t targetconn.Target, r targetconn.Request) targetconn.Result
}

// Options configure a gateway.
type Options struct {
	Name        string // name of this entry
	DataCentre  string
	HeaderNames targetconn.HeaderNames
	View        func() *fleetview.View
	// Confirmed reports whether the view that View returns afterwards is recent enough
	// for a decision about a key; nil: any view is.
	Confirmed func() bool
	// ViewChanged returns a channel that is closed when the view changes next; nil: a
	// request does not wait for the first view.
	ViewChanged func() <-chan struct{}
	Broker      Broker
	Sender      Sender
	Advice      *targetadvice.Table // what targets have asked of this entry; may be nil
	Clock       sys.Clock
	Log         *zap.Logger
	// BodyMemory limits the bytes of request bodies buffered at the same time. Its
	// limit must not be 0.
	BodyMemory *membudget.Budget
}

// Gateway handles callers' requests. It implements http.Handler.
type Gateway struct {
	options       Options
	phase         float64 // where this entry starts in the split of a route, from 0 to 1
	splits        *routing.Splitter
	splitsVersion atomic.Uint64 // document version that the splitter state belongs to
	inFlight      atomic.Int64
	stop          *stop

	spread         func(time.Duration) time.Duration // extends a Retry-After
	started        time.Time
	startupWaiters atomic.Int64 // requests that wait for the first view
	startupWaits   *metrics.Counter

	requests, callersGone *metrics.Counter
	duration              *metrics.Histogram
	keys                  keyCounters
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		options:     o,
		phase:       float64(xxhash.Sum64String(o.Name)%1024) / 1024,
		splits:      routing.NewSplitter(),
		stop:        newStop(),
		requests:    metrics.GetOrCreateCounter("sequoialane_gateway_requests_total"),
		callersGone: metrics.GetOrCreateCounter("sequoialane_gateway_callers_gone_total"),
		duration:    metrics.GetOrCreateHistogram("sequoialane_gateway_request_seconds"),
		keys:        newKeyCounters(),

		spread:       spreadRetryAfter,
		started:      o.Clock.Now(),
		startupWaits: metrics.GetOrCreateCounter("sequoialane_gateway_startup_waits_total"),
	}
}

// InFlight returns the number of requests being handled.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// request is the state of one caller's request.
type request struct {
	id          string
	host        string
	route       *routing.Route
	identity    identity
	service     string
	pathHash    uint32 // of the path segment after the prefix of the route; 0: none
	version     uint64 // version of the routing document
	started     time.Time
	deadline    time.Time // when the final response is due
	outgoing    targetconn.Request
	attempts    []attempt
	retryDenied string // why a permitted retry got no grant; empty if none was denied
}

// attempt is the log record of one attempt.
type attempt struct {
	Target  string           `json:"target"`
	Owner   string           `json:"owner"`
	Risk    float64          `json:"risk"`
	RunMS   float64          `json:"expected_run_ms"` // run time that the owner expected, in milliseconds
	Outcome pool.OutcomeKind `json:"outcome"`
	Sent    bool             `json:"sent"`
	Reused  bool             `json:"reused"`
	StartMS float64          `json:"start_ms"` // milliseconds since the request arrived
	EndMS   float64          `json:"end_ms"`   // milliseconds since the request arrived
	Error   string           `json:"error,omitempty"`
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.requests.Inc()
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "gateway.request")
	defer span.End()
	req := &request{id: r.Header.Get(g.options.HeaderNames.RequestID), host: r.Host, started: g.options.Clock.Now()}
	release, rejection := g.prepare(w, r, req)
	defer release()
	if rejection != nil {
		g.reject(w, req, rejection)
		return
	}
	g.finish(ctx, w, req, g.execute(ctx, req))
}

// finish writes the result to the caller. It aborts the connection if the caller
// disconnected before there was a response.
func (g *Gateway) finish(ctx context.Context, w http.ResponseWriter, req *request, result result) {
	switch {
	case ctx.Err() != nil && result.response == nil:
		g.callersGone.Inc()
		g.log(req, 0, "abandoned by the caller", nil)
		panic(http.ErrAbortHandler)
	case result.err != nil:
		g.reject(w, req, result.err)
	default:
		g.log(req, result.response.Status, "answered", nil)
		g.writeResponse(w, req, result.response)
	}
}

// reject logs the request and writes the error as its response.
func (g *Gateway) reject(w http.ResponseWriter, req *request, e *fault.Error) {
	if e.RetryAfter > 0 {
		e = e.WithRetryAfter(g.spread(e.RetryAfter))
	}
	g.log(req, fault.ResponseOf(e.Kind).Status, "refused", e)
	g.closeWhenDraining(w.Header())
	writeError(w, req.id, e)
}

// log updates the metrics and writes the one log line of a request, with its
// route, its attempts and its outcome.
func (g *Gateway) log(req *request, status int, outcome string, e *fault.Error) {
	took := g.options.Clock.Now().Sub(req.started)
	g.duration.Update(took.Seconds())
	metrics.GetOrCreateCounter(`sequoialane_gateway_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	fields := []zap.Field{
		zap.String("request_id", req.id), zap.String("host", req.host), zap.Uint64("version", req.version),
		zap.Int("status", status), zap.Duration("took", took), zap.Any("attempts", req.attempts),
	}
	if req.route != nil {
		fields = append(fields, zap.String("route", req.route.Name), zap.String("kind", string(req.route.Kind)), zap.String("service", req.service))
	}
	if name := req.tenantName(); name != "" {
		fields = append(fields, zap.String("tenant", name))
	}
	if req.retryDenied != "" {
		fields = append(fields, zap.String("no_repeat", req.retryDenied))
	}
	if e != nil {
		fields = append(fields, zap.String("error_kind", string(e.Kind)), zap.String("effect", string(e.Effect)), zap.String("detail", e.Detail))
	}
	g.options.Log.Info("request "+outcome, fields...)
}
