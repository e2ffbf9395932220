// Package control serves the administration of the catalog: it submits operators'
// changes to the consensus group of the control members, and serves reads and
// the change feed that entries follow. Any member accepts any request;
// the group forwards to the leader what only the leader can do. It is used by
// sequoialane-control; package fleetcontrol is the control member of
// sequoialane-platform.
package control

import (
	"context"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Group is the consensus group of the control members as used by this member.
type Group interface {
	// Propose returns the result of the committed command. After
	// consensus.ErrNotLeader, ErrBusy and ErrStopped it was not proposed; after
	// any other error it may be committed later.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this member has applied every command committed
	// before the call, confirmed by a majority.
	ReadBarrier(ctx context.Context) error
	// Status returns the state of the group as seen by this member.
	Status() controlapi.GroupStatus
}

// Catalog is this member's copy of the catalog, to which the group applies
// changes. *plan.StateMachine implements it.
type Catalog interface {
	Current() *plan.Snapshot
	DeltaSince(version uint64) plan.Delta
	Changed() <-chan struct{}
	Result(changeID string) (plan.Result, bool)
}

var _ Catalog = (*plan.StateMachine)(nil)
