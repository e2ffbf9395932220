package consensus

import (
	"time"

	"go.uber.org/zap"
)

// Role is what a member does in its group.
type Role string

// The roles.
const (
	RoleBlank     Role = "blank" // holds no state of the group
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
	RoleStopped   Role = "stopped"
)

// Status is a view of a group as one member sees it.
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
	// Settled is set by the leader if a majority knows the last change of
	// members. Only then has a repaired member replaced the lost one, and only
	// then does a new group survive the failure of a member.
	Settled    bool          `json:"settled"`
	LeaderSeen time.Duration `json:"leader_seen"` // time since a leader was known
	Failure    string        `json:"failure"`     // storage error that has stopped the member

	leaderStamp int64 // latest message.Sent of the leader
}

// MemberStatus is one slot of a group.
type MemberStatus struct {
	Slot        string        `json:"slot"`
	Address     string        `json:"address"`
	Incarnation uint64        `json:"incarnation"` // that votes; 0: the slot is vacant
	Learner     uint64        `json:"learner"`     // incarnation that is being admitted, known to the leader only; 0: none
	Silence     time.Duration `json:"silence"`     // since the member answered the leader, known to the leader only
	Match       uint64        `json:"match"`       // last stored entry, known to the leader only
}

// Status returns the state of the member after its last round of work.
func (g *Group) Status() Status { return *g.status.Load() }

func (g *Group) publishStatus(stopped bool) {
	c := g.core
	previous := g.status.Load()
	s := &Status{
		Group:        g.config.Group,
		Self:         c.id,
		Role:         c.publicRole(),
		Leader:       c.leader,
		Epoch:        c.epoch,
		Term:         c.term,
		LastIndex:    c.log.lastIndex(),
		CommitIndex:  c.log.commit,
		AppliedIndex: c.log.applied,
		Settled:      c.settled(),
		leaderStamp:  c.leaderStamp,
	}
	if c.role != leader {
		s.LeaderSeen = c.now.Sub(c.leaderSeen)
	}
	if c.log.snapshot.Fence != 0 {
		s.Fence = time.Unix(0, c.log.snapshot.Fence)
	}
	for _, member := range g.members() {
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
		g.config.Logger.Info("consensus role",
			zap.String("group", current.Group), zap.String("role", string(current.Role)),
			zap.String("leader", current.Leader.Slot), zap.Uint64("epoch", current.Epoch), zap.Uint64("term", current.Term))
	}
	if g.core.foreignSlots && !g.slotsLogged {
		g.slotsLogged = true
		g.config.Logger.Error("consensus settings list other slots than the group has",
			zap.String("group", current.Group), zap.Strings("slots", g.core.slots))
	}
}

func (c *core) publicRole() Role {
	switch {
	case c.blank():
		return RoleBlank
	case c.role == leader:
		return RoleLeader
	case !c.voter():
		return RoleLearner
	case c.role == follower:
		return RoleFollower
	}
	return RoleCandidate
}

func (c *core) memberStatus(member Member) MemberStatus {
	s := MemberStatus{Slot: member.Slot, Address: member.Address, Incarnation: c.config[member.Slot]}
	if c.role != leader {
		return s
	}
	if p := c.peers[member.Slot]; p != nil {
		s.Match = p.match
		s.Silence = c.now.Sub(p.contact)
	}
	if p := c.learners[member.Slot]; p != nil {
		s.Learner = p.id.Incarnation
	}
	if member.Slot == c.id.Slot {
		s.Match = c.log.stored
	}
	return s
}
