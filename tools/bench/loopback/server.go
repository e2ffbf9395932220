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

const maxWaiting = 200 // requests that wait at a target before it sheds

// server is a stand-in upstream: slots, and a queue in order of arrival.
type server struct {
	engine    *Engine
	index     int
	address   string
	http      *http.Server
	slots     chan struct{}
	waiting   atomic.Int64
	probeTime atomic.Int64

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
	status := s.work(r)
	<-s.slots
	if s.fault() == fleet.OneWay && r.Header.Get(headerPeer) != "true" {
		s.wait(r.Context(), s.faultLeft())
	}
	w.WriteHeader(status)
}

// work holds a slot for the service time and returns the status.
func (s *server) work(r *http.Request) int {
	size, err := strconv.ParseInt(r.Header.Get(headerSize), 10, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	took := time.Duration(size)
	status := http.StatusOK
	switch s.fault() {
	case fleet.Slow:
		took *= fleet.SlowFactor
	case fleet.Silent:
		took += s.faultLeft()
	case fleet.HalfErrors:
		if s.draw() < fleet.ErrorRate {
			took = time.Duration(float64(took) * fleet.ErrorTimeFactor)
			status = http.StatusInternalServerError
		}
	}
	began := time.Now()
	s.wait(r.Context(), took)
	if r.Header.Get(headerProbe) == "true" {
		s.probeTime.Add(int64(time.Since(began)))
	}
	return status
}

func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *server) faultLeft() time.Duration {
	at := time.Since(s.engine.start)
	return s.engine.faults.EndsAt(s.index, at) - at
}

func (s *server) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
