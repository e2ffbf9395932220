package consensus

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a leader whose graceful stop costs an election timeout, and
// against a target that lacks entries of the leader.
func TestTransferLeadership(t *testing.T) {
	for _, size := range []int{3, 5} {
		s := wholeSim(t, size, true)
		old := s.leader()
		behind := s.others(old)[0]
		s.lose = func(m message) bool { return m.Type == msgAppend && m.To.Slot == behind.slot }
		require.True(t, s.propose(old))
		term := old.core.term
		require.True(t, old.core.startTransfer())
		assert.False(t, s.propose(old), "a proposal would put the target behind again")
		s.work(old)
		// Far less than the election timeout, but enough for three round trips.
		s.run(simElection / 2)
		s.lose = nil
		next := s.leader()
		require.NotNil(t, next, s.describe())
		assert.NotEqual(t, old.slot, next.slot)
		assert.NotEqual(t, behind.slot, next.slot)
		assert.Equal(t, term+1, next.core.term)
		assert.False(t, old.core.transferring())
		s.run(simElection)
		assert.Equal(t, []string{"command 0", "command 1"}, next.commands)
	}
}

// Guards against a leader that refuses proposals for ever after a transfer that
// failed, and against a lease that it has given up.
func TestTransferWithoutTarget(t *testing.T) {
	s := wholeSim(t, 3, true)
	old := s.leader()
	s.lose = func(m message) bool { return m.Type == msgTransfer }
	require.True(t, old.core.startTransfer())
	s.work(old)
	assert.True(t, old.core.leaseUntil().IsZero())
	s.run(simElection / 2)
	assert.True(t, old.core.transferring())
	s.run(simElection)
	assert.Equal(t, old, s.leader())
	assert.True(t, s.propose(old))
	assert.True(t, old.core.leaseUntil().IsZero(), "the message may still arrive")
}

// Guards against an election beside a leader that has not asked for it.
func TestOnlyTransferElectsBesideLeader(t *testing.T) {
	vote := message{Type: msgVote, From: memberB, Epoch: 64, Term: 4, Index: 2, LogTerm: 2}
	for _, transfer := range []bool{false, true} {
		c := newMember(true, true)
		answers(c, time.Second, message{Type: msgHeartbeat, From: memberC, Epoch: 64, Term: 3, Commit: 1})
		require.Equal(t, memberC, c.leader)
		vote.Transfer = transfer
		got := answers(c, time.Second, vote)
		assert.Equal(t, transfer, len(got) == 1 && got[0] == msgVoteResp, "transfer %v: %v", transfer, got)
	}
	c := newMember(true, true)
	answers(c, time.Second, message{Type: msgTransfer, From: memberC, Epoch: 64, Term: 2})
	assert.Equal(t, follower, c.role, "a transfer of an older term")
	answers(c, time.Second, message{Type: msgTransfer, From: memberC, Epoch: 64, Term: 3})
	assert.Equal(t, candidate, c.role)
	assert.Equal(t, uint64(4), c.term)
}

// Guards against a TransferLeadership that returns before another member leads.
func TestGroupTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, true, func(config *Config) { config.ElectionTimeout = 2 * time.Second })
	c.settled()
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
	c.expect(left, "a", "b")
	assert.Equal(t, before.Term+1, c.nodes[left].group.Status().Term, "another election")
}
