package owner

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/retry"
	"github.com/sequoialane/sequoialane/internal/schedule"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

const (
	// TickInterval is how often Tick should be called.
	TickInterval = 100 * time.Millisecond

	defaultFloorPercent = 50
	defaultQueueLimit   = 10_000
	leaseMargin         = time.Second // ejections end this long before the lease
	warmSequence        = 5           // announcements after which a target that is new to this owner counts as warm
	pruneInterval       = 10 * time.Second
)

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
	cfg     Config
	metrics *serviceMetrics

	mu         sync.Mutex
	registry   *upstream.Registry
	targets    []*target // in order of address
	queue      *schedule.FairQueue
	sizes      *schedule.Sizes
	rates      *schedule.Rates
	budget     retry.Budget
	tickets    map[uint64]*Ticket  // queued, by job
	attempts   map[uint64]*attempt // in flight
	probes     map[uint64]*probe   // under way
	actions    []Action            // for the next Tick
	lastID     uint64
	long       int // attempts in flight that count as long
	leaseValid bool
	leaseUntil time.Time
	passive    bool
	pruneAt    time.Time
	tickedAt   time.Time
	fullProbes fullProbes
}

// target is what the owner knows of a target beyond its record.
type target struct {
	record      upstream.Target
	health      health.Target
	limit       schedule.Limit
	inFlight    int // attempts, and probes that hold a slot
	ended       int // attempts so far
	probeCredit time.Duration
	creditAt    time.Time
	// refusedUntil is the end of a short time after a failed connection in
	// which requests wait for other targets rather than use this one.
	refusedUntil time.Time
	// lateFullProbe is when a probe last got no answer in time while all slots
	// were in use.
	lateFullProbe time.Time
}

// attempt is one attempt in flight.
type attempt struct {
	ticket  *Ticket
	target  *target
	size    schedule.Size
	started time.Time
	hedge   bool
	trial   bool
	long    bool          // counts as long work
	overdue bool          // it is the first attempt of its request to be slow
	goods   int           // good answers of the target before it started
	stopped time.Duration // while the owner itself was stopped
}

// New returns the aggregate without targets.
func New(cfg Config) *Service {
	if cfg.Clock == nil || cfg.Rand == nil {
		panic("owner: clock and random numbers are required")
	}
	if cfg.FloorPercent == 0 {
		cfg.FloorPercent = defaultFloorPercent
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	return &Service{
		cfg:      cfg,
		metrics:  newServiceMetrics(cfg.Service, cfg.Region),
		registry: upstream.NewRegistry(),
		queue:    schedule.NewFairQueue(),
		sizes:    schedule.NewSizes(),
		rates:    schedule.NewRates(),
		tickets:  map[uint64]*Ticket{},
		attempts: map[uint64]*attempt{},
		probes:   map[uint64]*probe{},
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
	now := s.cfg.Clock.Now()
	result := s.registry.Apply(a, now)
	if result != upstream.Applied {
		return result
	}
	s.updateTarget(a, now)
	s.decideEjections(now)
	s.dispatch(now)
	return result
}

func (s *Service) updateTarget(a upstream.Announcement, now time.Time) {
	record, ok := s.registry.Target(a.Address)
	if !ok {
		return // the target has left
	}
	t := s.find(a.Address)
	if t == nil {
		t = &target{record: record, creditAt: now}
		t.limit.Start(a.Slots, a.Sequence > warmSequence)
		s.targets = append(s.targets, t)
		sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].record.Address < s.targets[j].record.Address })
		return
	}
	if record.Incarnation != t.record.Incarnation {
		t.health.Restart(now)
		t.limit.Start(a.Slots, false)
	}
	t.record = record
}

func (s *Service) find(address string) *target {
	i := sort.Search(len(s.targets), func(i int) bool { return s.targets[i].record.Address >= address })
	if i < len(s.targets) && s.targets[i].record.Address == address {
		return s.targets[i]
	}
	return nil
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseValid = valid
	s.leaseUntil = until
	s.decideEjections(s.cfg.Clock.Now())
}

// SetActive tells whether this entry ranks first for the service. A passive
// aggregate keeps its records and asks for no probes.
func (s *Service) SetActive(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passive = !active
}

func (s *Service) holdsLease(now time.Time) bool {
	return s.leaseValid && now.Before(s.leaseUntil.Add(-leaseMargin))
}

func (s *Service) nextID() uint64 {
	s.lastID++
	return s.lastID
}
