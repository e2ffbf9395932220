package control

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// groupName is part of the URL paths of requests between control members.
const groupName = "control"

// GroupOptions configures the member of the control group.
type GroupOptions struct {
	Settings     *Settings
	Storage      consensus.Storage
	StateMachine consensus.StateMachine
	FleetToken   string
	Clock        sys.Clock
	Log          *zap.Logger
	// SnapshotEvery is the minimum number of changes between snapshots; 0: the
	// default of the consensus package.
	SnapshotEvery int
}

// StartGroup starts this process's member of the control group. The caller
// must serve the group's Handler on the peer address.
func StartGroup(options GroupOptions) (*consensus.Group, error) {
	members := lo.Map(options.Settings.Members, func(m MemberSettings, _ int) consensus.Member {
		return consensus.Member{Slot: m.Name, Address: m.PeerAddress}
	})
	group, err := consensus.Start(consensus.Config{
		Group:        groupName,
		Self:         options.Settings.Name,
		Members:      members,
		Storage:      options.Storage,
		StateMachine: options.StateMachine,
		Clock:        options.Clock,
		Logger:       options.Log,
		Token:        options.FleetToken,

		SnapshotEvery: options.SnapshotEvery,
	})
	return group, trace.Wrap(err)
}

// consensusGroup adapts a consensus.Group to Group.
type consensusGroup struct{ group *consensus.Group }

// NewGroup returns a Group backed by the consensus group.
func NewGroup(group *consensus.Group) Group { return consensusGroup{group} }

// Propose implements Group.
func (g consensusGroup) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return g.group.Propose(ctx, command)
}

// ReadBarrier implements Group.
func (g consensusGroup) ReadBarrier(ctx context.Context) error { return g.group.ReadBarrier(ctx) }

// Status implements Group.
func (g consensusGroup) Status() controlapi.GroupStatus {
	s := g.group.Status()
	return controlapi.GroupStatus{
		Member:       s.Self.Slot,
		Role:         string(s.Role),
		Leader:       s.Leader.Slot,
		Term:         s.Term,
		CommitIndex:  s.CommitIndex,
		AppliedIndex: s.AppliedIndex,
		Settled:      s.Settled,
		Failure:      s.Failure,
		Members: lo.Map(s.Members, func(m consensus.MemberStatus, _ int) controlapi.GroupMember {
			return controlapi.GroupMember{Name: m.Slot, Incarnation: m.Incarnation, Learner: m.LearnerIncarnation, Match: m.MatchIndex}
		}),
	}
}
