package consensus

import (
	"time"

	"go.uber.org/zap"
)

// Role is the role of a member in its group.
type Role string

// Roles of a member.
const (
	RoleBlank     Role = "blank" // holds no state of the group
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
	RoleStopped   Role = "stopped"
)

// Status describes a group as one member sees it.
type Status struct {
	Group        string         `json:"group"`
	Self         MemberID       `json:"self"`
	Role         Role           `json:"role"`
	Leader       MemberID       `json:"leader"` // zero: not known
	Epoch        uint64         `json:"epoch"`  // 0: blank
	Term         uint64         `json:"term"`
	LastIndex    uint64         `json:"last_index"`
	CommitIndex  uint64         `json:"commit_index"`
	AppliedIndex uint64         `json:"applied_index"`
	Fence        time.Time      `json:"fence"` // zero: none
	Members      []MemberStatus `json:"members"`
	// Settled is set by the leader if a majority knows the last membership
	// change. Only then has a repaired member replaced the lost one, and only
	// then does a new group survive the failure of a member.
	Settled bool `json:"settled"`
	// ToleratedLosses is the number of voting members that may lose their state at the
	// same time.
	ToleratedLosses int           `json:"tolerated_losses"`
	LeaderlessFor   time.Duration `json:"leader_seen"` // time without a known leader; 0 on the leader
	Failure         string        `json:"failure"`     // error that has stopped the member

	lastLeaderSent int64 // latest message.Sent of the leader
}

// MemberStatus describes one slot of a group.
type MemberStatus struct {
	Slot               string        `json:"slot"`
	Address            string        `json:"address"`
	Incarnation        uint64        `json:"incarnation"` // incarnation that votes; 0: the slot is vacant
	LearnerIncarnation uint64        `json:"learner"`     // incarnation that is being admitted, known to the leader only; 0: none
	SinceLastResponse  time.Duration `json:"silence"`     // time since the last response to the leader, known to the leader only
	MatchIndex         uint64        `json:"match"`       // index of the last stored entry, known to the leader only
}

// Status returns the state of the member after the last iteration of its loop.
func (g *Group) Status() Status { return *g.status.Load() }

func (g *Group) publishStatus(stopped bool) {
	c := g.core
	previous := g.status.Load()
	s := &Status{
		Group:        g.config.Group,
		Self:         c.id,
		Role:         c.statusRole(),
		Leader:       c.leader,
		Epoch:        c.epoch,
		Term:         c.term,
		LastIndex:    c.log.lastIndex(),
		CommitIndex:  c.log.commit,
		AppliedIndex: c.log.applied,
		Settled:      c.isSettled(),

		ToleratedLosses: c.config.toleratedLosses(),
		lastLeaderSent:  c.lastLeaderSent,
	}
	if c.role != leader {
		s.LeaderlessFor = c.now.Sub(c.leaderLastKnown)
	}
	if c.log.snapshot.Fence != 0 {
		s.Fence = time.Unix(0, c.log.snapshot.Fence)
	}
	for _, member := range g.statusMembers() {
		s.Members = append(s.Members, c.memberStatus(member))
	}
	if stopped {
		s.Role = RoleStopped
		s.Leader = MemberID{}
	}
	if g.failure != nil {
		s.Failure = g.failure.Error()
	}
	g.status.Store(s)
	g.logChanges(previous, s)
}

func (g *Group) logChanges(previous, current *Status) {
	if previous != nil && previous.Leader != current.Leader && current.Leader != (MemberID{}) {
		g.counters.leaderChanges.Inc()
	}
	if previous == nil || previous.Role != current.Role || previous.Leader != current.Leader {
		g.config.Logger.Info("consensus role or leader changed",
			zap.String("group", current.Group), zap.String("role", string(current.Role)),
			zap.String("leader", current.Leader.Slot), zap.Uint64("epoch", current.Epoch), zap.Uint64("term", current.Term))
	}
	if g.core.slotsMismatch && !g.slotsMismatchLogged {
		g.slotsMismatchLogged = true
		g.config.Logger.Error("consensus snapshot rejected: its slots differ from the configured slots",
			zap.String("group", current.Group), zap.Strings("slots", g.core.slots))
	}
}

func (c *core) statusRole() Role {
	switch {
	case c.isBlank():
		return RoleBlank
	case c.role == leader:
		return RoleLeader
	case !c.isVoter():
		return RoleLearner
	case c.role == follower:
		return RoleFollower
	}
	return RoleCandidate
}

func (c *core) memberStatus(member Member) MemberStatus {
	status := MemberStatus{Slot: member.Slot, Address: member.Address, Incarnation: c.config[member.Slot]}
	if c.role != leader {
		return status
	}
	if p := c.voters[member.Slot]; p != nil {
		status.MatchIndex = p.match
		status.SinceLastResponse = c.now.Sub(p.lastContact)
	}
	if p := c.learners[member.Slot]; p != nil {
		status.LearnerIncarnation = p.id.Incarnation
	}
	if member.Slot == c.id.Slot {
		status.MatchIndex = c.log.stored
	}
	return status
}
