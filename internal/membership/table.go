package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the protocol.
const (
	ProbePeriod    = time.Second
	directTimeout  = 300 * time.Millisecond // direct answer awaited before indirect probes; round trips are 30 ms
	suspicionBase  = 3 * time.Second        // multiplied by the logarithm of the fleet size
	retention      = 10 * time.Minute       // dead and left members are remembered so that old news does not revive them
	expiryPeriod   = 500 * time.Millisecond
	reconnectEvery = 10 * time.Second // a dead member is probed this often, so that healed partitions merge
	quietCentre    = 3 * time.Second  // a data centre not heard for this long is probed next
	indirectProbes = 3
	urgentTargets  = 64 // members told at once of a change of this member
)

// Packet is a datagram to send.
type Packet struct {
	To      string // IP address and UDP port
	Payload []byte
}

// Table is the membership table and the gossip protocol without I/O. The
// driver calls Tick and Receive and sends the packets that they return. It is
// safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	key       []byte
	rng       *rand.Rand
	self      Member
	records   map[string]*record // other members by name
	names     []string           // keys of records, in a fixed order for random choice
	epoch     uint64
	queue     broadcasts
	highest   version
	lastHeard map[string]time.Time // by data centre, other members only

	centres      map[string]bool // data centres of present members
	centresEpoch uint64          // epoch for which centres holds

	sequence      uint64
	ring          []string // names in probe order
	probe         *probe
	nextProbe     time.Time
	nextReconnect time.Time
	nextExpiry    time.Time
	relays        map[uint64]relay
}

type record struct {
	Member
	heard    time.Time // last datagram or exchange from the member itself
	since    time.Time // time of the last change of state
	deadline time.Time // a suspect member is declared dead then
}

// NewTable returns a table that holds only this member. The key is the fleet
// token.
func NewTable(self Member, key []byte, rng *rand.Rand, now time.Time) *Table {
	if !valid(self) {
		panic("membership: record of this member is invalid: " + self.Name)
	}
	return &Table{
		key:       key,
		rng:       rng,
		self:      self,
		records:   map[string]*record{},
		epoch:     1,
		lastHeard: map[string]time.Time{},
		relays:    map[uint64]relay{},
		nextProbe: now.Add(time.Duration(rng.Int64N(int64(ProbePeriod)))),
	}
}

// Self returns the record of this member.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Members returns all members, this one included, sorted by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members()
}

func (t *Table) members() []Member {
	list := make([]Member, 0, len(t.records)+1)
	list = append(list, t.self)
	for _, r := range t.records {
		list = append(list, r.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Member returns the record of a member by name.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.self.Name {
		return t.self, true
	}
	r, ok := t.records[name]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Epoch rises with each change of a member's state, address or isolation. It
// stays the same when only load or catalog versions change.
func (t *Table) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// LastHeard returns the time of the last datagram or exchange received from
// another member, for each data centre.
func (t *Table) LastHeard() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := make(map[string]time.Time, len(t.lastHeard))
	for centre, at := range t.lastHeard {
		heard[centre] = at
	}
	return heard
}

// Seen is another member and when it was last heard.
type Seen struct {
	Member
	LastHeard time.Time // last datagram or exchange from the member itself; zero: never
}

// Others returns all other members, in no order.
func (t *Table) Others() []Seen {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Seen, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, Seen{r.Member, r.heard})
	}
	return list
}

// SetLoad sets the load that this member reports.
func (t *Table) SetLoad(load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Load = load
}

// SetCatalogVersion sets the catalog version that this member reports. The
// version never goes down.
func (t *Table) SetCatalogVersion(v uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.CatalogVersion = max(t.self.CatalogVersion, v)
	t.noteVersion(version{t.self.Name, t.self.Incarnation, t.self.CatalogVersion})
}

// SetIsolated sets whether this member refuses requests, and returns packets
// that spread the news.
func (t *Table) SetIsolated(isolated bool) []Packet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Isolated == isolated {
		return nil
	}
	t.self.Isolated = isolated
	t.selfChanged()
	return t.news()
}

// Drain announces that this member takes no new work.
func (t *Table) Drain() []Packet { return t.setState(Draining) }

// Leave announces that this member leaves the fleet.
func (t *Table) Leave() []Packet { return t.setState(Left) }

func (t *Table) setState(s State) []Packet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stateOrder[t.self.State] >= stateOrder[s] {
		return nil
	}
	t.self.State = s
	t.selfChanged()
	return t.news()
}

func (t *Table) selfChanged() {
	t.self.Revision++
	t.epoch++
	t.queue.add(t.self)
}

// merge takes in a record learned from another member.
func (t *Table) merge(m Member, now time.Time) {
	t.mergeFrom(m, now, gossiped)
}

// origin says how a record was learned.
type origin int

const (
	gossiped  origin = iota // from a datagram, or from the member itself
	exchanged               // from another member's table
)

func (t *Table) mergeFrom(m Member, now time.Time, from origin) {
	if m.Name == t.self.Name {
		t.defend(m)
		return
	}
	known := t.records[m.Name]
	if known == nil {
		if m.State == Dead || m.State == Left {
			return
		}
		t.store(m, now)
		t.names = append(t.names, m.Name)
		t.insertIntoRing(m.Name)
		if from == gossiped {
			t.queue.add(m)
		}
		return
	}
	if !supersedes(m, known.Member) {
		if m.Incarnation == known.Incarnation {
			known.CatalogVersion = max(known.CatalogVersion, m.CatalogVersion)
		}
		return
	}
	t.store(m, now)
	t.queue.add(m)
}

// store replaces the record of another member. The caller queues it for
// spreading, except when it is new to this member only: the members that were
// asked for their table know it already, and passing it on would send the
// whole table again after each start.
func (t *Table) store(m Member, now time.Time) {
	old := t.records[m.Name]
	if m.State == Suspect && old != nil && old.State == Draining {
		m.WasDraining = true
	}
	if old != nil && old.Incarnation == m.Incarnation {
		m.CatalogVersion = max(m.CatalogVersion, old.CatalogVersion)
	}
	r := &record{Member: m, since: now}
	if old != nil {
		r.heard = old.heard
	}
	if m.State == Suspect {
		r.deadline = now.Add(t.suspicionTime())
	}
	t.records[m.Name] = r
	t.epoch++
	t.noteVersion(version{m.Name, m.Incarnation, m.CatalogVersion})
}

// defend answers news about this member that it did not make itself.
func (t *Table) defend(m Member) {
	if m.Incarnation > t.self.Incarnation {
		// The clock of this VM went back between two starts.
		t.self.Incarnation = m.Incarnation + 1
		t.self.Revision = 0
		t.selfChanged()
		return
	}
	if !supersedes(m, t.self) {
		return
	}
	t.self.Revision = m.Revision
	t.selfChanged()
}

// noteVersion records the highest catalog version heard of.
func (t *Table) noteVersion(v version) {
	if r := t.records[v.Name]; r != nil && r.Incarnation == v.Incarnation {
		r.CatalogVersion = max(r.CatalogVersion, v.Version)
	}
	if v.Version > t.highest.Version {
		t.highest = v
	}
}

// currentHighest drops the highest version if the process that held it is
// gone, since nobody could fetch it from there.
func (t *Table) currentHighest() version {
	r := t.records[t.highest.Name]
	if t.highest.Name == t.self.Name || (r != nil && r.Present() && r.Incarnation == t.highest.Incarnation) {
		return t.highest
	}
	t.highest = version{t.self.Name, t.self.Incarnation, t.self.CatalogVersion}
	for _, r := range t.records {
		if r.Present() && r.CatalogVersion > t.highest.Version {
			t.highest = version{r.Name, r.Incarnation, r.CatalogVersion}
		}
	}
	return t.highest
}

func (t *Table) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.records)+1)))
	return time.Duration(float64(suspicionBase) * scale)
}
