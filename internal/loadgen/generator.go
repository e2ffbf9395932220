package loadgen

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

const (
	idlePoll            = 10 * time.Millisecond // interval at which a stream of rate 0 checks its rate
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 512
	idleConnTimeout     = 30 * time.Second
	resendRandStream    = 5 // PCG stream of the random numbers that decide on resends
)

// Generator runs all streams.
type Generator struct {
	cfg       Config
	client    *http.Client
	resolvers map[string]*resolver // by service
	results   []*streamResult      // by index of the stream
	inFlight  atomic.Int64
	wg        sync.WaitGroup
}

// New returns a generator for the streams of cfg. Run starts it.
func New(cfg Config) *Generator {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	g := &Generator{cfg: cfg, client: &http.Client{Transport: transport}, resolvers: map[string]*resolver{}}
	for _, s := range cfg.Streams {
		g.results = append(g.results, newStreamResult(s.Name))
		if g.resolvers[s.Service] == nil {
			g.resolvers[s.Service] = &resolver{client: g.client, entries: cfg.Entries, service: s.Service, region: cfg.Region}
		}
	}
	return g
}

// Run sends the requests of all streams until the duration is over or ctx ends,
// and waits for their outcomes.
func (g *Generator) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Duration.Std())
	defer cancel()
	var arrivals sync.WaitGroup
	for i := range g.cfg.Streams {
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			g.generateArrivals(ctx, i)
		}()
	}
	arrivals.Wait()
	g.wg.Wait()
}

// generateArrivals starts the requests of a stream at exponentially distributed
// intervals. Latency counts from the planned time, so that it includes the delay
// of a late start.
func (g *Generator) generateArrivals(ctx context.Context, index int) {
	s := &g.cfg.Streams[index]
	rng := rand.New(rand.NewPCG(g.cfg.Seed, uint64(index)))
	start := time.Now()
	next := start
	for {
		rate := s.rateAt(next.Sub(start))
		if rate <= 0 {
			next = next.Add(idlePoll)
		} else {
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		if rate > 0 {
			p := plannedRequest{at: next, addressDraw: rng.Float64(), straggler: rng.Float64() < s.StragglerShare, seed: rng.Uint64()}
			// Resends have their own random generator, so that they do not
			// change the arrivals that a seed gives.
			p.resendDraw = rand.New(rand.NewPCG(p.seed, resendRandStream)).Float64()
			g.startRequest(s, g.results[index], p)
		}
	}
}

// plannedRequest holds what the arrival process decided about one request.
type plannedRequest struct {
	at          time.Time
	addressDraw float64 // from 0 to 1; selects the address by weight
	straggler   bool
	seed        uint64  // of the body
	resendDraw  float64 // from 0 to 1; the request is sent again if below ResendShare
}

// startRequest sends a request in its own goroutine, or counts it as dropped if
// too many are in flight.
func (g *Generator) startRequest(s *Stream, r *streamResult, p plannedRequest) {
	if g.inFlight.Load() >= int64(g.cfg.MaxInFlight) {
		r.recordDropped()
		return
	}
	g.inFlight.Add(1)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer g.inFlight.Add(-1)
		id := uuid.Must(uuid.NewV7()).String()
		key := ""
		if s.Keyed {
			key = uuid.Must(uuid.NewV7()).String()
		}
		o := g.send(s, p, id, key)
		if key != "" && p.resendDraw < s.ResendShare {
			o = g.resend(s, p, id, key, o)
		}
		r.record(o, key, p)
	}()
}
