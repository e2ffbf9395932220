package plan

import (
	"encoding/json"
	"sync"
)

// StateMachine is the replicated state machine of the catalog, to which a
// consensus group applies commands. Commands are encoded Changes, and results
// are encoded Results. It is safe for concurrent use.
type StateMachine struct {
	mu               sync.Mutex
	catalog          *Catalog
	encodedRecords   map[string][]byte // by plan id; see Snapshot
	lastSnapshotSize int               // bytes of the last snapshot
	changed          chan struct{}     // closed and replaced when the catalog changes
}

// NewStateMachine returns a state machine with an empty catalog.
func NewStateMachine() *StateMachine {
	return &StateMachine{catalog: NewCatalog(), encodedRecords: make(map[string][]byte), changed: make(chan struct{})}
}

// Apply applies the change in the command and returns its encoded Result. The
// result of a command that cannot be decoded is Invalid, so every member
// returns the same.
func (m *StateMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.catalog.current.version
	var ch Change
	result := Result{Outcome: Invalid, Version: before, Detail: "command cannot be read"}
	if err := json.Unmarshal(command, &ch); err == nil {
		result = m.catalog.Apply(ch)
	}
	if result.Outcome == Accepted && result.Version > before {
		m.encodeChangedRecords()
		m.notify()
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		panic("plan: result cannot be encoded: " + err.Error())
	}
	return encoded
}

// Current returns the catalog at its current version.
func (m *StateMachine) Current() *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.current
}

// DeltaSince returns the changes after version, or a full delta if the history
// does not reach back to it or most of the catalog has changed.
func (m *StateMachine) DeltaSince(version uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.DeltaSince(version)
}

// Result returns the stored result of the change with the id.
func (m *StateMachine) Result(id string) (Result, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.Result(id)
}

// Changed returns a channel that is closed when the catalog changes.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *StateMachine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
