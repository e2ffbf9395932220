package consensus

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a graceful stop of the leader that costs an election timeout,
// and against a transfer to a member that lacks entries of the leader.
func TestTransferLeadership(t *testing.T) {
	for _, size := range []int{3, 5} {
		s := newAdmittedSim(t, size, true)
		oldLeader := s.leader()
		lagging := s.others(oldLeader)[0]
		s.dropMessage = func(m message) bool { return m.Type == msgAppend && m.To.Slot == lagging.slot }
		require.True(t, s.propose(oldLeader))
		term := oldLeader.core.term
		require.True(t, oldLeader.core.startTransfer())
		assert.False(t, s.propose(oldLeader), "a new entry would make the target lag again")
		s.processReady(oldLeader)
		// Less than the election timeout, but enough for three round trips.
		s.run(simElectionTimeout / 2)
		s.dropMessage = nil
		next := s.leader()
		require.NotNil(t, next, s.describe())
		assert.NotEqual(t, oldLeader.slot, next.slot)
		assert.NotEqual(t, lagging.slot, next.slot)
		assert.Equal(t, term+1, next.core.term)
		assert.False(t, oldLeader.core.isTransferring())
		s.run(simElectionTimeout)
		assert.Equal(t, []string{"command 0", "command 1"}, next.commands)
	}
}

// Guards against a leader that rejects proposals forever after a failed transfer,
// and against use of the lease that it has given up.
func TestTransferWithoutTarget(t *testing.T) {
	s := newAdmittedSim(t, 3, true)
	oldLeader := s.leader()
	s.dropMessage = func(m message) bool { return m.Type == msgTransfer }
	require.True(t, oldLeader.core.startTransfer())
	s.processReady(oldLeader)
	assert.True(t, oldLeader.core.leaseUntil().IsZero())
	s.run(simElectionTimeout / 2)
	assert.True(t, oldLeader.core.isTransferring())
	s.run(simElectionTimeout)
	assert.Equal(t, oldLeader, s.leader())
	assert.True(t, s.propose(oldLeader))
	assert.True(t, oldLeader.core.leaseUntil().IsZero(), "the message may still arrive")
}

// Guards against an election during contact with a leader that has not requested
// it, and against transfer messages of an older term.
func TestVoteDespiteLeaderNeedsTransfer(t *testing.T) {
	vote := message{Type: msgVote, From: memberB, Epoch: 64, Term: 4, Index: 2, LogTerm: 2}
	for _, transfer := range []bool{false, true} {
		c := newTestCore(true, true)
		stepAndCollect(c, time.Second, message{Type: msgHeartbeat, From: memberC, Epoch: 64, Term: 3, Commit: 1})
		require.Equal(t, memberC, c.leader)
		vote.Transfer = transfer
		got := stepAndCollect(c, time.Second, vote)
		assert.Equal(t, transfer, len(got) == 1 && got[0] == msgVoteResp, "transfer %v: %v", transfer, got)
	}
	c := newTestCore(true, true)
	stepAndCollect(c, time.Second, message{Type: msgTransfer, From: memberC, Epoch: 64, Term: 2})
	assert.Equal(t, follower, c.role, "a transfer of an older term")
	stepAndCollect(c, time.Second, message{Type: msgTransfer, From: memberC, Epoch: 64, Term: 3})
	assert.Equal(t, candidate, c.role)
	assert.Equal(t, uint64(4), c.term)
}

// Guards against a TransferLeadership that returns before another member leads.
func TestGroupTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, true, func(config *Config) { config.ElectionTimeout = 2 * time.Second })
	c.waitUntilSettled()
	old := c.leader()
	c.propose(old, "a")
	before := c.nodes[old].group.Status()
	require.NoError(t, c.nodes[old].group.TransferLeadership(context.Background()))
	after := c.nodes[old].group.Status()
	assert.Equal(t, RoleFollower, after.Role)
	assert.NotEqual(t, before.Self, after.Leader)
	assert.Equal(t, before.Term+1, after.Term)
	c.stop(old)
	left := (old + 1) % 3
	c.propose(left, "b")
	c.requireCommands(left, "a", "b")
	assert.Equal(t, before.Term+1, c.nodes[left].group.Status().Term, "another election")
}
