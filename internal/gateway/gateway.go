// Package gateway takes the requests of callers, finds their route, and sends
// them to targets that a pool grants.
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
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// defaultTimeout bounds a request whose route and caller name no time.
const defaultTimeout = 10 * time.Second

// finalMargin is how long before its time a request gets its final answer, so
// that the answer arrives in time.
const finalMargin = 30 * time.Millisecond

// Broker grants targets.
type Broker interface {
	Acquire(ctx context.Context, service string, r pool.Request, maxWait time.Duration) (*grants.Lease, error)
}

// Sender sends requests to targets.
type Sender interface {
	Send(ctx context.Context, t targetconn.Target, r targetconn.Request) targetconn.Result
}

// Options configure a gateway.
type Options struct {
	Name       string // of the entry
	DataCentre string
	Names      targetconn.HeaderNames
	View       func() *fleetview.View
	Broker     Broker
	Sender     Sender
	Clock      sys.Clock
	Log        *zap.Logger
	// BodyMemory bounds the bytes of the bodies that are held at the same time.
	BodyMemory int64
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	options  Options
	phase    float64 // start of the splits of this entry
	splits   *routing.Splitter
	splitsOf atomic.Uint64 // version of the document that the splits belong to
	bodies   atomic.Int64  // bytes of bodies that are held
	inFlight atomic.Int64
	draining atomic.Bool

	requests, gone *metrics.Counter
	duration       *metrics.Histogram
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		options:  o,
		phase:    float64(xxhash.Sum64String(o.Name)%1024) / 1024,
		splits:   routing.NewSplitter(),
		requests: metrics.GetOrCreateCounter("sequoialane_gateway_requests_total"),
		gone:     metrics.GetOrCreateCounter("sequoialane_gateway_callers_gone_total"),
		duration: metrics.GetOrCreateHistogram("sequoialane_gateway_request_seconds"),
	}
}

// Drain makes callers leave: every answer closes its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns the number of requests under way.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// request is a request on its way.
type request struct {
	id       string
	host     string
	route    *routing.Route
	service  string
	version  uint64 // of the routing document
	started  time.Time
	final    time.Time // when the final answer is due
	outgoing targetconn.Request
	attempts []attempt
	noRepeat string // why the request was not sent once more; empty: it was, or must not be
}

// attempt is what the log says of an attempt.
type attempt struct {
	Target  string           `json:"target"`
	Owner   string           `json:"owner"`
	Risk    float64          `json:"risk"`
	Outcome pool.OutcomeKind `json:"outcome"`
	Sent    bool             `json:"sent"`
	Reused  bool             `json:"reused"`
	StartMS float64          `json:"start_ms"` // since the request arrived
	EndMS   float64          `json:"end_ms"`   // since the request arrived
	Error   string           `json:"error,omitempty"`
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.requests.Inc()
	ctx, span := telemetry.Start(telemetry.Extract(r.Context(), r.Header), "gateway.request")
	defer span.End()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{id: r.Header.Get(g.options.Names.RequestID), host: r.Host, started: g.options.Clock.Now()}
	release, refused := g.prepare(w, r, q)
	defer release()
	if refused != nil {
		g.refuse(w, q, refused)
		return
	}
	g.finish(ctx, w, q, g.execute(ctx, q))
}

// finish passes the result on to the caller.
func (g *Gateway) finish(ctx context.Context, w http.ResponseWriter, q *request, result result) {
	switch {
	case ctx.Err() != nil && result.answer == nil:
		g.gone.Inc()
		g.log(q, 0, "caller left", nil)
		panic(http.ErrAbortHandler)
	case result.refused != nil:
		g.refuse(w, q, result.refused)
	default:
		g.log(q, result.answer.Status, "answered", nil)
		g.pass(w, q, result.answer)
	}
}

func (g *Gateway) refuse(w http.ResponseWriter, q *request, e *fault.Error) {
	g.log(q, fault.AnswerOf(e.Kind).Status, "refused", e)
	writeFault(w, q.id, e)
}

// log writes the one line of a request that tells what was decided, on which
// grounds.
func (g *Gateway) log(q *request, status int, outcome string, e *fault.Error) {
	took := g.options.Clock.Now().Sub(q.started)
	g.duration.Update(took.Seconds())
	metrics.GetOrCreateCounter(`sequoialane_gateway_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	fields := []zap.Field{
		zap.String("request_id", q.id), zap.String("host", q.host), zap.Uint64("version", q.version),
		zap.Int("status", status), zap.Duration("took", took), zap.Any("attempts", q.attempts),
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("kind", string(q.route.Kind)), zap.String("service", q.service))
	}
	if q.noRepeat != "" {
		fields = append(fields, zap.String("no_repeat", q.noRepeat))
	}
	if e != nil {
		fields = append(fields, zap.String("error_kind", string(e.Kind)), zap.String("effect", string(e.Effect)), zap.String("detail", e.Detail))
	}
	g.options.Log.Info("request "+outcome, fields...)
}
