// Package control is the administration of the catalog: it submits operators'
// changes to the consensus group of the control members, answers reads, and
// serves the change feed that entries follow. Each request may be sent to any
// member; the group passes on what only its leader can do.
package control

import (
	"context"

	"github.com/sequoialane/sequoialane/internal/plan"
)

// Group is the consensus group of the control members, seen from this one.
type Group interface {
	// Propose returns the result of the committed command. It fails with
	// consensus.ErrNotLeader (not proposed), consensus.ErrUnknownOutcome (may
	// be committed later) or consensus.ErrStopped.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this member has applied every command committed
	// before the call, confirmed by a majority.
	ReadBarrier(ctx context.Context) error
	// Status returns the group as this member sees it.
	Status() GroupStatus
}

// GroupStatus describes a consensus group.
type GroupStatus struct {
	Member       string        `json:"member" doc:"name of the member that answers"`
	Leader       string        `json:"leader" doc:"name of the leader; empty if none is known"`
	Term         uint64        `json:"term"`
	CommitIndex  uint64        `json:"commit_index"`
	AppliedIndex uint64        `json:"applied_index"`
	Members      []GroupMember `json:"members"`
}

// GroupMember is a member of the group's configuration.
type GroupMember struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Voter       bool   `json:"voter"`
	Address     string `json:"address,omitempty" doc:"IP address and port of its administration API"`
}

// Catalog is the copy of the catalog that the group feeds. *plan.Machine
// implements it.
type Catalog interface {
	Current() *plan.Snapshot
	DeltaSince(version uint64) plan.Delta
	Changed() <-chan struct{}
	Result(changeID string) (plan.Result, bool)
}

var _ Catalog = (*plan.Machine)(nil)
