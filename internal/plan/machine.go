package plan

import (
	"encoding/json"
	"sync"
)

// Machine is the state machine that a consensus group feeds: commands are
// encoded Changes, and results are encoded Results. It is safe for concurrent
// use.
type Machine struct {
	mu       sync.Mutex
	catalog  *Catalog
	lines    map[string][]byte // encoded record by plan id, for Snapshot
	lastSize int               // bytes of the last snapshot
	changed  chan struct{}     // closed when the version rises
}

// NewMachine returns a machine with an empty catalog.
func NewMachine() *Machine {
	return &Machine{catalog: NewCatalog(), lines: make(map[string][]byte), changed: make(chan struct{})}
}

// Apply makes the change in the command and returns its encoded Result. The
// result of an unreadable command is Invalid on every member.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.catalog.current.version
	var ch Change
	result := Result{Outcome: Invalid, Version: before, Detail: "command cannot be read"}
	if err := json.Unmarshal(command, &ch); err == nil {
		result = m.catalog.Apply(ch)
	}
	if result.Outcome == Accepted && result.Version > before {
		m.encodeChanged()
		m.notify()
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		panic("plan: result cannot be encoded: " + err.Error())
	}
	return encoded
}

// Current returns the catalog at the version applied last.
func (m *Machine) Current() *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.current
}

// DeltaSince returns what changed after the version.
func (m *Machine) DeltaSince(version uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.DeltaSince(version)
}

// Result returns the stored result of a change id.
func (m *Machine) Result(id string) (Result, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.Result(id)
}

// Changed returns a channel that is closed when the version rises.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
