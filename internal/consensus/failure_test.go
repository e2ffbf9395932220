package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newAdmittedSim returns a group with all members admitted and one command.
func newAdmittedSim(t *testing.T, size int, durable bool) *sim {
	t.Helper()
	s := newSim(1, size, durable)
	s.requireAllAdmitted(t)
	require.True(t, s.propose(s.leader()))
	s.run(simElectionTimeout)
	return s
}

func (s *sim) requireAllAdmitted(t *testing.T) {
	t.Helper()
	require.True(t, s.runUntil(s.allAdmitted), s.describe())
}

func (s *sim) others(n *simNode) []*simNode {
	var others []*simNode
	for _, other := range s.nodes {
		if other != n {
			others = append(others, other)
		}
	}
	return others
}

// requireCommit proposes a command on the leader and waits until all running
// members but the excepted one have applied it.
func (s *sim) requireCommit(t *testing.T, except *simNode) {
	t.Helper()
	require.True(t, s.runUntil(func() bool { return s.leader() != nil && s.leader() != except }), s.describe())
	leaderNode := s.leader()
	require.True(t, s.propose(leaderNode))
	command := fmt.Sprint("command ", len(s.proposed)-1)
	require.True(t, s.runUntil(func() bool {
		for _, n := range s.nodes {
			if n != except && n.core != nil && (len(n.commands) == 0 || n.commands[len(n.commands)-1] != command) {
				return false
			}
		}
		return true
	}), s.describe())
}

// Guards against lost commands when a second member fails right after a lost
// disk was replaced.
func TestLostDiskThenSecondFailure(t *testing.T) {
	for lost := range 3 {
		for second := range 3 {
			if lost == second {
				continue
			}
			t.Run(fmt.Sprint(lost, second), func(t *testing.T) {
				s := newAdmittedSim(t, 3, true)
				s.crash(s.nodes[lost], false)
				s.requireCommit(t, s.nodes[lost])
				s.start(s.nodes[lost])
				s.requireAllAdmitted(t)
				s.crash(s.nodes[second], true)
				s.requireCommit(t, nil)
				assert.Equal(t, []string{"command 0", "command 1", "command 2"}, s.nodes[lost].commands)
			})
		}
	}
}

// Guards against blank members of a disk group that form a new epoch although a
// member still has the state of the old one.
func TestDiskGroupNeverFormsAgain(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	epoch := s.nodes[0].core.epoch
	for _, n := range s.nodes[:2] {
		s.crash(n, false)
		s.start(n)
	}
	s.run(time.Minute)
	assert.Nil(t, s.leader(), s.describe())
	assert.Equal(t, epoch, s.nodes[2].core.epoch)
	assert.True(t, s.nodes[0].core.isBlank() && s.nodes[1].core.isBlank(), s.describe())
}

// Guards against a leader that stays leader, or serves reads, while it is
// partitioned in one direction.
func TestLeaderPartitionedOneWay(t *testing.T) {
	cases := []struct {
		desc     string
		from, to bool
	}{
		{"cannot send", true, false},
		{"cannot receive", false, true},
		{"neither", true, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s := newAdmittedSim(t, 3, true)
			oldLeader := s.leader()
			s.isolate(oldLeader, tc.from, tc.to)
			s.read(oldLeader)
			s.requireCommit(t, oldLeader)
			assert.NotEqual(t, leader, oldLeader.core.role)
			s.read(oldLeader)
			s.repairAll()
			s.requireCommit(t, nil)
		})
	}
}

// Guards against a read that is confirmed by a response to a heartbeat sent
// before the read started.
func TestReadNeedsNewHeartbeatResponse(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	c := s.leader().core
	late := message{Type: msgHeartbeatResp, To: c.id, Epoch: c.epoch, Term: c.term, Sent: c.lastSentTime}
	require.True(t, c.readIndex(1, false))
	for _, n := range s.others(s.leader()) {
		late.From = n.core.id
		c.step(late)
	}
	assert.Empty(t, c.readStates)
	c.tick(s.now)
	late.Sent = c.lastSentTime
	c.step(late)
	assert.Len(t, c.readStates, 1)
}

// Guards against a read on a heartbeat that costs one of its own, or that is confirmed by
// a response to a heartbeat sent before the read started.
func TestReadOnHeartbeatWaitsForRegularOne(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	c := s.leader().core
	before := c.lastSentTime
	require.True(t, c.readIndexOnHeartbeat(1, false))
	response := message{Type: msgHeartbeatResp, From: s.others(s.leader())[0].core.id, To: c.id, Epoch: c.epoch, Term: c.term, Sent: before}
	c.step(response)
	c.tick(s.now)
	assert.Equal(t, before, c.lastSentTime, "no heartbeat is sent for the read")
	assert.Empty(t, c.readStates)
	c.tick(c.heartbeatDue)
	response.Sent = c.lastSentTime
	c.step(response)
	assert.Len(t, c.readStates, 1)
}

// Guards against a returning member that deposes the leader with a higher term.
func TestReturningMemberKeepsLeader(t *testing.T) {
	for _, fault := range []string{"cut", "frozen", "cannot receive"} {
		t.Run(fault, func(t *testing.T) {
			s := newAdmittedSim(t, 3, true)
			leaderNode := s.leader()
			term := leaderNode.core.term
			silent := s.others(leaderNode)[0]
			switch fault {
			case "cut":
				s.isolate(silent, true, true)
			case "cannot receive":
				s.isolate(silent, false, true)
			case "frozen":
				silent.paused = true
			}
			for range 8 {
				s.requireCommit(t, silent)
				s.run(3 * time.Second)
			}
			s.repairAll()
			s.requireCommit(t, nil)
			assert.Equal(t, leaderNode, s.leader())
			assert.Equal(t, term, leaderNode.core.term)
		})
	}
}

// Guards against a paused leader that still acts as the leader when it resumes.
func TestPausedLeaderStepsDownOnResume(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	oldLeader := s.leader()
	oldLeader.paused = true
	s.requireCommit(t, oldLeader)
	term := s.leader().core.term
	oldLeader.paused = false
	assert.False(t, s.propose(oldLeader), "a resumed leader accepts a command")
	s.read(oldLeader)
	s.requireCommit(t, nil)
	assert.Equal(t, term, s.leader().core.term)
}

// Guards against an append that is lost after an acknowledged one and never sent
// again.
func TestLostAppendIsSentAgain(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	leaderNode := s.leader()
	lagging := s.others(leaderNode)[0]
	require.True(t, s.propose(leaderNode))
	s.dropMessage = func(m message) bool { return m.Type == msgAppend && m.To == lagging.core.id }
	require.True(t, s.propose(leaderNode))
	s.dropMessage = nil
	s.run(2 * time.Second)
	assert.Equal(t, leaderNode.commands, lagging.commands)
}

// Guards against a late snapshot that removes acknowledged entries.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	leaderNode := s.leader()
	n := s.others(leaderNode)[0]
	s.dropMessage = func(m message) bool { return m.Type == msgHeartbeat || m.Type == msgAppend && len(m.Entries) == 0 }
	require.True(t, s.propose(leaderNode))
	require.True(t, s.propose(leaderNode))
	s.run(100 * time.Millisecond)
	commit, last := n.core.log.commit, n.core.log.lastIndex()
	require.Less(t, commit+1, last)
	term, _ := n.core.log.term(commit + 1)
	late := snapshot{Epoch: n.core.epoch, Index: commit + 1, Term: term, Config: n.core.config.clone()}
	n.core.step(message{
		Type: msgSnapshot, From: leaderNode.core.id, To: n.core.id, Epoch: n.core.epoch, Term: n.core.term, Snapshot: &late,
	})
	assert.Equal(t, last, n.core.log.lastIndex())
	assert.Equal(t, commit+1, n.core.log.commit)
}

// Guards against a member that waits forever in an epoch that only a minority
// has accepted, and against such an epoch that replaces a working one.
func TestMinorityEpochIsAbandoned(t *testing.T) {
	s := newSim(3, 5, false)
	// The first member to form an epoch reaches only one other member.
	reached := ""
	s.dropMessage = func(m message) bool {
		if m.Type != msgSnapshot {
			return false
		}
		if reached == "" {
			reached = m.To.Slot
		}
		return m.To.Slot != reached
	}
	require.True(t, s.runUntil(func() bool { return reached != "" }))
	s.run(time.Second)
	s.dropMessage = nil
	s.requireAllAdmitted(t)
	s.requireCommit(t, nil)
}

// Guards against a repeatedly restarted member of a memory group that is not
// admitted again or makes the others lose their state.
func TestMemoryMembersRestartInTurn(t *testing.T) {
	s := newAdmittedSim(t, 5, false)
	epoch := s.leader().core.epoch
	for round := range 15 {
		n := s.nodes[round%5]
		s.crash(n, false)
		s.start(n)
		s.requireAllAdmitted(t)
		s.requireCommit(t, nil)
	}
	assert.Equal(t, epoch, s.leader().core.epoch)
	assert.Len(t, s.nodes[0].commands, 16)
}

// Guards against a member that continues with the state of a lost epoch.
func TestMinorityWithStateJoinsNewEpoch(t *testing.T) {
	s := newAdmittedSim(t, 5, false)
	old := s.leader().core.epoch
	for _, n := range s.nodes[:2] {
		s.isolate(n, true, true)
	}
	for _, n := range s.nodes[2:] {
		s.crash(n, false)
		s.start(n)
	}
	require.True(t, s.runUntil(func() bool { return s.leader() != nil && s.leader().core.epoch > old }), s.describe())
	require.True(t, s.propose(s.leader()))
	s.run(simElectionTimeout)
	s.repairAll()
	s.requireAllAdmitted(t)
	s.requireCommit(t, nil)
	assert.Equal(t, []string{"command 1", "command 2"}, s.nodes[0].commands)
}

// Guards against two members that campaign at the same time, again and again, and
// split the votes: a group whose leader is lost has the next one within the time in
// which a follower notices the loss, and one campaign.
func TestVotesAreNotSplit(t *testing.T) {
	const campaign = simElectionTimeout / 2
	for seed := range uint64(200) {
		s := newDynamicSim(seed, 3, 3, true)
		s.requireAllAdmitted(t)
		s.run(simElectionTimeout)
		s.crash(s.leader(), false)
		lost := s.now
		require.True(t, s.runUntil(func() bool { return s.leader() != nil }), s.describe())
		assert.LessOrEqual(t, s.now.Sub(lost), 2*simElectionTimeout+campaign, "seed %d", seed)
	}
}

// Guards against members that put off their campaigns for ever for one that sends
// requests and receives no responses.
func TestOneWayCandidateHoldsUpNoElection(t *testing.T) {
	for seed := range uint64(50) {
		s := newDynamicSim(seed, 3, 5, true)
		s.requireAllAdmitted(t)
		s.run(simElectionTimeout)
		lost := s.leader()
		deaf := s.others(lost)[0]
		for _, other := range s.others(deaf) {
			s.blockedLinks[[2]string{other.slot, deaf.slot}] = true
		}
		s.crash(lost, false)
		at := s.now
		require.True(t, s.runUntil(func() bool { return s.leader() != nil }), s.describe())
		assert.LessOrEqual(t, s.now.Sub(at), 4*simElectionTimeout, "seed %d", seed)
	}
}
