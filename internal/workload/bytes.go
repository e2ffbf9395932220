// Package workload predicts what a request costs: how long a target works on it
// and how many bytes its response has. It learns both from the outcomes of earlier
// requests. It does no I/O and reads no clock.
package workload

const (
	// InitialBytes is assumed for the response of a service without observations,
	// with its head.
	InitialBytes = 2_000
	// headBytes is added to the observed length of a body for the head of the response.
	headBytes = 400
	// maxBytes bounds an observation. It comes from another process and may be
	// malformed, and one huge response must not decide over thousands of others.
	maxBytes = 64 << 20
	// meanWeight is the least weight of a new observation in a mean.
	meanWeight = 0.02
	// priorCount is the weight of the assumed value of a mean, in observations.
	priorCount = 4
)

// mean is a moving average. The first observations share its weight with the value
// that is assumed before them.
type mean struct {
	value float64
	count float64 // observations, up to 1/meanWeight
}

// learn adds an observation. The mean starts with assumed.
func (m *mean) learn(value, assumed float64) {
	if m.count == 0 {
		m.value = assumed
	}
	m.count = min(m.count+1, 1/meanWeight-priorCount)
	m.value += (value - m.value) / (m.count + priorCount)
}

// or returns the mean, or assumed without observations.
func (m *mean) or(assumed float64) float64 {
	if m.count == 0 {
		return assumed
	}
	return m.value
}

// Bytes learns the sizes of the responses of a service. The zero value has no
// observations.
type Bytes struct {
	service mean
	routes  map[string]*mean
}

// Mean returns the expected bytes of a response of the route, with its head. A
// route without observations has the value of the service.
func (b *Bytes) Mean(route string) float64 {
	service := b.service.or(InitialBytes)
	if m := b.routes[route]; m != nil {
		return m.or(service)
	}
	return service
}

// Learn adds the length of the body of a response. A length of 0 or less is not
// known.
func (b *Bytes) Learn(route string, body int64) {
	if body <= 0 {
		return
	}
	observed := float64(min(body, maxBytes)) + headBytes
	m := b.routes[route]
	if m == nil {
		if b.routes == nil {
			b.routes = map[string]*mean{}
		}
		m = &mean{}
		b.routes[route] = m
	}
	m.learn(observed, b.service.or(InitialBytes))
	b.service.learn(observed, InitialBytes)
}
