package claims

import (
	"context"
	"errors"
	"time"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Group is what a member needs of the consensus group that feeds its table.
type Group interface {
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	ReadBarrier(ctx context.Context) error
	// Leader returns the name of the leading member, or "", and whether it is
	// this member.
	Leader() (name string, self bool)
}

// errNotLeader is returned by a member that does not lead its group.
type errNotLeader struct{ leader string }

func (e errNotLeader) Error() string { return "claims: this member does not lead the group" }

// errNotProposed is returned by a leader that has too many commands waiting. It
// hides the cause: a deadline in it would read as an unknown outcome.
var errNotProposed = errors.New("claims: the leader is busy; the command was not proposed")

// Member is the local member of one claim group.
type Member struct {
	table  *Table
	group  Group
	clock  sys.Clock
	start  time.Time
	source string
}

// NewMember returns the member. The source names this run of the entry; no two
// runs have the same.
func NewMember(table *Table, group Group, clock sys.Clock, source string) *Member {
	return &Member{table: table, group: group, clock: clock, start: clock.Now(), source: source}
}

func (m *Member) stamp() stamp {
	now := m.clock.Now()
	return stamp{WallMS: now.UnixMilli(), MonoMS: now.Sub(m.start).Milliseconds(), Source: m.source}
}

// call runs a command. Only the leader proposes, so that the stamps of a group
// come from one clock as long as its leader stays.
func (m *Member) call(ctx context.Context, c command) (outcome, error) {
	if leader, self := m.group.Leader(); !self {
		return outcome{}, errNotLeader{leader}
	}
	c.At = m.stamp()
	result, err := m.group.Propose(ctx, encode(c))
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return outcome{}, errNotLeader{}
	case errors.Is(err, consensus.ErrBusy):
		return outcome{}, errNotProposed
	case err != nil:
		return outcome{}, err
	}
	return decodeOutcome(result)
}

// wait returns the state of the claim as soon as it is not running, or after
// the limit.
func (m *Member) wait(ctx context.Context, c command, limit time.Duration) (outcome, error) {
	if leader, self := m.group.Leader(); !self {
		return outcome{}, errNotLeader{leader}
	}
	if err := m.group.ReadBarrier(ctx); err != nil {
		return outcome{}, err
	}
	timeout := m.clock.After(limit)
	for {
		changed, stop := m.table.watch(c.id())
		c.At = m.stamp()
		o := m.table.lookup(c)
		if o.State != Running {
			stop()
			return o, nil
		}
		select {
		case <-changed:
		case <-timeout:
			stop()
			return o, nil
		case <-ctx.Done():
			stop()
			return o, nil
		}
	}
}
