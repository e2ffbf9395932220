package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load is an open-loop arrival process.
type Load interface {
	// Next returns the next request in order of arrival, or nil after the last one.
	Next() *Request
	Duration() time.Duration
}

// PlanLoad is the share of one plan in the arrivals.
type PlanLoad struct {
	Plan   string
	Weight int
	Share  float64 // of the arrivals, from 0 to 1
}

// Mix describes the requests of a load.
type Mix struct {
	ServiceTime     time.Duration // median of requests to the short route
	LogStdDev       float64       // standard deviation of ln(service time)
	LongShare       float64       // share of requests to the long route
	LongFactor      float64       // service time on the long route relative to the short one
	StragglerShare  float64       // share of requests that are stragglers
	StragglerFactor float64       // service time of a straggler relative to other requests
	IdempotentShare float64       // share of requests that are idempotent
	Timeout         time.Duration // from arrival to deadline
	Plans           []PlanLoad
}

// MeanServiceTime returns the mean service time over all requests.
func (m Mix) MeanServiceTime() time.Duration {
	mean := m.ServiceTime.Seconds() * math.Exp(m.LogStdDev*m.LogStdDev/2)
	mean *= 1 - m.LongShare + m.LongShare*m.LongFactor
	mean *= 1 - m.StragglerShare + m.StragglerShare*m.StragglerFactor
	return time.Duration(mean * float64(time.Second))
}

// Generator is a Load of Poisson arrivals with a rate that varies over time.
type Generator struct {
	mix      Mix
	rate     func(at time.Duration) float64 // requests per second
	duration time.Duration
	entries  int // number of entries that receive requests
	random   *rand.Rand
	at       time.Duration // offset of the last arrival
	count    int           // of requests generated
}

// NewGenerator returns the load of a service. The factor gives the offered load
// over time as a multiple of the capacity of all targets.
func NewGenerator(spec Spec, mix Mix, factor func(time.Duration) float64, duration time.Duration, seed uint64) *Generator {
	capacity := float64(spec.Targets*spec.Slots) / mix.MeanServiceTime().Seconds()
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
		Idempotent: g.random.Float64() < g.mix.IdempotentShare,
		Entry:      g.random.IntN(g.entries),
		Offset:     g.at,
		Timeout:    g.mix.Timeout,
	}
	serviceTime := g.mix.ServiceTime.Seconds() * math.Exp(g.random.NormFloat64()*g.mix.LogStdDev)
	if g.random.Float64() < g.mix.LongShare {
		r.Long = true
		r.Route = "GET /reports"
		serviceTime *= g.mix.LongFactor
	}
	if g.random.Float64() < g.mix.StragglerShare {
		r.Straggler = true
		serviceTime *= g.mix.StragglerFactor
	}
	if !r.Idempotent {
		r.Route = "POST" + r.Route[len("GET"):]
	}
	r.ServiceTime = time.Duration(serviceTime * float64(time.Second))
	g.choosePlan(r)
	return r
}

func (g *Generator) choosePlan(r *Request) {
	draw := g.random.Float64()
	for _, p := range g.mix.Plans {
		r.Plan, r.Weight = p.Plan, p.Weight
		if draw < p.Share {
			return
		}
		draw -= p.Share
	}
}

// Constant returns a factor that does not change over time.
func Constant(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// Surge returns a factor that rises linearly from low to high within the second
// after from, and drops back to low after length.
func Surge(low, high float64, from, length time.Duration) func(time.Duration) float64 {
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
