package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Times of the service table.
const (
	unrankedTime = time.Minute // a service is dropped if this entry ranks neither first nor second for this long
	maxServices  = 10_000      // bounds what announcements of made-up services can hold
	recordTime   = upstream.Lease + upstream.MassExpiryTime
)

// services holds the aggregates of the services of this region that this entry
// ranks first or second for.
type services struct {
	region     string
	dataCentre string
	floor      int // percent
	clock      sys.Clock

	mu     sync.Mutex
	byName map[string]*slot
}

// slot is the aggregate of one service, with the records to hand over to the
// next owner.
type slot struct {
	name    string
	service *owner.Service

	mu       sync.Mutex
	records  map[string]stored // by target address
	ranked   time.Time         // last time this entry ranked first or second
	first    bool              // this entry ranks first
	informed []string          // names of the entries that hold the records
}

type stored struct {
	record upstream.Announcement
	at     time.Time
}

func newServices(region, dataCentre string, floor int, clock sys.Clock) *services {
	return &services{region: region, dataCentre: dataCentre, floor: floor, clock: clock, byName: map[string]*slot{}}
}

// get returns the slot of a service, or nil if there is none.
func (s *services) get(name string) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

func (s *services) list() []*slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Values(s.byName)
}

// Announce takes in a record of a target of this region.
func (s *services) Announce(a upstream.Announcement) upstream.ApplyResult {
	if a.Region != s.region {
		return upstream.Rejected
	}
	known := s.open(a.Service)
	if known == nil {
		return upstream.Rejected
	}
	return known.announce(a, s.clock.Now())
}

// open returns the slot of a service and makes it if need be. It returns nil
// if there are too many.
func (s *services) open(name string) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byName[name]
	if known != nil {
		return known
	}
	if len(s.byName) >= maxServices {
		return nil
	}
	known = &slot{
		name: name,
		service: owner.New(owner.Config{
			Service:      name,
			Region:       s.region,
			DataCentre:   s.dataCentre,
			FloorPercent: s.floor,
			Clock:        s.clock,
			Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		records: map[string]stored{},
		ranked:  s.clock.Now(),
	}
	s.byName[name] = known
	return known
}

func (s *services) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
}

func (s *slot) announce(a upstream.Announcement, now time.Time) upstream.ApplyResult {
	result := s.service.Announce(a)
	if result == upstream.Applied || result == upstream.Renewed {
		s.mu.Lock()
		s.records[a.Address] = stored{a, now}
		s.mu.Unlock()
	}
	return result
}

// hasTargets reports whether a serving target was announced lately.
func (s *slot) hasTargets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.record.State == upstream.Serving {
			return true
		}
	}
	return false
}

// expire forgets records that were not renewed. A target that left is kept as
// long as its tombstone.
func (s *slot) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, r := range s.records {
		limit := recordTime
		if r.record.State != upstream.Serving {
			limit = upstream.TombstoneTime
		}
		if now.Sub(r.at) > limit {
			delete(s.records, at)
		}
	}
}

// rank notes the current ranks and returns the entries that newly rank first
// or second, with the records to hand over to them.
func (s *slot) rank(self string, ranked []membership.Member, now time.Time) (inform []membership.Member, records []upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := ranked[:min(ownersTried, len(ranked))]
	s.first = len(top) > 0 && top[0].Name == self
	names := lo.Map(top, func(m membership.Member, _ int) string { return incarnationName(m) })
	for i, m := range top {
		if m.Name == self {
			s.ranked = now
			continue
		}
		if !lo.Contains(s.informed, names[i]) {
			inform = append(inform, m)
		}
	}
	s.informed = names
	if len(inform) == 0 {
		return nil, nil
	}
	for _, r := range s.records {
		if now.Sub(r.at) <= upstream.Lease || r.record.State != upstream.Serving {
			records = append(records, r.record)
		}
	}
	return inform, records
}

func (s *slot) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

func (s *slot) unranked(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.ranked) > unrankedTime
}
