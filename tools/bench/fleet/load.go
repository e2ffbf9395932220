package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load is an open-loop arrival process.
type Load interface {
	// Next returns the next request, or nil after the last one.
	Next() *Request
	Duration() time.Duration
}

// PlanLoad is the part of one plan in the arrivals.
type PlanLoad struct {
	Plan   string
	Weight int
	Part   float64 // of the arrivals
}

// Mix describes the requests of a load.
type Mix struct {
	Short         time.Duration // median service time of short work
	Spread        float64       // standard deviation of ln(service time)
	LongPart      float64       // part of requests of the long route
	LongFactor    float64       // median service time of long work by that of short work
	StragglerPart float64       // part of requests that are stragglers
	StragglerTime float64       // service time of a straggler by that of others
	Idempotent    float64       // part of requests
	Patience      time.Duration // from arrival to deadline
	Plans         []PlanLoad
}

// Mean returns the mean service time.
func (m Mix) Mean() time.Duration {
	mean := m.Short.Seconds() * math.Exp(m.Spread*m.Spread/2)
	mean *= 1 - m.LongPart + m.LongPart*m.LongFactor
	mean *= 1 - m.StragglerPart + m.StragglerPart*m.StragglerTime
	return time.Duration(mean * float64(time.Second))
}

// Generator is a Load of Poisson arrivals whose rate follows a curve.
type Generator struct {
	mix      Mix
	rate     func(at time.Duration) float64 // requests per second
	duration time.Duration
	entries  int
	random   *rand.Rand
	at       time.Duration
	count    int
}

// NewGenerator returns the load for a service: factor gives the offered slot
// time by the slots of all targets.
func NewGenerator(spec Spec, mix Mix, factor func(time.Duration) float64, duration time.Duration, seed uint64) *Generator {
	capacity := float64(spec.Targets*spec.Slots) / mix.Mean().Seconds()
	return &Generator{
		mix:      mix,
		rate:     func(at time.Duration) float64 { return capacity * factor(at) },
		duration: duration,
		entries:  spec.Entries,
		random:   rand.New(rand.NewPCG(seed, 1)),
	}
}

// Duration implements Load.
func (g *Generator) Duration() time.Duration { return g.duration }

// Next implements Load.
func (g *Generator) Next() *Request {
	gap := g.random.ExpFloat64() / max(g.rate(g.at), 1e-3)
	g.at += time.Duration(gap * float64(time.Second))
	if g.at >= g.duration {
		return nil
	}
	g.count++
	r := &Request{
		ID:         g.count,
		Route:      "GET /lookups",
		Idempotent: g.random.Float64() < g.mix.Idempotent,
		Entry:      g.random.IntN(g.entries),
		Offset:     g.at,
		Patience:   g.mix.Patience,
	}
	size := g.mix.Short.Seconds() * math.Exp(g.random.NormFloat64()*g.mix.Spread)
	if g.random.Float64() < g.mix.LongPart {
		r.Long = true
		r.Route = "GET /reports"
		size *= g.mix.LongFactor
	}
	if g.random.Float64() < g.mix.StragglerPart {
		r.Straggler = true
		size *= g.mix.StragglerTime
	}
	if !r.Idempotent {
		r.Route = "POST" + r.Route[len("GET"):]
	}
	r.Size = time.Duration(size * float64(time.Second))
	g.choosePlan(r)
	return r
}

func (g *Generator) choosePlan(r *Request) {
	draw := g.random.Float64()
	for _, p := range g.mix.Plans {
		r.Plan, r.Weight = p.Plan, p.Weight
		if draw < p.Part {
			return
		}
		draw -= p.Part
	}
}

// Steady returns a constant factor.
func Steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// Swing returns a factor that rises from low to high within a second from the
// given time, and back after the length.
func Swing(low, high float64, from, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at < from || at >= from+length:
			return low
		case at < from+time.Second:
			return low + (high-low)*(at-from).Seconds()
		default:
			return high
		}
	}
}
