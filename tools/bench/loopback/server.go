package loopback

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

const maxWaiting = 200 // queue length at which a target sheds further requests

// server is a stub upstream with a number of slots. Requests queue in order of
// arrival while all slots are in use.
type server struct {
	engine    *Engine
	index     int
	address   string
	http      *http.Server
	slots     chan struct{}
	waiting   atomic.Int64 // queued requests
	probeTime atomic.Int64 // service time spent on probes, in ns

	mu     sync.Mutex
	random *rand.Rand
}

func startServer(e *Engine, index int, seed uint64) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("bench: " + err.Error())
	}
	s := &server{
		engine:  e,
		index:   index,
		address: listener.Addr().String(),
		slots:   make(chan struct{}, e.spec.Slots),
		random:  rand.New(rand.NewPCG(seed, uint64(index)+100)),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s
}

func (s *server) fault() fleet.FaultKind {
	return s.engine.faults.At(s.index, time.Since(s.engine.start))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.waiting.Add(1) > maxWaiting {
		s.waiting.Add(-1)
		w.Header().Set("X-Shed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	status := s.process(r)
	<-s.slots
	if s.fault() == fleet.OneWay && r.Header.Get(headerPeer) != "true" {
		s.sleep(r.Context(), s.remainingFault())
	}
	w.WriteHeader(status)
}

// process waits for the service time of the request, as changed by the current
// fault, and returns the response status. The caller holds a slot.
func (s *server) process(r *http.Request) int {
	serviceTime, err := strconv.ParseInt(r.Header.Get(headerServiceTime), 10, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	took := time.Duration(serviceTime)
	status := http.StatusOK
	switch s.fault() {
	case fleet.Slow:
		took *= fleet.SlowFactor
	case fleet.Silent:
		took += s.remainingFault()
	case fleet.HalfErrors:
		if s.randomFloat() < fleet.ErrorRate {
			took = time.Duration(float64(took) * fleet.ErrorTimeFactor)
			status = http.StatusInternalServerError
		}
	}
	began := time.Now()
	s.sleep(r.Context(), took)
	if r.Header.Get(headerProbe) == "true" {
		s.probeTime.Add(int64(time.Since(began)))
	}
	return status
}

func (s *server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// remainingFault returns the time until the current fault ends.
func (s *server) remainingFault() time.Duration {
	at := time.Since(s.engine.start)
	return s.engine.faults.EndsAt(s.index, at) - at
}

// sleep returns after d, or earlier when the context is done.
func (s *server) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
