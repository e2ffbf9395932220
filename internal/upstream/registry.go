package upstream

import (
	"sort"
	"time"
)

// Durations of the announcement protocol.
const (
	LeaseDuration       = 6 * time.Second  // validity of an announcement
	TombstoneRetention  = 10 * time.Minute // how long the record of a target that left or expired is kept
	MassExpiryRetention = 60 * time.Second // how long expired targets are kept as a last resort after a mass expiry
)

// Availability tells whether a target may receive new work.
type Availability string

// Values of Availability.
const (
	Usable     Availability = "usable"      // serving, with a valid lease
	LastResort Availability = "last_resort" // kept after a mass expiry; used after all usable targets
	Unusable   Availability = "unusable"    // draining, leaving, expired or unknown
)

// record is the state of one target.
type record struct {
	announcement  Announcement // the newest
	leaseUntil    time.Time
	retainedUntil time.Time // end of the retention after a mass expiry; zero: not retained
	goneAt        time.Time // when the target left or expired; zero: it has not
}

// Registry holds the target records of one service in one region. It is not
// safe for concurrent use.
type Registry struct {
	records        map[string]*record
	routes         RouteTable
	recentExpiries []expiry // expiries without a leave during the last LeaseDuration
}

type expiry struct {
	address string
	at      time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[string]*record{}}
}

// Apply updates the record of a target from its announcement. Announcements are
// ordered by incarnation, finality of the state and sequence; an older or
// repeated one is ignored.
func (r *Registry) Apply(a Announcement, now time.Time) ApplyResult {
	if !valid(a) {
		return Rejected
	}
	rec, known := r.records[a.Address]
	if known && !supersedes(a, rec.announcement) {
		return Outdated
	}
	if !known {
		rec = &record{}
		r.records[a.Address] = rec
	}
	changed := !known || contentDiffers(a, rec.announcement) || !rec.goneAt.IsZero()
	rec.announcement = a
	rec.leaseUntil = now.Add(LeaseDuration)
	rec.retainedUntil = time.Time{}
	rec.goneAt = time.Time{}
	if a.State == Leaving {
		rec.goneAt = now
	}
	r.removeExpiry(a.Address)
	if !changed {
		return Renewed
	}
	r.rebuildRoutes()
	return Applied
}

func valid(a Announcement) bool {
	if a.Address == "" || a.Slots < 1 {
		return false
	}
	return a.State == Serving || a.State == Draining || a.State == Leaving
}

// supersedes reports whether a is newer than b. Within an incarnation, a final
// state is never undone: draining may only become leaving.
func supersedes(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if finality(a.State) != finality(b.State) && (finality(a.State) > 0 || finality(b.State) > 0) {
		return finality(a.State) > finality(b.State)
	}
	return a.Sequence > b.Sequence
}

// finality ranks the states; within an incarnation, a state of a higher rank
// supersedes one of a lower rank.
func finality(s State) int {
	switch s {
	case Leaving:
		return 2
	case Draining:
		return 1
	default:
		return 0
	}
}

// contentDiffers reports whether a and b differ in more than their sequence.
func contentDiffers(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation || a.State != b.State || a.Slots != b.Slots {
		return true
	}
	if a.ProbePath != b.ProbePath || a.EchoesRequestID != b.EchoesRequestID {
		return true
	}
	if a.Region != b.Region || a.DataCentre != b.DataCentre {
		return true
	}
	return !sameRoutes(a.Routes, b.Routes)
}

// Expire marks targets whose lease has ended as gone, deletes tombstones older
// than TombstoneRetention, and returns the targets that may no longer be used.
// If more than half of the serving targets expire within one LeaseDuration
// without a leave, they are kept as a last resort for MassExpiryRetention.
func (r *Registry) Expire(now time.Time) []Target {
	r.recordExpiries(now)
	if r.massExpiry(now) {
		r.retainExpired(now)
	}
	var gone []Target
	for _, address := range r.addresses() {
		rec := r.records[address]
		if rec.goneAt.IsZero() && !now.Before(rec.leaseUntil) && !now.Before(rec.retainedUntil) {
			rec.goneAt = now
			gone = append(gone, targetOf(rec.announcement))
		}
		if !rec.goneAt.IsZero() && now.Sub(rec.goneAt) >= TombstoneRetention {
			delete(r.records, address)
		}
	}
	if len(gone) > 0 {
		r.rebuildRoutes()
	}
	return gone
}

// recordExpiries adds the serving targets whose lease has ended to
// recentExpiries and drops expiries older than LeaseDuration.
func (r *Registry) recordExpiries(now time.Time) {
	recent := r.recentExpiries[:0]
	recorded := map[string]bool{}
	for _, e := range r.recentExpiries {
		if now.Sub(e.at) < LeaseDuration {
			recent = append(recent, e)
			recorded[e.address] = true
		}
	}
	r.recentExpiries = recent
	for _, address := range r.addresses() {
		rec := r.records[address]
		unrecorded := rec.goneAt.IsZero() && rec.retainedUntil.IsZero() && !recorded[address]
		if unrecorded && rec.announcement.State == Serving && !now.Before(rec.leaseUntil) {
			r.recentExpiries = append(r.recentExpiries, expiry{address, now})
		}
	}
}

// massExpiry reports whether the recent expiries are more than half of the
// targets that were serving before them.
func (r *Registry) massExpiry(now time.Time) bool {
	serving := 0
	for _, rec := range r.records {
		if rec.announcement.State == Serving && now.Before(rec.leaseUntil) {
			serving++
		}
	}
	return len(r.recentExpiries)*2 > serving+len(r.recentExpiries) && len(r.recentExpiries) > 1
}

// retainExpired keeps the recently expired targets as a last resort, including
// those that expired before the mass expiry was recognised.
func (r *Registry) retainExpired(now time.Time) {
	for _, e := range r.recentExpiries {
		rec, ok := r.records[e.address]
		if !ok || !rec.retainedUntil.IsZero() || rec.announcement.State != Serving {
			continue
		}
		rec.retainedUntil = e.at.Add(MassExpiryRetention)
		rec.goneAt = time.Time{}
	}
}

// removeExpiry removes the expiry of a target that announced itself again.
func (r *Registry) removeExpiry(address string) {
	remaining := r.recentExpiries[:0]
	for _, e := range r.recentExpiries {
		if e.address != address {
			remaining = append(remaining, e)
		}
	}
	r.recentExpiries = remaining
}

// Availability returns whether the target may receive new work now. It checks the
// lease itself, so that an expired target gets no work before Expire runs.
func (r *Registry) Availability(address string, now time.Time) Availability {
	rec, ok := r.records[address]
	if !ok || !rec.goneAt.IsZero() || rec.announcement.State != Serving {
		return Unusable
	}
	if now.Before(rec.leaseUntil) {
		return Usable
	}
	if now.Before(rec.retainedUntil) {
		return LastResort
	}
	return Unusable
}

// MarkDraining records that an incarnation of the target wants no further work,
// although it may announce itself as serving. It reports whether that is new.
func (r *Registry) MarkDraining(address string, incarnation uint64) bool {
	rec, ok := r.records[address]
	if !ok || rec.announcement.Incarnation != incarnation || rec.announcement.State != Serving {
		return false
	}
	rec.announcement.State = Draining
	return true
}

// Target returns the target with the address. The result is false if the target
// is unknown or gone.
func (r *Registry) Target(address string) (Target, bool) {
	rec, ok := r.records[address]
	if !ok || !rec.goneAt.IsZero() {
		return Target{}, false
	}
	return targetOf(rec.announcement), true
}

// Targets returns the targets that are not gone, sorted by address.
func (r *Registry) Targets() []Target {
	var targets []Target
	for _, address := range r.addresses() {
		if t, ok := r.Target(address); ok {
			targets = append(targets, t)
		}
	}
	return targets
}

// State returns the state that the target announced last, or Leaving if the
// target is unknown.
func (r *Registry) State(address string) State {
	if rec, ok := r.records[address]; ok {
		return rec.announcement.State
	}
	return Leaving
}

// Routes returns the route table of the service.
func (r *Registry) Routes() RouteTable { return r.routes }

// addresses returns the addresses of all records, sorted.
func (r *Registry) addresses() []string {
	addresses := make([]string, 0, len(r.records))
	for address := range r.records {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}

func targetOf(a Announcement) Target {
	return Target{
		Service:         a.Service,
		Address:         a.Address,
		Region:          a.Region,
		DataCentre:      a.DataCentre,
		Slots:           a.Slots,
		Incarnation:     a.Incarnation,
		EchoesRequestID: a.EchoesRequestID,
		ProbePath:       a.ProbePath,
	}
}
