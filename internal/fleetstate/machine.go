package fleetstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// unreadableCommands counts the commands of the log that were skipped.
var unreadableCommands = metrics.GetOrCreateCounter("sequoialane_fleetstate_unreadable_commands_total")

// maxTombstones limits the records of gone targets.
const maxTombstones = 2_000

// StateMachine is the replicated fleet state. It implements
// consensus.StateMachine and is safe for concurrent use.
type StateMachine struct {
	mu      sync.Mutex
	state   state
	changed chan struct{} // closed and replaced on each change
	updates updateCache
}

// state is the content of a snapshot.
type state struct {
	Index          uint64            `json:"index"` // log index of the last change
	CompactedIndex uint64            `json:"floor"` // copies at a lower index need the whole state, as removals up to it are forgotten
	Routing        Routing           `json:"held"`
	Targets        map[string]Target `json:"targets"` // by id, including tombstones
	Entries        map[string]Entry  `json:"entries"` // by name
	Members        map[string]Member `json:"members"` // by peer address

	targetAt map[string]string // id of the target that is not gone, by address
}

func newState() state {
	return state{Targets: map[string]Target{}, Entries: map[string]Entry{}, Members: map[string]Member{}, targetAt: map[string]string{}}
}

// NewStateMachine returns a state machine with an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: newState(), changed: make(chan struct{})}
}

// Apply implements consensus.StateMachine. A command that cannot be decoded
// changes nothing: it is in the log of every member, so that ending the process
// would end each of them, again at each start.
func (m *StateMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		unreadableCommands.Inc()
	} else {
		m.state.apply(index, c)
		m.notify()
	}
	encoded, err := json.Marshal(Result{Version: m.state.version()})
	if err != nil {
		panic("fleetstate: result cannot be encoded: " + err.Error())
	}
	return encoded
}

// notify wakes the waiters on Changed and empties the update cache.
func (m *StateMachine) notify() {
	m.updates = updateCache{}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements consensus.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.state)
}

// Restore implements consensus.StateMachine.
func (m *StateMachine) Restore(snapshot []byte) error {
	restored := newState()
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &restored); err != nil {
			return fmt.Errorf("fleetstate: snapshot cannot be read: %w", err)
		}
	}
	restored.indexAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	m.notify()
	return nil
}

// Changed returns a channel that is closed on the next change, and the current
// index.
func (m *StateMachine) Changed() (<-chan struct{}, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed, m.state.Index
}

// Routing returns the current routing document. Its Document is nil before the
// first one.
func (m *StateMachine) Routing() Routing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Routing
}

// Target returns the record of a target.
func (m *StateMachine) Target(id string) (Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.state.Targets[id]
	return t, ok
}

// TargetAt returns the target at the address that is not gone.
func (m *StateMachine) TargetAt(address string) (Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.targetAtAddress(address)
}

// Entry returns the record of an entry.
func (m *StateMachine) Entry(name string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.state.Entries[name]
	return e, ok
}

// Entries returns all entries sorted by name.
func (m *StateMachine) Entries() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.state.Entries, func(e Entry) string { return e.Name })
}

// Members returns all control members sorted by peer address.
func (m *StateMachine) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.state.Members, func(p Member) string { return p.PeerAddress })
}

// Since returns the changes after the index, or the whole state if the index is 0
// or too old.
func (m *StateMachine) Since(index uint64) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.since(index)
}

func (s *state) since(index uint64) Update {
	u := Update{Index: s.Index}
	if index > s.Index {
		return u // the copy is ahead of this member
	}
	if index < s.CompactedIndex || index == 0 {
		u.Reset = true
		index = 0
	}
	if s.Routing.Document != nil && s.Routing.ChangeIndex > index {
		u.Routing = &Routing{Document: s.Routing.Document, ChangeIndex: s.Routing.ChangeIndex}
	}
	u.Targets = filterSorted(s.Targets, func(t Target) string { return t.ID }, func(t Target) bool { return t.ChangeIndex > index && (!u.Reset || t.State != Gone) })
	u.Entries = filterSorted(s.Entries, func(e Entry) string { return e.Name }, func(e Entry) bool { return e.ChangeIndex > index })
	u.Members = filterSorted(s.Members, func(p Member) string { return p.PeerAddress }, func(p Member) bool { return p.ChangeIndex > index })
	return u
}

// filterSorted returns the matching records sorted by key.
func filterSorted[V any](table map[string]V, key func(V) string, match func(V) bool) []V {
	var found []V
	for _, v := range table {
		if match(v) {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
	return found
}

func sorted[V any](table map[string]V, key func(V) string) []V {
	return slices.SortedFunc(maps.Values(table), func(a, b V) int { return cmp.Compare(key(a), key(b)) })
}
