package owner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/retry"
	"github.com/sequoialane/sequoialane/internal/schedule"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// TickInterval is how often Tick should be called.
const TickInterval = 100 * time.Millisecond

// Config holds what the aggregate needs from outside.
type Config struct {
	Service      string
	Region       string
	DataCentre   string // data centre of this entry; preferred among equal targets
	FloorPercent int    // floor of healthy slots in percent; 0: 50
	QueueLimit   int    // queued requests; 0: 10,000
	Clock        sys.Clock
	Rand         *rand.Rand // used under the lock of the aggregate only
}

// Service is the aggregate of one service in one region. All methods are safe
// for concurrent use, do no I/O and start no goroutine.
type Service struct {
	cfg Config

	mu       sync.Mutex
	registry *upstream.Registry
	targets  map[string]*target
	queue    *schedule.FairQueue
	tickets  map[uint64]*Ticket  // queued, by job
	attempts map[uint64]*attempt // in flight
	budget   retry.Budget
	lastID   uint64
}

// target is what the owner knows of a target beyond its record.
type target struct {
	inFlight int
}

// attempt is one attempt in flight.
type attempt struct {
	ticket  *Ticket
	address string
	started time.Time
	hedge   bool
}

// New returns the aggregate without targets.
func New(cfg Config) *Service {
	if cfg.Clock == nil || cfg.Rand == nil {
		panic("owner: clock and random numbers are required")
	}
	if cfg.FloorPercent == 0 {
		cfg.FloorPercent = 50
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 10_000
	}
	return &Service{
		cfg:      cfg,
		registry: upstream.NewRegistry(),
		targets:  map[string]*target{},
		queue:    schedule.NewFairQueue(),
		tickets:  map[uint64]*Ticket{},
		attempts: map[uint64]*attempt{},
	}
}

// Announce takes in the announcement of a target. An announcement of another
// service or region is rejected.
func (s *Service) Announce(a upstream.Announcement) upstream.ApplyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Service != s.cfg.Service || a.Region != s.cfg.Region {
		return upstream.Rejected
	}
	result := s.registry.Apply(a, s.cfg.Clock.Now())
	if result == upstream.Applied {
		s.target(a.Address)
		s.dispatch(s.cfg.Clock.Now())
	}
	return result
}

// Route returns the key under which sizes of the request are learned, and
// whether the request is idempotent.
func (s *Service) Route(method, path string) (route string, idempotent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Routes().Match(method, path)
}

// SetEjectionLease tells whether this entry may eject targets, and until when.
func (s *Service) SetEjectionLease(valid bool, until time.Time) {
}

func (s *Service) target(address string) *target {
	t, ok := s.targets[address]
	if !ok {
		t = &target{}
		s.targets[address] = t
	}
	return t
}

func (s *Service) nextID() uint64 {
	s.lastID++
	return s.lastID
}

func (s *Service) assertSlots(address string, slots, inFlight int) {
	if inFlight > slots {
		panic(fmt.Sprintf("owner: target %s has %d attempts on %d slots", address, inFlight, slots))
	}
}
