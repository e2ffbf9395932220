// Package workload predicts what a request costs: how long a target works on it and
// how many bytes its response has. It learns both from the outcomes of earlier
// requests of a service: by route, and within a route by tenant, by the size of the
// body and by the path. It does no I/O and reads no clock; a Model is not safe for
// concurrent use.
package workload

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// InitialRunTime and InitialBytes are assumed for a service without observations;
	// the bytes include the heads.
	InitialRunTime = 150 * time.Millisecond
	InitialBytes   = 2_000
	// headBytes is added to the observed length of a body for the heads of the request
	// and of the response, which cross the same links: about 400 bytes each.
	headBytes = 800
	// MaxRunTime and maxBytes bound observations. They come from other processes and
	// may be malformed, and one huge value must not decide over thousands of others.
	MaxRunTime = time.Hour
	maxBytes   = 64 << 20

	bytesPrior = 4
	maxSizes   = 50
	// keyPrior is the number of observations of a key that count as much as the
	// assumption that it does not differ from its route, and maxKey how many count.
	keyPrior = 8
	maxKey   = 200
	// minRouteCount is the number of observations of a route from which its keys learn.
	// Before, they would learn by what the first mean is wrong.
	minRouteCount = 30
	// usualPrior and maxUsual are the same for the mean factors of the requests.
	usualPrior = 2
	maxUsual   = 200
	// maxFactor bounds by how much a key differs from its route.
	maxFactor = 64.0
	// maxOutlier bounds an observation compared with the expectation of its key, so
	// that a straggler does not mark its key.
	maxOutlier = 8.0
	// maxRoutes and maxKeys bound the memory of a model, of which an entry has one for
	// each group of a service. Beyond it the least recently used are dropped. Keys are
	// counted for each kind, so that paths that are all different drop no tenants.
	maxRoutes = 256
	maxKeys   = 256
)

// The kinds of keys that refine the cost of a route.
const (
	byTenant = iota
	bySize
	byPath
	keyKinds
)

// The quantities that are predicted.
const (
	runTime = iota
	responseBytes
	quantities
)

// Request holds what the cost of a request is predicted from.
type Request struct {
	Route  string
	Tenant string // empty: none
	Bytes  int    // of the body; 0: none
	Path   uint32 // hash of the path segment after the prefix of the route; 0: none
}

// Cost is the expected cost of a request.
type Cost struct {
	// RunTime is the expected run time on a target of usual speed.
	RunTime time.Duration
	// Factor is the ratio of RunTime to the mean of the route.
	Factor float64
	// Bytes of the response, with the heads of request and response.
	Bytes float64
}

// Route is what a model has learned about a route. The distribution holds the run
// times of its requests, each divided by its Cost.Factor.
type Route struct {
	Distribution
	bytes  mean
	slopes [quantities][keyKinds]slope
	// usual holds the mean factors of the requests by kind of key. Factors are divided
	// by them; otherwise keys would keep a part of a change of the whole route.
	usual [quantities][keyKinds]mean
	used  uint64 // number of the last observation of the model with this route
}

// NewRoute returns a route without observations.
func NewRoute(runTime time.Duration, bytes float64) *Route {
	r := &Route{Distribution: Distribution{mean: mean{value: float64(runTime)}}, bytes: mean{value: bytes}}
	for quantity := range r.usual {
		for kind := range r.usual[quantity] {
			r.usual[quantity][kind].value = 1
		}
	}
	return r
}

// Bytes returns the mean bytes of a response of the route, with the heads.
func (r *Route) Bytes() float64 { return r.bytes.value }

// Observations returns the number of run times that the route rests on, at most
// about a thousand.
func (r *Route) Observations() int { return int(r.total) }

// key names the requests of a route that share a property.
type key struct {
	route string
	value uint64
}

// effects are the ratios by which the requests of a key differ from their route.
type effects [quantities]mean

// Model learns the costs of the requests of a service.
type Model struct {
	refine  bool
	routes  map[string]*Route
	service *Route // of all requests; its run times are not divided by a factor
	keys    [keyKinds]*simplelru.LRU[key, *effects]
	learned uint64 // observations
	dropped uint64 // keys and routes
}

// New returns a model without observations. If refine is false, it does not look
// beyond the route of a request.
func New(refine bool) *Model {
	m := &Model{refine: refine, routes: map[string]*Route{}, service: NewRoute(InitialRunTime, InitialBytes)}
	for kind := range m.keys {
		lru, err := simplelru.NewLRU[key, *effects](maxKeys, nil)
		if err != nil {
			panic("workload: the number of keys is not positive: " + err.Error())
		}
		m.keys[kind] = lru
	}
	return m
}

// Routes returns the routes of the model. The map must not be changed.
func (m *Model) Routes() map[string]*Route { return m.routes }

// Service returns the mean cost over all requests, as that of a route.
func (m *Model) Service() *Route { return m.service }

// Keys returns how many keys refine the costs of routes.
func (m *Model) Keys() int {
	total := 0
	for _, keys := range m.keys {
		total += keys.Len()
	}
	return total
}

// Dropped returns how many keys and routes were dropped because of their number.
func (m *Model) Dropped() uint64 { return m.dropped }

// RouteOf returns what is known of a route. A route without observations is
// expected to be like the service.
func (m *Model) RouteOf(name string) *Route {
	if r := m.routes[name]; r != nil {
		return r
	}
	return NewRoute(m.service.Mean(), m.service.Bytes())
}

// keysOf returns the keys of a request by kind, and which kinds there are.
func keysOf(r Request) (keys [keyKinds]key, present [keyKinds]bool) {
	if r.Bytes > 0 {
		keys[bySize] = key{r.Route, uint64(bits.Len(uint(r.Bytes)))}
		present[bySize] = true
	}
	if r.Tenant != "" {
		keys[byTenant] = key{r.Route, xxhash.Sum64String(r.Tenant)}
		present[byTenant] = true
	}
	if r.Path != 0 {
		keys[byPath] = key{r.Route, uint64(r.Path)}
		present[byPath] = true
	}
	return keys, present
}

// factors are the factors of a request by kind of key, and their product.
type factors struct {
	by    [keyKinds]float64
	total float64
}

// rawFactor returns the factor of a key as far as the predictions of its kind have come
// true.
func (r *Route) rawFactor(quantity, kind int, e *effects) float64 {
	return 1 + r.slopes[quantity][kind].value()*(e[quantity].value-1)
}

// factorsOf returns the factors of a request for a quantity.
func factorsOf(quantity int, route *Route, known *[keyKinds]*effects) factors {
	f := factors{total: 1}
	for kind, e := range known {
		f.by[kind] = 1
		if e != nil {
			f.by[kind] = route.rawFactor(quantity, kind, e) / route.usual[quantity][kind].value
		}
		f.total *= f.by[kind]
	}
	f.total = min(max(f.total, 1/maxFactor), maxFactor)
	return f
}

// Predict returns the expected cost of a request.
func (m *Model) Predict(r Request) Cost {
	route := m.RouteOf(r.Route)
	cost := Cost{RunTime: route.Mean(), Factor: 1, Bytes: route.Bytes()}
	if !m.refine {
		return cost
	}
	var known [keyKinds]*effects
	keys, present := keysOf(r)
	for kind, k := range keys {
		if present[kind] {
			known[kind], _ = m.keys[kind].Peek(k)
		}
	}
	cost.Factor = factorsOf(runTime, route, &known).total
	cost.RunTime = time.Duration(cost.Factor * float64(cost.RunTime))
	cost.Bytes *= factorsOf(responseBytes, route, &known).total
	return cost
}

// Observation is what was observed of a request.
type Observation struct {
	Request Request
	RunTime time.Duration // without the wait behind other requests
	// Slowness is the ratio of the run times of the target to those of others, as
	// known before; 1: it is as fast.
	Slowness float64
	Body     int64 // length of the body of the response; 0 or less: not known
}

// Learn adds an observation.
func (m *Model) Learn(o Observation) {
	m.learned++
	route := m.KeepRoute(o.Request.Route)
	route.used = m.learned
	var known [keyKinds]*effects
	if m.refine && route.total >= minRouteCount {
		known = m.touchKeys(o.Request)
	}
	slowness := min(max(o.Slowness, 1/maxFactor), maxFactor)
	took := float64(min(max(o.RunTime, 0), MaxRunTime)) / slowness
	f := learnEffects(runTime, route, &known, took/max(route.mean.value, 1))
	route.Learn(time.Duration(took / f))
	m.service.Learn(time.Duration(took))
	if o.Body <= 0 {
		return
	}
	bytes := float64(min(o.Body, maxBytes)) + headBytes
	f = learnEffects(responseBytes, route, &known, bytes/max(route.bytes.value, 1))
	route.bytes.learn(bytes/f, bytesPrior, maxSizes)
	m.service.bytes.learn(bytes, bytesPrior, maxSizes)
}

// learnEffects updates the effects of keys by the ratio of an observation to the
// mean of its route. Each effect learns what those of the other keys leave
// unexplained. It returns the factor that was expected.
func learnEffects(quantity int, route *Route, known *[keyKinds]*effects, ratio float64) float64 {
	f := factorsOf(quantity, route, known)
	for kind, e := range known {
		if e == nil {
			continue
		}
		effect := &e[quantity]
		own := min(ratio*f.by[kind]/f.total, maxOutlier*effect.value)
		route.usual[quantity][kind].learn(route.rawFactor(quantity, kind, e), usualPrior, maxUsual)
		route.slopes[quantity][kind].learn(effect.value-1, own-1)
		effect.learn(own, keyPrior, maxKey)
		effect.value = min(max(effect.value, 1/maxFactor), maxFactor)
	}
	return f.total
}

// KeepRoute returns a route, and adds it if it is not known.
func (m *Model) KeepRoute(name string) *Route {
	if r := m.routes[name]; r != nil {
		return r
	}
	return m.addRoute(name, m.service.Mean(), m.service.Bytes())
}

func (m *Model) addRoute(name string, runTime time.Duration, bytes float64) *Route {
	if len(m.routes) >= maxRoutes {
		oldest := ""
		for n, r := range m.routes {
			if oldest == "" || r.used < m.routes[oldest].used {
				oldest = n
			}
		}
		delete(m.routes, oldest)
		m.dropped++
	}
	r := NewRoute(runTime, bytes)
	r.used = m.learned
	m.routes[name] = r
	return r
}

// touchKeys returns the effects of the keys of a request and marks them as used.
func (m *Model) touchKeys(r Request) (known [keyKinds]*effects) {
	keys, present := keysOf(r)
	for kind, k := range keys {
		if !present[kind] {
			continue
		}
		e, ok := m.keys[kind].Get(k)
		if !ok {
			e = &effects{{value: 1}, {value: 1}}
			if m.keys[kind].Add(k, e) {
				m.dropped++
			}
		}
		known[kind] = e
	}
	return known
}

// Assume sets the cost of a route without observations, as learned elsewhere.
func (m *Model) Assume(name string, runTime time.Duration, bytes float64) {
	if r := m.routes[name]; r != nil && r.total > 0 {
		return
	}
	runTime = min(max(runTime, time.Millisecond), MaxRunTime)
	if !(bytes >= headBytes) { // also if it is not a number
		bytes = headBytes
	}
	delete(m.routes, name)
	m.addRoute(name, runTime, min(bytes, maxBytes))
}
