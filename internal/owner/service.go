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

	defaultFloorPercent   = 50
	defaultQueueLimit     = 10_000
	leaseMargin           = time.Second // ejections end this long before the ejection lease expires
	warmSequenceThreshold = 5           // a target that is new to this owner counts as warm above this announcement sequence
	pruneInterval         = 10 * time.Second
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	Service      string
	Region       string
	DataCentre   string // data centre of this entry; its targets are preferred among equal ones
	FloorPercent int    // share of the announced slots that ejections must leave, in percent; 0: 50
	QueueLimit   int    // maximum number of queued requests; 0: 10,000
	Clock        sys.Clock
	Rand         *rand.Rand // used only while Service.mu is held
}

// Service holds the targets, the queue and the slots of one service in one
// region. All methods are safe for concurrent use, do no I/O and start no
// goroutines.
type Service struct {
	cfg     Config
	metrics *serviceMetrics

	mu           sync.Mutex
	registry     *upstream.Registry
	targets      []*target // sorted by address
	queue        *schedule.FairQueue
	estimates    *schedule.TimeEstimates
	rates        *schedule.Rates
	retryBudget  retry.Budget
	tickets      map[uint64]*Ticket  // queued requests, by job id
	attempts     map[uint64]*attempt // in flight, by id
	probes       map[uint64]*probe   // in flight, by id
	actions      []Action            // returned by the next Tick
	lastID       uint64
	longInFlight int // attempts in flight that count as long requests
	leaseValid   bool
	leaseUntil   time.Time
	passive      bool
	nextPruneAt  time.Time
	lastTickAt   time.Time
	fullProbes   fullProbeTracker
}

// target is a target with its health, its limit and its slot usage.
type target struct {
	record          upstream.Target
	health          health.Target
	limit           schedule.Limit
	inFlight        int // attempts, and probes that hold a slot
	endedAttempts   int // attempts that have ended so far
	probeCredit     time.Duration
	creditUpdatedAt time.Time
	// backoffUntil is the end of the time after a failed connection in which
	// requests wait for other targets instead of using this one.
	backoffUntil time.Time
	// postponedUntil is the end of the time for which the target wants no request.
	postponedUntil time.Time
	// fullProbeTimedOutAt is the last time at which a probe was slow or timed out
	// while all slots were in use. It is zero if there was none.
	fullProbeTimedOutAt time.Time
}

// attempt is one attempt in flight.
type attempt struct {
	ticket              *Ticket
	target              *target
	estimate            schedule.TimeEstimate
	started             time.Time
	hedge               bool
	trial               bool
	countsAsLong        bool          // counts as a long request
	firstSlow           bool          // first slow attempt of its request
	goodResponsesBefore int           // good responses of the target before the attempt started
	ownerStopped        time.Duration // time in which the owner process was stopped during the attempt
}

// New returns a Service without targets. It panics without a clock or random
// numbers.
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
		cfg:       cfg,
		metrics:   newServiceMetrics(cfg.Service, cfg.Region),
		registry:  upstream.NewRegistry(),
		queue:     schedule.NewFairQueue(),
		estimates: schedule.NewTimeEstimates(),
		rates:     schedule.NewRates(),
		tickets:   map[uint64]*Ticket{},
		attempts:  map[uint64]*attempt{},
		probes:    map[uint64]*probe{},
	}
}

// ApplyAnnouncement applies the announcement of a target. It rejects an
// announcement for another service or region.
func (s *Service) ApplyAnnouncement(a upstream.Announcement) upstream.ApplyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Service != s.cfg.Service || a.Region != s.cfg.Region {
		return upstream.Rejected
	}
	now := s.cfg.Clock.Now()
	before := s.registry.Availability(a.Address, now)
	result := s.registry.Apply(a, now)
	renewed := result == upstream.Renewed || result == upstream.Applied
	if t := s.findTarget(a.Address); t != nil && renewed && before == upstream.LastResort {
		t.health.RenewLease(now)
	}
	if result != upstream.Applied {
		return result
	}
	s.updateTarget(a, now)
	s.decideEjections(now)
	s.grantFreeSlots(now)
	return result
}

func (s *Service) updateTarget(a upstream.Announcement, now time.Time) {
	record, ok := s.registry.Target(a.Address)
	if !ok {
		return // the target has deregistered
	}
	t := s.findTarget(a.Address)
	if t == nil {
		t = &target{record: record, creditUpdatedAt: now}
		t.limit.Start(a.Slots, a.Sequence > warmSequenceThreshold)
		s.targets = append(s.targets, t)
		sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].record.Address < s.targets[j].record.Address })
		return
	}
	if record.Incarnation != t.record.Incarnation {
		t.health.Restart(now)
		t.postponedUntil = time.Time{}
		t.limit.Start(a.Slots, false)
	}
	t.record = record
}

func (s *Service) findTarget(address string) *target {
	i := sort.Search(len(s.targets), func(i int) bool { return s.targets[i].record.Address >= address })
	if i < len(s.targets) && s.targets[i].record.Address == address {
		return s.targets[i]
	}
	return nil
}

// Route returns the key under which the times of such requests are learned, and
// whether they are idempotent.
func (s *Service) Route(method, path string) (route string, idempotent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Routes().Match(method, path)
}

// SetEjectionLease sets whether this entry may eject targets, and until when.
func (s *Service) SetEjectionLease(valid bool, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseValid = valid
	s.leaseUntil = until
	s.decideEjections(s.cfg.Clock.Now())
}

// SetActive sets whether this entry ranks first for the service. A passive
// Service keeps its records but requests no probes.
func (s *Service) SetActive(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passive = !active
}

// holdsLease reports whether this entry may eject targets now.
func (s *Service) holdsLease(now time.Time) bool {
	return s.leaseValid && now.Before(s.leaseUntil.Add(-leaseMargin))
}

func (s *Service) nextID() uint64 {
	s.lastID++
	return s.lastID
}
