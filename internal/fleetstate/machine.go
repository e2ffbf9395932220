package fleetstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// maxGone bounds the targets that are kept after their end.
const maxGone = 2_000

// Machine is the replicated state. It implements consensus.StateMachine and is
// safe for concurrent use.
type Machine struct {
	mu      sync.Mutex
	state   state
	changed chan struct{} // closed and replaced at each change
	updates updateCache
}

// state is what snapshots hold.
type state struct {
	Index   uint64            `json:"index"` // of the last change
	Floor   uint64            `json:"floor"` // copies older than this need the whole state
	Held    Held              `json:"held"`
	Targets map[string]Target `json:"targets"` // by id
	Entries map[string]Entry  `json:"entries"` // by name
	Members map[string]Member `json:"members"` // by peer address

	holders map[string]string // id of the target at an address that is not gone
}

func newState() state {
	return state{Targets: map[string]Target{}, Entries: map[string]Entry{}, Members: map[string]Member{}, holders: map[string]string{}}
}

// NewMachine returns an empty state.
func NewMachine() *Machine {
	return &Machine{state: newState(), changed: make(chan struct{})}
}

// Apply implements consensus.StateMachine.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		panic(fmt.Sprintf("fleetstate: command %d cannot be decoded: %v", index, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.apply(index, c)
	m.notify()
	encoded, err := json.Marshal(Result{Version: m.state.version()})
	if err != nil {
		panic("fleetstate: result cannot be encoded: " + err.Error())
	}
	return encoded
}

func (m *Machine) notify() {
	m.updates = updateCache{}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements consensus.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.state)
}

// Restore implements consensus.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	restored := newState()
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &restored); err != nil {
			return fmt.Errorf("fleetstate: snapshot cannot be read: %w", err)
		}
	}
	restored.indexHolders()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	m.notify()
	return nil
}

// Changed returns a channel that is closed at the next change, and the index of
// the state now.
func (m *Machine) Changed() (<-chan struct{}, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed, m.state.Index
}

// Held returns the routing document in force; its Document is nil if none was
// sent yet.
func (m *Machine) Held() Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Held
}

// Target returns the record of a target.
func (m *Machine) Target(id string) (Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.state.Targets[id]
	return t, ok
}

// TargetAt returns the youngest target at the address that is not gone.
func (m *Machine) TargetAt(address string) (Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.at(address)
}

// Entry returns the record of an entry.
func (m *Machine) Entry(name string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.state.Entries[name]
	return e, ok
}

// Entries returns all entries in the order of their names.
func (m *Machine) Entries() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.state.Entries, func(e Entry) string { return e.Name })
}

// Members returns all control members in the order of their addresses.
func (m *Machine) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.state.Members, func(p Member) string { return p.PeerAddress })
}

// Since returns what changed after the index, or the whole state where that is
// not known any more.
func (m *Machine) Since(index uint64) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.since(index)
}

func (s *state) since(index uint64) Update {
	u := Update{Index: s.Index}
	if index > s.Index {
		return u // the copy is ahead of this member
	}
	if index < s.Floor || index == 0 {
		u.Reset = true
		index = 0
	}
	if s.Held.Document != nil && s.Held.Changed > index {
		u.Held = &Held{Document: s.Held.Document, Changed: s.Held.Changed}
	}
	u.Targets = selected(s.Targets, func(t Target) string { return t.ID }, func(t Target) bool { return t.Changed > index && (!u.Reset || t.State != Gone) })
	u.Entries = selected(s.Entries, func(e Entry) string { return e.Name }, func(e Entry) bool { return e.Changed > index })
	u.Members = selected(s.Members, func(p Member) string { return p.PeerAddress }, func(p Member) bool { return p.Changed > index })
	return u
}

// selected returns the records that match, in the order of their keys.
func selected[V any](table map[string]V, key func(V) string, match func(V) bool) []V {
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
