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

// Limits of the service table.
const (
	unrankedLimit = time.Minute // a service for which this entry ranks neither first nor second for this long is dropped
	maxServices   = 10_000      // bounds the memory used by announcements of services that do not exist
	// handoverRetryInterval is the time until a failed handover of records is repeated.
	handoverRetryInterval = 2 * time.Second

	recordLifetime = upstream.LeaseDuration + upstream.MassExpiryRetention
)

// services holds the state of the services of this region for which this entry
// ranks first or second.
type services struct {
	region     string
	dataCentre string
	floor      int // percent
	clock      sys.Clock

	mu     sync.Mutex
	byName map[string]*serviceState
}

// serviceState is the state of one service: its owner.Service and the target
// records to hand over to the next owner.
type serviceState struct {
	name    string
	service *owner.Service

	mu            sync.Mutex
	records       map[string]storedRecord // by target address
	lastRanked    time.Time               // last time this entry ranked first or second
	rankedFirst   bool                    // this entry ranks first
	recordHolders []string                // other entries that hold the records, by incarnationName
	nextHandover  time.Time               // earliest time of the next handover, after one has failed
}

type storedRecord struct {
	record upstream.Announcement
	at     time.Time
}

func newServices(region, dataCentre string, floor int, clock sys.Clock) *services {
	return &services{region: region, dataCentre: dataCentre, floor: floor, clock: clock, byName: map[string]*serviceState{}}
}

// get returns the state of a service, or nil if there is none.
func (s *services) get(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

func (s *services) list() []*serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Values(s.byName)
}

// ApplyAnnouncement applies the record of a target. It rejects targets of other
// regions. It implements announce.LocalRecords.
func (s *services) ApplyAnnouncement(a upstream.Announcement) upstream.ApplyResult {
	if a.Region != s.region {
		return upstream.Rejected
	}
	state := s.getOrCreate(a.Service)
	if state == nil {
		return upstream.Rejected
	}
	return state.applyAnnouncement(a, s.clock.Now())
}

// getOrCreate returns the state of a service and creates it if there is none. It
// returns nil if there are already maxServices.
func (s *services) getOrCreate(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byName[name]
	if state != nil {
		return state
	}
	if len(s.byName) >= maxServices {
		return nil
	}
	state = &serviceState{
		name: name,
		service: owner.New(owner.Config{
			Service:      name,
			Region:       s.region,
			DataCentre:   s.dataCentre,
			FloorPercent: s.floor,
			Clock:        s.clock,
			Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		records:    map[string]storedRecord{},
		lastRanked: s.clock.Now(),
	}
	s.byName[name] = state
	return state
}

func (s *services) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
}

func (s *serviceState) applyAnnouncement(a upstream.Announcement, now time.Time) upstream.ApplyResult {
	result := s.service.ApplyAnnouncement(a)
	if result == upstream.Applied || result == upstream.Renewed {
		s.mu.Lock()
		s.records[a.Address] = storedRecord{a, now}
		s.mu.Unlock()
	}
	return result
}

// hasTargets reports whether there is an unexpired record of a serving target.
func (s *serviceState) hasTargets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.record.State == upstream.Serving {
			return true
		}
	}
	return false
}

// expire removes records that were not renewed within recordLifetime. The record
// of a draining or leaving target is kept for upstream.TombstoneRetention.
func (s *serviceState) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, r := range s.records {
		limit := recordLifetime
		if r.record.State != upstream.Serving {
			limit = upstream.TombstoneRetention
		}
		if now.Sub(r.at) > limit {
			delete(s.records, at)
		}
	}
}

// updateRank records the current ranking and returns the entries that newly rank
// first or second, with the records to hand over to them.
func (s *serviceState) updateRank(self string, ranked []membership.Member, now time.Time) (newHolders []membership.Member, records []upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := ranked[:min(maxOwnersTried, len(ranked))]
	s.rankedFirst = len(top) > 0 && top[0].Name == self
	var holders []string
	for _, m := range top {
		if m.Name == self {
			s.lastRanked = now
			continue
		}
		name := incarnationName(m)
		if !lo.Contains(s.recordHolders, name) {
			if now.Before(s.nextHandover) {
				continue
			}
			newHolders = append(newHolders, m)
		}
		holders = append(holders, name)
	}
	s.recordHolders = holders
	if len(newHolders) == 0 {
		return nil, nil
	}
	for _, r := range s.records {
		if now.Sub(r.at) <= upstream.LeaseDuration || r.record.State != upstream.Serving {
			records = append(records, r.record)
		}
	}
	return newHolders, records
}

// markDraining changes the record of a serving target to draining and returns it. It
// reports false if there is no such record of this incarnation.
func (s *serviceState) markDraining(t upstream.Target, now time.Time) (upstream.Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.records[t.Address]
	if !known || r.record.Incarnation != t.Incarnation || r.record.State != upstream.Serving {
		return upstream.Announcement{}, false
	}
	r.record.State = upstream.Draining
	r.at = now
	s.records[t.Address] = r
	return r.record, true
}

// handoverFailed records that an entry may not hold the records, so that they are
// handed over to it again after handoverRetryInterval.
func (s *serviceState) handoverFailed(to membership.Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordHolders = lo.Without(s.recordHolders, incarnationName(to))
	s.nextHandover = now.Add(handoverRetryInterval)
}

func (s *serviceState) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rankedFirst
}

func (s *serviceState) unrankedTooLong(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastRanked) > unrankedLimit
}
