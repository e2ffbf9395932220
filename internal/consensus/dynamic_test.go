package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// grownSim returns a group of the given size that its first three slots formed.
func grownSim(t *testing.T, size int) *sim {
	t.Helper()
	s := newDynamicSim(1, 3, size, true)
	s.mustBeWhole(t)
	s.mustCommit(t, nil)
	return s
}

// Guards against a group whose majority stays that of the slots that formed it.
func TestJoinedMembersVote(t *testing.T) {
	s := grownSim(t, 5)
	leading := s.leader()
	assert.Equal(t, 3, leading.core.quorum())
	stopped := 0
	for _, n := range s.nodes {
		if n != leading && stopped < 2 {
			s.crash(n, true)
			stopped++
		}
	}
	s.run(simElection)
	require.True(t, s.propose(s.leader()))
	for _, n := range s.nodes {
		if n != leading && n.core != nil {
			s.crash(n, true)
			break
		}
	}
	s.run(4 * simElection)
	assert.Nil(t, s.leader(), "two of five members must not lead")
}

// Guards against a second group: members without state that may not form one
// stay blank, even if all others are gone.
func TestBlankMembersDoNotForm(t *testing.T) {
	s := newDynamicSim(1, 3, 5, true)
	for _, n := range s.nodes {
		s.crash(n, false)
		s.start(n)
	}
	s.run(20 * simElection)
	for _, n := range s.nodes {
		assert.True(t, n.core.blank(), n.slot)
	}
}

// Guards against a member that is gone for good and goes on counting for the
// majority after another one has taken its place.
func TestReplacedMemberIsRemoved(t *testing.T) {
	s := newDynamicSim(1, 3, 6, true)
	late := s.nodes[5]
	s.crash(late, true)
	require.True(t, s.runUntil(func() bool { l := s.leader(); return l != nil && len(l.core.config) == 5 }), s.describe())
	s.mustCommit(t, nil)
	gone := s.nodes[1]
	if s.leader() == gone {
		gone = s.nodes[2]
	}
	s.crash(gone, false)
	s.run(4 * simElection)
	require.Len(t, s.leader().core.config, 5, "nobody has taken its place yet")
	s.start(late)
	require.True(t, s.runUntil(func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		_, listed := l.core.config[gone.slot]
		return !listed && l.core.config.names(late.core.id)
	}), s.describe())
	s.mustCommit(t, nil)
	assert.Equal(t, 3, s.leader().core.quorum())
}

// Guards against a joiner that never finds the group since all its seeds but
// one are gone and that one does not lead.
func TestJoinerIsToldTheLeader(t *testing.T) {
	s := newDynamicSim(1, 3, 6, true)
	late := s.nodes[5]
	s.crash(late, true)
	require.True(t, s.runUntil(func() bool { l := s.leader(); return l != nil && len(l.core.config) == 5 }), s.describe())
	// The lead goes to a member that is not a seed.
	for s.leader() == nil || s.index(s.leader().slot) < 3 {
		s.transfer(false)
		s.run(simElection)
	}
	s.crash(s.nodes[0], true)
	s.run(simElection)
	s.start(late)
	require.True(t, s.runUntil(func() bool {
		l := s.leader()
		return l != nil && l.core.config.names(late.core.id)
	}), s.describe())
}

// Guards against a candidate that counts an older configuration than the one
// its log ends in.
func TestVotingFollowsTheLog(t *testing.T) {
	s := grownSim(t, 5)
	c := s.leader().core
	before := len(c.voting())
	c.appendOwn(Entry{Kind: entryRemove, Data: []byte(s.nodes[0].slot)})
	assert.Len(t, c.voting(), before-1)
	assert.Len(t, c.config, before, "the applied configuration changes when the entry is committed")
	c.log.truncate(c.log.lastIndex() - 1)
	assert.Len(t, c.voting(), before)
}

// Guards against a whole election timeout without a leader after all members
// were stopped at once.
func TestQuickElectionAfterARestartOfAll(t *testing.T) {
	s := grownSim(t, 5)
	for _, n := range s.nodes {
		s.crash(n, true)
	}
	started := s.now
	for _, n := range s.nodes {
		s.start(n)
	}
	require.True(t, s.runUntil(func() bool { return s.leader() != nil }))
	assert.Less(t, s.now.Sub(started), simElection)
}

// Guards against a member that restarts alone and unseats the leader.
func TestRestartedMemberLeavesTheLeader(t *testing.T) {
	s := grownSim(t, 5)
	leading := s.leader()
	term := leading.core.term
	for _, n := range s.others(leading) {
		s.crash(n, true)
		s.start(n)
		s.run(2 * simElection)
	}
	assert.Equal(t, leading, s.leader())
	assert.Equal(t, term, leading.core.term)
}
