package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// learnMany adds observations of requests of two tenants, of which the second one has
// factor times the run time and the bytes, and bodies and paths that set chooses.
func learnMany(m *Model, count int, factor float64, set func(r *Request, heavy bool, random *rand.Rand)) {
	random := rand.New(rand.NewPCG(1, 1))
	for n := range count {
		heavy := n%5 == 0
		r := Request{Route: "c", Tenant: "light"}
		took, bytes := 100*time.Millisecond, 1000.0
		if heavy {
			r.Tenant = "heavy"
			took, bytes = time.Duration(factor*float64(took)), factor*bytes
		}
		set(&r, heavy, random)
		noise := 0.5 + random.Float64()
		m.Learn(Observation{Request: r, RunTime: time.Duration(noise * float64(took)), Slowness: 1, Body: int64(noise * bytes)})
	}
}

// Guards against a tenant, a size and a path that go together and are each taken for
// the whole difference, and against costs of one property that spoil those of another.
func TestKeysThatGoTogether(t *testing.T) {
	m := New(true)
	learnMany(m, 2000, 6, func(r *Request, heavy bool, _ *rand.Rand) {
		r.Bytes, r.Path = 100, 1
		if heavy {
			r.Bytes, r.Path = 50_000, 2
		}
	})
	light := m.Predict(Request{Route: "c", Tenant: "light", Bytes: 100, Path: 1})
	heavy := m.Predict(Request{Route: "c", Tenant: "heavy", Bytes: 50_000, Path: 2})
	assert.InEpsilon(t, float64(100*time.Millisecond), float64(light.RunTime), 0.15)
	assert.InEpsilon(t, float64(600*time.Millisecond), float64(heavy.RunTime), 0.15)
	assert.InEpsilon(t, 1000+headBytes, light.Bytes, 0.2)
	assert.InEpsilon(t, 6000+headBytes, heavy.Bytes, 0.2)
}

// Guards against keys that are new together with their route, and keep a part of what the
// first mean was wrong by.
func TestKeysAsNewAsTheirRoute(t *testing.T) {
	m := New(true)
	r := Request{Route: "c", Tenant: "a", Bytes: 100, Path: 1}
	learn := func(count int) {
		for range count {
			m.Learn(Observation{Request: r, RunTime: InitialRunTime / 10, Slowness: 1, Body: 20 * InitialBytes})
		}
	}
	learn(100)
	assert.InEpsilon(t, float64(InitialRunTime/10), float64(m.Predict(r).RunTime), 0.15)
	assert.InEpsilon(t, 20*InitialBytes, m.Predict(r).Bytes, 0.15)
	learn(2900)
	assert.InEpsilon(t, float64(InitialRunTime/10), float64(m.RouteOf("c").Mean()), 0.15)
	assert.InEpsilon(t, 20*InitialBytes, m.RouteOf("c").Bytes(), 0.15)
}

// Guards against keys with few observations, or without meaning, that are believed.
func TestFewObservationsShrinkToRoute(t *testing.T) {
	m := New(true)
	learnMany(m, 1000, 1, func(r *Request, _ bool, random *rand.Rand) { r.Tenant = fmt.Sprint(random.IntN(200)) })
	route := m.RouteOf("c").Mean()
	for n := range 200 {
		assert.InEpsilon(t, float64(route), float64(m.Predict(Request{Route: "c", Tenant: fmt.Sprint(n)}).RunTime), 0.15)
	}
	m.Learn(Observation{Request: Request{Route: "c", Tenant: "new"}, RunTime: 20 * time.Second, Slowness: 1})
	assert.InEpsilon(t, float64(m.RouteOf("c").Mean()), float64(m.Predict(Request{Route: "c", Tenant: "new"}).RunTime), 1, "after one straggler")
}

// Guards against memory that grows with the number of tenants, paths or routes, and
// against one-time paths that push out what is known of tenants.
func TestOverflowOfKeys(t *testing.T) {
	m := New(true)
	learnMany(m, 2000, 6, func(r *Request, _ bool, random *rand.Rand) { r.Path = random.Uint32() })
	assert.LessOrEqual(t, m.Keys(), keyKinds*maxKeys)
	assert.Greater(t, m.Dropped(), uint64(1000))
	heavy, light := m.Predict(Request{Route: "c", Tenant: "heavy"}), m.Predict(Request{Route: "c", Tenant: "light"})
	assert.InEpsilon(t, 6, float64(heavy.RunTime)/float64(light.RunTime), 0.2)
	for n := range 10_000 {
		m.Learn(Observation{Request: Request{Route: fmt.Sprint(n), Tenant: fmt.Sprint(n), Path: uint32(n)}, RunTime: time.Second, Slowness: 1})
	}
	assert.LessOrEqual(t, m.Keys(), keyKinds*maxKeys)
	assert.LessOrEqual(t, len(m.Routes()), maxRoutes)
}

// Guards against a route whose long responses are taken for typical ones, and against
// one route that takes over the size of another.
func TestBytesByRoute(t *testing.T) {
	m := New(false)
	assert.InDelta(t, InitialBytes, m.Predict(Request{Route: "download"}).Bytes, 0)
	for range 200 {
		m.Learn(Observation{Request: Request{Route: "download"}, Body: 90_000})
		m.Learn(Observation{Request: Request{Route: "order"}, Body: 5_000})
	}
	assert.InEpsilon(t, 90_000, m.Predict(Request{Route: "download"}).Bytes, 0.1)
	assert.InEpsilon(t, 5_000+headBytes, m.Predict(Request{Route: "order"}).Bytes, 0.1)
	unknown := m.Predict(Request{Route: "unknown"}).Bytes
	assert.True(t, unknown > 5_000 && unknown < 90_000, "the value of the service: %v", unknown)
}

// Guards against malformed or extreme observations of other processes that spoil the
// predictions.
func TestMalformedObservations(t *testing.T) {
	m := New(true)
	inRange := func(c Cost) bool {
		return c.RunTime >= 0 && c.RunTime <= maxFactor*MaxRunTime && c.Bytes >= 0 && c.Bytes <= maxFactor*(maxBytes+headBytes) &&
			c.Factor >= 1/maxFactor && c.Factor <= maxFactor
	}
	for _, took := range []time.Duration{0, -1, math.MinInt64, math.MaxInt64, time.Second} {
		for _, slowness := range []float64{0, -1, 1, math.Inf(1)} {
			for _, body := range []int64{0, -1, math.MinInt64, math.MaxInt64} {
				r := Request{Route: "c", Tenant: "a", Bytes: -5, Path: 1}
				m.Learn(Observation{Request: r, RunTime: took, Slowness: slowness, Body: body})
				assert.True(t, inRange(m.Predict(r)), "%v %v %v: %+v", took, slowness, body, m.Predict(r))
				remaining := m.RouteOf("c").Remaining(took)
				assert.True(t, remaining >= 0, "%v", remaining)
			}
		}
	}
	for _, bytes := range []float64{math.NaN(), math.Inf(1), -1} {
		m.Assume("d", -1, bytes)
		assert.True(t, inRange(m.Predict(Request{Route: "d"})), "%v", bytes)
	}
}

// Guards against a remaining time that does not follow from the distribution: it falls
// while requests run up to their usual time, and is long for stragglers.
func TestRemaining(t *testing.T) {
	d := &NewRoute(InitialRunTime, InitialBytes).Distribution
	for n := range 5000 {
		took := time.Duration(100+n%100) * time.Millisecond
		if n%50 == 0 {
			took = 5 * time.Second
		}
		d.Learn(took)
	}
	assert.InEpsilon(t, float64(246*time.Millisecond), float64(d.Remaining(0)), 0.15, "the mean")
	assert.InEpsilon(t, float64(146*time.Millisecond), float64(d.Remaining(100*time.Millisecond)), 0.2)
	assert.Greater(t, d.Remaining(time.Second), 2*time.Second)
	assert.Positive(t, d.Remaining(time.Hour))
}
