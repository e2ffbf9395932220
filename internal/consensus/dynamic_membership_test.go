package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newGrownSim returns a group that was formed by its first three slots and that
// all other members have joined.
func newGrownSim(t *testing.T, size int) *sim {
	t.Helper()
	s := newDynamicSim(1, 3, size, true)
	s.requireAllAdmitted(t)
	s.requireCommit(t, nil)
	return s
}

// Guards against a group whose majority does not grow when members join.
func TestJoinedMembersVote(t *testing.T) {
	s := newGrownSim(t, 5)
	leaderNode := s.leader()
	assert.Equal(t, 3, leaderNode.core.quorum())
	stopped := 0
	for _, n := range s.nodes {
		if n != leaderNode && stopped < 2 {
			s.crash(n, true)
			stopped++
		}
	}
	s.run(simElectionTimeout)
	require.True(t, s.propose(s.leader()))
	for _, n := range s.nodes {
		if n != leaderNode && n.core != nil {
			s.crash(n, true)
			break
		}
	}
	s.run(4 * simElectionTimeout)
	assert.Nil(t, s.leader(), "two of five members must not lead")
}

// Guards against a second group: members without state and without bootstrap
// stay blank, even if no other member has state.
func TestBlankMembersDoNotForm(t *testing.T) {
	s := newDynamicSim(1, 3, 5, true)
	for _, n := range s.nodes {
		s.crash(n, false)
		s.start(n)
	}
	s.run(20 * simElectionTimeout)
	for _, n := range s.nodes {
		assert.True(t, n.core.isBlank(), n.slot)
	}
}

// Guards against a lost member that still counts towards the majority after
// another member has been admitted in its place.
func TestReplacedMemberIsRemoved(t *testing.T) {
	s := newDynamicSim(1, 3, 6, true)
	late := s.nodes[5]
	s.crash(late, true)
	require.True(t, s.runUntil(func() bool { l := s.leader(); return l != nil && len(l.core.config) == 5 }), s.describe())
	s.requireCommit(t, nil)
	gone := s.nodes[1]
	if s.leader() == gone {
		gone = s.nodes[2]
	}
	s.crash(gone, false)
	s.run(4 * simElectionTimeout)
	require.Len(t, s.leader().core.config, 5, "no member has been admitted in its place yet")
	s.start(late)
	require.True(t, s.runUntil(func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		_, listed := l.core.config[gone.slot]
		return !listed && l.core.config.contains(late.core.id)
	}), s.describe())
	s.requireCommit(t, nil)
	assert.Equal(t, 3, s.leader().core.quorum())
}

// Guards against a joining member that does not find the group, because it only
// reaches initial members that are not the leader.
func TestJoinerIsToldTheLeader(t *testing.T) {
	s := newDynamicSim(1, 3, 6, true)
	late := s.nodes[5]
	s.crash(late, true)
	require.True(t, s.runUntil(func() bool { l := s.leader(); return l != nil && len(l.core.config) == 5 }), s.describe())
	// Transfer leadership to a member that is not an initial one.
	for s.leader() == nil || s.slotIndex(s.leader().slot) < 3 {
		s.transfer(false)
		s.run(simElectionTimeout)
	}
	s.crash(s.nodes[0], true)
	s.run(simElectionTimeout)
	s.start(late)
	require.True(t, s.runUntil(func() bool {
		l := s.leader()
		return l != nil && l.core.config.contains(late.core.id)
	}), s.describe())
}

// Guards against a candidate that counts votes by an older configuration than
// the one after its last log entry.
func TestVotingConfigFollowsTheLog(t *testing.T) {
	s := newGrownSim(t, 5)
	c := s.leader().core
	before := len(c.votingConfig())
	c.appendEntry(Entry{Kind: entryRemove, Data: []byte(s.nodes[0].slot)})
	assert.Len(t, c.votingConfig(), before-1)
	assert.Len(t, c.config, before, "the applied configuration changes when the entry is committed")
	c.log.truncate(c.log.lastIndex() - 1)
	assert.Len(t, c.votingConfig(), before)
}

// Guards against a full election timeout without a leader after a restart of
// all members.
func TestShortElectionAfterRestartOfAllMembers(t *testing.T) {
	s := newGrownSim(t, 5)
	for _, n := range s.nodes {
		s.crash(n, true)
	}
	started := s.now
	for _, n := range s.nodes {
		s.start(n)
	}
	require.True(t, s.runUntil(func() bool { return s.leader() != nil }))
	assert.Less(t, s.now.Sub(started), simElectionTimeout)
}

// Guards against a restarted member that deposes the leader.
func TestRestartedMemberKeepsLeader(t *testing.T) {
	s := newGrownSim(t, 5)
	leaderNode := s.leader()
	term := leaderNode.core.term
	for _, n := range s.others(leaderNode) {
		s.crash(n, true)
		s.start(n)
		s.run(2 * simElectionTimeout)
	}
	assert.Equal(t, leaderNode, s.leader())
	assert.Equal(t, term, leaderNode.core.term)
}
