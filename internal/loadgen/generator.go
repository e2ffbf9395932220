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
	idlePoll       = 10 * time.Millisecond // while a stream has rate 0
	dialTimeout    = time.Second
	maxIdlePerHost = 512
	connectionIdle = 30 * time.Second
	resendStream   = 5 // of the random numbers that decide on resends
)

// Generator runs all streams.
type Generator struct {
	cfg       Config
	client    *http.Client
	resolvers map[string]*resolver // by service
	results   []*result            // for each stream
	inFlight  atomic.Int64
	wg        sync.WaitGroup
}

// New returns a generator that has sent nothing.
func New(cfg Config) *Generator {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     connectionIdle,
		DisableCompression:  true,
	}
	g := &Generator{cfg: cfg, client: &http.Client{Transport: transport}, resolvers: map[string]*resolver{}}
	for _, s := range cfg.Streams {
		g.results = append(g.results, newResult(s.Name))
		if g.resolvers[s.Service] == nil {
			g.resolvers[s.Service] = &resolver{client: g.client, entries: cfg.Entries, service: s.Service, region: cfg.Region}
		}
	}
	return g
}

// Run sends all streams until the duration is over or ctx ends, and waits for
// the answers.
func (g *Generator) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Duration.Std())
	defer cancel()
	var arrivals sync.WaitGroup
	for i := range g.cfg.Streams {
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			g.arrive(ctx, i)
		}()
	}
	arrivals.Wait()
	g.wg.Wait()
}

// arrive starts the requests of a stream at exponential intervals. Latency
// counts from the planned time, so a late start is not hidden.
func (g *Generator) arrive(ctx context.Context, index int) {
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
			p := planned{at: next, pick: rng.Float64(), straggler: rng.Float64() < s.StragglerShare, seed: rng.Uint64()}
			// A generator of its own keeps the arrivals of a seed as they were
			// before resends existed.
			p.resend = rand.New(rand.NewPCG(p.seed, resendStream)).Float64()
			g.launch(s, g.results[index], p)
		}
	}
}

// planned is one request as the arrival process decided it.
type planned struct {
	at        time.Time
	pick      float64 // which address, by weight
	straggler bool
	seed      uint64 // of the body
	resend    float64
}

func (g *Generator) launch(s *Stream, r *result, p planned) {
	if g.inFlight.Load() >= int64(g.cfg.MaxInFlight) {
		r.drop()
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
		if key != "" && p.resend < s.ResendShare {
			o = g.resend(s, p, id, key, o)
		}
		r.add(o, key, p)
	}()
}
