package claims

import (
	"context"
	"errors"
	"time"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Group is the consensus group that replicates the table of a member.
type Group interface {
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	ReadBarrier(ctx context.Context) error
	// Leader returns the name of the leader, or "" if it is not known, and
	// whether this member is the leader.
	Leader() (name string, self bool)
}

// notLeaderError is returned by a member that is not the leader of its group. The
// leader is "" if it is not known.
type notLeaderError struct{ leader string }

func (e notLeaderError) Error() string {
	return "claims: this member is not the leader of the claim group"
}

// errNotProposed is returned by a leader whose queue of commands is full. It
// doesn't wrap its cause: a wrapped deadline error would be taken for an unknown
// outcome.
var errNotProposed = errors.New("claims: leader has too many pending commands; the command was not proposed")

// Member is the member of this entry in one claim group.
type Member struct {
	table       *Table
	group       Group
	clock       sys.Clock
	start       time.Time
	clockSource string
}

// NewMember returns a member. clockSource identifies this run of the entry and
// must be different for each run.
func NewMember(table *Table, group Group, clock sys.Clock, clockSource string) *Member {
	return &Member{table: table, group: group, clock: clock, start: clock.Now(), clockSource: clockSource}
}

func (m *Member) timestamp() timestamp {
	now := m.clock.Now()
	return timestamp{WallMS: now.UnixMilli(), MonoMS: now.Sub(m.start).Milliseconds(), ClockSource: m.clockSource}
}

// call proposes a command and returns its outcome. Only the leader proposes, so
// that the timestamps of a group come from one clock as long as it has the same
// leader.
func (m *Member) call(ctx context.Context, c command) (outcome, error) {
	if leader, self := m.group.Leader(); !self {
		return outcome{}, notLeaderError{leader}
	}
	c.At = m.timestamp()
	result, err := m.group.Propose(ctx, encode(c))
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return outcome{}, notLeaderError{}
	case errors.Is(err, consensus.ErrBusy):
		return outcome{}, errNotProposed
	case err != nil:
		return outcome{}, err
	}
	return decodeOutcome(result)
}

// wait returns the state of the claim as soon as it is not running, or when the
// limit has passed or ctx ends.
func (m *Member) wait(ctx context.Context, c command, limit time.Duration) (outcome, error) {
	if leader, self := m.group.Leader(); !self {
		return outcome{}, notLeaderError{leader}
	}
	if err := m.group.ReadBarrier(ctx); err != nil {
		return outcome{}, err
	}
	timeout := m.clock.After(limit)
	for {
		changed, stop := m.table.watch(c.claimID())
		c.At = m.timestamp()
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
