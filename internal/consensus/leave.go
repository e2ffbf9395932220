package consensus

import (
	"context"
	"errors"
	"time"
)

// errLeading is the result of a leave request of the leader, which must transfer
// its leadership first.
var errLeading = errors.New("consensus: this member leads")

// leaveDecision is the decision of the leader on a member that leaves.
type leaveDecision uint8

const (
	leaveUndecided leaveDecision = iota
	leaveKept                    // it stays in the configuration, because the quorum is the same without it
	leaveRemoved                 // it no longer counts
)

// leaveState is the state of a member that is about to stop.
type leaveState struct {
	started      bool
	nextAnnounce time.Time
	decision     leaveDecision
	wasVoter     bool // its own configuration has named this member
}

// startLeave announces to the leader that this member is about to stop. The
// member votes until the group has decided whether it still counts, and it does
// not join again. A member that its own configuration does not name yet may be one
// by the log of the leader.
func (c *core) startLeave() {
	if !c.leave.started {
		c.leave.started = true
		c.leave.nextAnnounce = c.now
	}
	c.tickLeave()
}

// tickLeave repeats the announcement until the leader has decided.
func (c *core) tickLeave() {
	c.leave.wasVoter = c.leave.wasVoter || c.config.contains(c.id)
	if !c.leave.started || c.leave.decision != leaveUndecided {
		return
	}
	switch {
	case !c.dynamic:
		c.leave.decision = leaveKept
	case c.isBlank() || c.leave.wasVoter && !c.config.contains(c.id):
		c.leave.decision = leaveRemoved
	}
	if c.leave.decision != leaveUndecided {
		return
	}
	if c.role == leader || c.leader == (MemberID{}) || c.now.Before(c.leave.nextAnnounce) {
		return
	}
	c.leave.nextAnnounce = c.now.Add(c.heartbeatInterval)
	c.send(message{Type: msgLeave, To: c.leader, Term: c.term})
}

// stepLeave removes a leaving member if the group needs fewer votes without it,
// and tells it the decision. It sends no response while a membership change is
// pending or the group cannot spare the member; it then repeats its announcement.
func (c *core) stepLeave(m message) {
	if c.role != leader {
		return
	}
	c.leavers[m.From] = c.now
	if p := c.learners[m.From.Slot]; p != nil && p.id == m.From {
		delete(c.learners, m.From.Slot)
	}
	if c.votingConfig().contains(m.From) {
		c.removeDepartedVoter()
	}
	if c.pendingChangeIndex != 0 || !c.log.matches(c.log.commit, c.term) {
		return
	}
	kept := c.config.contains(m.From)
	if kept && !c.canSpare(m.From) {
		return
	}
	c.send(message{Type: msgLeaveResp, To: m.From, Term: c.term, Reject: kept})
}

func (c *core) stepLeaveResp(m message) {
	if !c.leave.started || c.leave.decision != leaveUndecided || m.From != c.leader {
		return
	}
	c.leave.decision = leaveRemoved
	if m.Reject {
		c.leave.decision = leaveKept
	}
}

// Leave prepares the group for the end of this member, which must be stopped
// afterwards. It transfers leadership, and has the leader remove this member if
// the group is dynamic and needs fewer votes without it. Until the leader has
// decided, the member goes on voting: the group may depend on it if another
// member fails at the same time. The error is that of ctx if there was no
// decision.
func (g *Group) Leave(ctx context.Context) error {
	for {
		if err := g.TransferLeadership(ctx); err != nil && !errors.Is(err, ErrNotTransferred) {
			return err
		}
		if err := g.callLoop(ctx, g.leaves); !errors.Is(err, errLeading) {
			return err
		}
	}
}

func (g *Group) handleLeave(done chan error) {
	g.core.startLeave()
	g.pendingLeaves = append(g.pendingLeaves, done)
}

// finishLeaves ends the calls of Leave once the leader has decided, or if this
// member leads and must transfer its leadership again.
func (g *Group) finishLeaves() {
	if len(g.pendingLeaves) == 0 {
		return
	}
	var err error
	switch {
	case g.core.leave.decision != leaveUndecided:
	case g.core.role == leader:
		err = errLeading
	default:
		return
	}
	for _, done := range g.pendingLeaves {
		done <- err
	}
	g.pendingLeaves = nil
}
