package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Parameters of the protocol.
const (
	ProbePeriod       = time.Second
	directTimeout     = 300 * time.Millisecond // wait for an ack before indirect probes; round trips take 30 ms
	suspicionBase     = 3 * time.Second        // multiplied by the logarithm of the fleet size
	retention         = 10 * time.Minute       // dead and left members are kept so that stale records do not revive them
	expiryPeriod      = 500 * time.Millisecond
	reconnectPeriod   = 10 * time.Second // period of probes of a dead member, so that healed partitions merge
	dataCentreSilence = 3 * time.Second  // a data centre without contact for this long is probed
	indirectProbes    = 3
	announceFanout    = 64 // members sent a change of this member at once
)

// Packet is a datagram to send.
type Packet struct {
	To      string // IP address and UDP port
	Payload []byte
}

// Table holds the membership table and implements the gossip protocol without
// I/O. The Driver calls Tick and Receive and sends the packets that they return.
// It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	key         []byte
	rng         *rand.Rand
	self        Member
	records     map[string]*record // other members, by name
	names       []string           // keys of records, in a fixed order for random choice
	epoch       uint64
	queue       broadcasts
	highest     heldVersion
	lastContact map[string]time.Time // by data centre, other members only

	dataCentres      map[string]bool // data centres of present members
	dataCentresEpoch uint64          // epoch at which dataCentres was computed

	sequence      uint64
	probeOrder    []string // names of the members still to be probed in this round
	probe         *probe
	nextProbe     time.Time
	nextReconnect time.Time
	nextExpiry    time.Time
	relays        map[uint64]relay
}

type record struct {
	Member
	lastContact       time.Time // last datagram or exchange from the member itself
	stateSince        time.Time // last change of state
	suspicionDeadline time.Time // when a suspect member is declared dead
}

// NewTable returns a table that holds only this member. The key, the fleet
// token, authenticates datagrams. NewTable panics if self is invalid.
func NewTable(self Member, key []byte, rng *rand.Rand, now time.Time) *Table {
	if !valid(self) {
		panic("membership: record of this member is invalid: " + self.Name)
	}
	return &Table{
		key:         key,
		rng:         rng,
		self:        self,
		records:     map[string]*record{},
		epoch:       1,
		lastContact: map[string]time.Time{},
		relays:      map[uint64]relay{},
		nextProbe:   now.Add(time.Duration(rng.Int64N(int64(ProbePeriod)))),
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

// Epoch returns a counter that rises with each change of a member's state,
// address or isolation, but not with changes of load or catalog versions.
func (t *Table) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// LastContact returns, for each data centre, the time of the last datagram or
// exchange received from another member there.
func (t *Table) LastContact() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	contacts := make(map[string]time.Time, len(t.lastContact))
	for centre, at := range t.lastContact {
		contacts[centre] = at
	}
	return contacts
}

// MemberContact is another member and the time of its last contact.
type MemberContact struct {
	Member
	LastContact time.Time // last datagram or exchange from the member itself; zero: never
}

// Others returns all other members, in no particular order.
func (t *Table) Others() []MemberContact {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]MemberContact, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, MemberContact{r.Member, r.lastContact})
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
	t.recordVersion(heldVersion{t.self.Name, t.self.Incarnation, t.self.CatalogVersion})
}

// SetIsolated sets whether this member rejects requests, and returns packets
// that announce the change.
func (t *Table) SetIsolated(isolated bool) []Packet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Isolated == isolated {
		return nil
	}
	t.self.Isolated = isolated
	t.selfChanged()
	return t.announceSelf()
}

// Drain marks this member as draining, which takes no new requests, and returns
// packets that announce it.
func (t *Table) Drain() []Packet { return t.setState(Draining) }

// Leave marks this member as having left the fleet, and returns packets that
// announce it.
func (t *Table) Leave() []Packet { return t.setState(Left) }

func (t *Table) setState(s State) []Packet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stateOrder[t.self.State] >= stateOrder[s] {
		return nil
	}
	t.self.State = s
	t.selfChanged()
	return t.announceSelf()
}

// selfChanged raises the revision of this member's record and queues it.
func (t *Table) selfChanged() {
	t.self.Revision++
	t.epoch++
	t.queue.add(t.self)
}

// merge applies a record received by gossip.
func (t *Table) merge(m Member, now time.Time) {
	t.mergeFrom(m, now, fromGossip)
}

// origin tells how a record was received.
type origin int

const (
	fromGossip   origin = iota // from a datagram, or from the member itself
	fromExchange               // from another member's table
)

func (t *Table) mergeFrom(m Member, now time.Time, from origin) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	known := t.records[m.Name]
	if known == nil {
		if m.State == Dead || m.State == Left {
			return
		}
		t.store(m, now)
		t.names = append(t.names, m.Name)
		t.insertIntoProbeOrder(m.Name)
		if from == fromGossip {
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

// store replaces the record of another member. The caller queues the record for
// broadcast, unless a full exchange delivered a member new to this table: the
// other members know it already, and queuing it would broadcast the whole table
// again after each start.
func (t *Table) store(m Member, now time.Time) {
	old := t.records[m.Name]
	if m.State == Suspect && old != nil && old.State == Draining {
		m.WasDraining = true
	}
	if old != nil && old.Incarnation == m.Incarnation {
		m.CatalogVersion = max(m.CatalogVersion, old.CatalogVersion)
	}
	r := &record{Member: m, stateSince: now}
	if old != nil {
		r.lastContact = old.lastContact
	}
	if m.State == Suspect {
		r.suspicionDeadline = now.Add(t.suspicionTime())
	}
	t.records[m.Name] = r
	t.epoch++
	t.recordVersion(heldVersion{m.Name, m.Incarnation, m.CatalogVersion})
}

// refute overrides a record of this member that another member published.
func (t *Table) refute(m Member) {
	if m.Incarnation > t.self.Incarnation {
		// The clock of this VM went back between two process starts.
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

// recordVersion records the catalog version that a member holds, and the highest
// version known.
func (t *Table) recordVersion(v heldVersion) {
	if r := t.records[v.Name]; r != nil && r.Incarnation == v.Incarnation {
		r.CatalogVersion = max(r.CatalogVersion, v.Version)
	}
	if v.Version > t.highest.Version {
		t.highest = v
	}
}

// currentHighest returns the highest catalog version held by a present member.
// A version whose process is gone is dropped, since it cannot be fetched from
// there.
func (t *Table) currentHighest() heldVersion {
	r := t.records[t.highest.Name]
	if t.highest.Name == t.self.Name || (r != nil && r.Present() && r.Incarnation == t.highest.Incarnation) {
		return t.highest
	}
	t.highest = heldVersion{t.self.Name, t.self.Incarnation, t.self.CatalogVersion}
	for _, r := range t.records {
		if r.Present() && r.CatalogVersion > t.highest.Version {
			t.highest = heldVersion{r.Name, r.Incarnation, r.CatalogVersion}
		}
	}
	return t.highest
}

// suspicionTime returns how long a member stays suspect before it is declared dead.
func (t *Table) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.records)+1)))
	return time.Duration(float64(suspicionBase) * scale)
}
