package control

import (
	"context"
	"sync"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/controlapi"
)

// Solo is a group of one member without a log.
type Solo struct {
	mu      sync.Mutex
	name    string
	index   uint64
	machine consensus.StateMachine
}

// NewSolo returns a group that feeds the machine.
func NewSolo(name string, machine consensus.StateMachine) *Solo {
	return &Solo{name: name, machine: machine}
}

// Propose implements Group.
func (s *Solo) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, command), nil
}

// ReadBarrier implements Group.
func (s *Solo) ReadBarrier(context.Context) error { return nil }

// Status implements Group.
func (s *Solo) Status() controlapi.GroupStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return controlapi.GroupStatus{
		Member: s.name, Leader: s.name, Term: 1, CommitIndex: s.index, AppliedIndex: s.index,
		Members: []controlapi.GroupMember{{Name: s.name, Incarnation: 1, Voter: true}},
	}
}
