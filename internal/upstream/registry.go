package upstream

import (
	"sort"
	"time"
)

// Times of the announcement protocol.
const (
	Lease          = 6 * time.Second  // validity of an announcement
	TombstoneTime  = 10 * time.Minute // how long a leave is remembered
	MassExpiryTime = 60 * time.Second // how long targets are kept after a mass expiry
)

// Availability tells whether a target may receive new work.
type Availability string

// The availabilities.
const (
	Usable     Availability = "usable"      // serving, with a valid lease
	LastResort Availability = "last_resort" // kept after a mass expiry; used after all usable targets
	Unusable   Availability = "unusable"    // draining, leaving, expired or unknown
)

// record is what is known of one target.
type record struct {
	last       Announcement
	leaseUntil time.Time
	keptUntil  time.Time // end of the mass expiry period; zero: none
	goneAt     time.Time // when the target left or expired; zero: present
}

// Registry holds the target records of one service in one region. It is not
// safe for concurrent use.
type Registry struct {
	records map[string]*record
	routes  RouteTable
	expired []expiry // expiries without a leave within the last lease time
}

type expiry struct {
	address string
	at      time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[string]*record{}}
}

// Apply takes in an announcement. Announcements are ordered by incarnation and
// sequence; an older or repeated one is ignored.
func (r *Registry) Apply(a Announcement, now time.Time) ApplyResult {
	if !valid(a) {
		return Rejected
	}
	rec, known := r.records[a.Address]
	if known && !newer(a, rec.last) {
		return Outdated
	}
	if !known {
		rec = &record{}
		r.records[a.Address] = rec
	}
	changed := !known || differs(a, rec.last) || !rec.goneAt.IsZero()
	rec.last = a
	rec.leaseUntil = now.Add(Lease)
	rec.keptUntil = time.Time{}
	rec.goneAt = time.Time{}
	if a.State == Leaving {
		rec.goneAt = now
	}
	r.forgetExpiry(a.Address)
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

// newer reports whether a supersedes b. A final state of an incarnation is
// never left within that incarnation; draining may only become leaving.
func newer(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if rank(a.State) != rank(b.State) && (rank(a.State) > 0 || rank(b.State) > 0) {
		return rank(a.State) > rank(b.State)
	}
	return a.Sequence > b.Sequence
}

// rank orders the states by finality.
func rank(s State) int {
	switch s {
	case Leaving:
		return 2
	case Draining:
		return 1
	default:
		return 0
	}
}

func differs(a, b Announcement) bool {
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

// Expire removes targets whose lease has ended and tombstones that are no
// longer needed. It returns the targets that may no longer be used. If more
// than half of the serving targets expire within one lease time without a
// leave, they are kept as a last resort for MassExpiryTime.
func (r *Registry) Expire(now time.Time) []Target {
	r.noteExpiries(now)
	if r.massExpiry(now) {
		r.keepExpired(now)
	}
	var gone []Target
	for _, address := range r.addresses() {
		rec := r.records[address]
		if rec.goneAt.IsZero() && !now.Before(rec.leaseUntil) && !now.Before(rec.keptUntil) {
			rec.goneAt = now
			gone = append(gone, targetOf(rec.last))
		}
		if !rec.goneAt.IsZero() && now.Sub(rec.goneAt) >= TombstoneTime {
			delete(r.records, address)
		}
	}
	if len(gone) > 0 {
		r.rebuildRoutes()
	}
	return gone
}

func (r *Registry) noteExpiries(now time.Time) {
	recent := r.expired[:0]
	noted := map[string]bool{}
	for _, e := range r.expired {
		if now.Sub(e.at) < Lease {
			recent = append(recent, e)
			noted[e.address] = true
		}
	}
	r.expired = recent
	for _, address := range r.addresses() {
		rec := r.records[address]
		fresh := rec.goneAt.IsZero() && rec.keptUntil.IsZero() && !noted[address]
		if fresh && rec.last.State == Serving && !now.Before(rec.leaseUntil) {
			r.expired = append(r.expired, expiry{address, now})
		}
	}
}

// massExpiry reports whether the recent expiries are more than half of the
// targets that were serving before them.
func (r *Registry) massExpiry(now time.Time) bool {
	serving := 0
	for _, rec := range r.records {
		if rec.last.State == Serving && now.Before(rec.leaseUntil) {
			serving++
		}
	}
	return len(r.expired)*2 > serving+len(r.expired) && len(r.expired) > 1
}

// keepExpired keeps the recently expired targets, also those that expired
// before the rule applied.
func (r *Registry) keepExpired(now time.Time) {
	for _, e := range r.expired {
		rec, ok := r.records[e.address]
		if !ok || !rec.keptUntil.IsZero() || rec.last.State != Serving {
			continue
		}
		rec.keptUntil = e.at.Add(MassExpiryTime)
		rec.goneAt = time.Time{}
	}
}

func (r *Registry) forgetExpiry(address string) {
	kept := r.expired[:0]
	for _, e := range r.expired {
		if e.address != address {
			kept = append(kept, e)
		}
	}
	r.expired = kept
}

// Availability tells whether the target may receive new work now. The lease is
// checked here too, so that an expired target gets no work before Expire runs.
func (r *Registry) Availability(address string, now time.Time) Availability {
	rec, ok := r.records[address]
	if !ok || !rec.goneAt.IsZero() || rec.last.State != Serving {
		return Unusable
	}
	if now.Before(rec.leaseUntil) {
		return Usable
	}
	if now.Before(rec.keptUntil) {
		return LastResort
	}
	return Unusable
}

// Target returns the target with the address, if it is known and not gone.
func (r *Registry) Target(address string) (Target, bool) {
	rec, ok := r.records[address]
	if !ok || !rec.goneAt.IsZero() {
		return Target{}, false
	}
	return targetOf(rec.last), true
}

// Targets returns the targets that are not gone, by address.
func (r *Registry) Targets() []Target {
	var targets []Target
	for _, address := range r.addresses() {
		if t, ok := r.Target(address); ok {
			targets = append(targets, t)
		}
	}
	return targets
}

// State returns the state that the target announced last.
func (r *Registry) State(address string) State {
	if rec, ok := r.records[address]; ok {
		return rec.last.State
	}
	return Leaving
}

// Routes returns the route table of the service.
func (r *Registry) Routes() RouteTable { return r.routes }

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
