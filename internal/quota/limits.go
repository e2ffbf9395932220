// Package quota limits the request rate of tenants over all entries of the fleet.
//
// Each region has a token bucket of its own for each tenant, with an equal share of
// the tenant's rate and burst. One entry of the region, the holder, keeps it. The
// owners of groups of targets obtain credit from the holder in advance, a few times a
// second, and consume one unit for each request that they let through. A holder whose
// bucket runs low asks those of other regions for tokens.
//
// Credit that an owner has not used continues to take up room in the bucket. The sum
// of what is in the buckets and what is still usable outside of them therefore never
// exceeds the sum of the capacities, and what runs within a window never exceeds that
// sum plus what the buckets gain within the window. No decision depends on how long
// credit is kept.
//
// Bucket, Ledger and Credit are pure; Limiter combines them and makes the calls.
// Times are those of a clock that also runs while the machine is suspended.
package quota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/routing"
)

const (
	// creditLifetime is how long an owner may use credit after it last told its
	// holder of it. The holder counts it for as long after it was told.
	creditLifetime = time.Second
	// transferLifetime is how long tokens may be on their way between two regions.
	transferLifetime = 200 * time.Millisecond
	// transitTime is the time from the use of credit to the arrival of the request at
	// its target.
	transitTime = 50 * time.Millisecond
	// startShare is the share of the allowed deviation that is set aside for the levels
	// at which new holders start, so that a tenant is served at once after a restart of
	// all entries. The rest makes the buckets larger.
	startShare = 0.4
	// pauseShare is the share of the slack that is left for requests of a sender that
	// was paused between the use of credit and the sending.
	pauseShare = 0.1

	maxRetryAfter = 30 * time.Second

	tenantsPerShard = 256
	// maxShards limits the number of messages of an owner whose requests are spread
	// over many tenants.
	maxShards = 16
)

// Settings are the allowed deviations from the limits: in any window, the requests of
// a tenant may exceed what its limit allows by the share Overshoot plus Slack. With
// Window 0 limits are enforced without a stated deviation.
type Settings struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Limit is the limit of a tenant within one region.
type Limit struct {
	Rate     float64 // tokens per second
	Capacity float64 // of the bucket
	Start    float64 // level of the bucket of a new holder
}

// regionLimit returns the limit of a tenant in each of the regions. In any window of
// W seconds at most capacity + rate x (W + transitTime) requests run, plus the start
// levels, in sum over the regions. A bucket holds at least one token, since it would
// never grant any otherwise.
func (s Settings) regionLimit(t *routing.Tenant, regions int) Limit {
	w, share := s.Window.Seconds(), 1/float64(max(regions, 1))
	if w <= 0 {
		return Limit{Rate: t.Rate * share, Capacity: max(t.Burst*share, 1)}
	}
	allowed := (t.Rate*w+t.Burst)*(1+s.Overshoot) + (1-pauseShare)*s.Slack
	w += transitTime.Seconds()
	rate := min(t.Rate, allowed/w)
	start := startShare * max(allowed-rate*w-t.Burst, 0)
	capacity := allowed - rate*w - start
	return Limit{Rate: rate * share, Capacity: max(capacity*share, 1), Start: start * share}
}

// Index holds the limited tenants of a routing document.
type Index struct {
	byID   map[uint32]*Entry
	shards int
}

// Entry is a limited tenant.
type Entry struct {
	Name  string
	ID    uint32 // identifies the tenant in messages
	Shard int
	Limit Limit
}

// NewIndex indexes the tenants with a rate.
func NewIndex(tenants []routing.Tenant, s Settings, regions int) *Index {
	x := &Index{byID: map[uint32]*Entry{}, shards: 1}
	for i := range tenants {
		t := &tenants[i]
		if t.Rate <= 0 {
			continue
		}
		e := &Entry{Name: t.Name, Limit: s.regionLimit(t, regions)}
		for n := 0; ; n++ {
			if e.ID = idOf(t.Name, n); x.byID[e.ID] == nil {
				break
			}
		}
		x.byID[e.ID] = e
	}
	for x.shards < maxShards && x.shards*tenantsPerShard < len(x.byID) {
		x.shards *= 2
	}
	for _, e := range x.byID {
		e.Shard = int(xxhash.Sum64String(e.Name) >> 32 % uint64(x.shards))
	}
	return x
}

// idOf returns the id of a tenant if n tenants before it had the ids that it would
// have had: a hash of the name.
func idOf(name string, n int) uint32 {
	if n > 0 {
		name = fmt.Sprint(name, "#", n)
	}
	return uint32(xxhash.Sum64String(name))
}

// Tenant returns the limited tenant with the name, or nil.
func (x *Index) Tenant(name string) *Entry {
	for n := 0; ; n++ {
		if e := x.byID[idOf(name, n)]; e == nil || e.Name == name {
			return e
		}
	}
}

// limit returns the limit of a tenant of the shard, or nil.
func (x *Index) limit(shard int, id uint32) *Limit {
	e := x.byID[id]
	if e == nil || e.Shard != shard {
		return nil
	}
	return &e.Limit
}
