package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	memberA = MemberID{Slot: "a", Incarnation: 1}
	memberB = MemberID{Slot: "b", Incarnation: 2}
	memberC = MemberID{Slot: "c", Incarnation: 3}
)

// newTestCore returns a core in slot a of a group with the slots a, b and c. With
// state it is a voter in epoch 64, term 3, with one entry of term 2.
func newTestCore(durable, withState bool) *core {
	options := coreOptions{
		self: memberA, slots: []string{"a", "b", "c"}, durable: durable,
		heartbeatInterval: 50 * time.Millisecond, electionTimeout: simElectionTimeout, learnerTimeout: 10 * time.Second,
		snapshotTimeout: time.Second, snapshotEvery: 100, snapshotBytes: 1 << 20,
		random:         rand.New(rand.NewPCG(1, 1)),
		newIncarnation: func() uint64 { return 9 },
	}
	if !withState {
		return newCore(options, hardState{}, snapshot{}, nil, time.Unix(100, 0))
	}
	hard := hardState{Incarnation: 1, Epoch: 64, Promised: 64, Term: 3, Commit: 1}
	first := snapshot{Epoch: 64, Index: 1, Term: 1, Config: configuration{"a": 1, "b": 2, "c": 3}}
	return newCore(options, hard, first, []Entry{{Index: 2, Term: 2}}, time.Unix(100, 0))
}

// stepAndCollect steps a message at the given time after the start and returns
// the types of the responses to its sender that are not rejections.
func stepAndCollect(c *core, after time.Duration, m message) []messageType {
	c.now = c.start.Add(after)
	c.messages = nil
	m.To = MemberID{Slot: "a"}
	c.step(m)
	var types []messageType
	for _, answer := range c.messages {
		if answer.To == m.From && !answer.Reject {
			types = append(types, answer.Type)
		}
	}
	return types
}

// Guards against a member that gives two votes in a term, grants an epoch twice,
// or votes or grants when it must refuse.
func TestVotesAndGrants(t *testing.T) {
	vote := message{Type: msgVote, From: memberB, Epoch: 64, Term: 4, Index: 2, LogTerm: 2}
	grant := message{Type: msgFormation, From: memberB, Promised: 128, Blank: true}
	edit := func(m message, change func(*message)) message { change(&m); return m }
	cases := []struct {
		desc               string
		durable, withState bool
		after              time.Duration
		m                  message
		want               []messageType
	}{
		{"vote", true, true, time.Second, vote, []messageType{msgVoteResp}},
		{"vote right after the start", true, true, time.Millisecond, vote, nil},
		{"vote for a shorter log", true, true, time.Second, edit(vote, func(m *message) { m.Index = 1; m.LogTerm = 1 }), nil},
		{"vote for a longer log of an older term", true, true, time.Second, edit(vote, func(m *message) { m.Index = 9; m.LogTerm = 1 }), nil},
		{"vote in an older term", true, true, time.Second, edit(vote, func(m *message) { m.Term = 2 }), nil},
		{"vote in another epoch", true, true, time.Second, edit(vote, func(m *message) { m.Epoch = 128 }), nil},
		{"vote by a blank member", false, false, time.Second, vote, nil},
		{"grant by a blank member", false, false, time.Second, grant, []messageType{msgGrant}},
		{"grant right after the start", false, false, time.Millisecond, grant, []messageType{msgStatus}},
		{"grant by a member with state", false, true, time.Second, grant, []messageType{msgStatus}},
		{"grant by a member with a disk", true, true, time.Second, grant, []messageType{msgStatus}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			assert.Equal(t, tc.want, stepAndCollect(newTestCore(tc.durable, tc.withState), tc.after, tc.m))
		})
	}

	c := newTestCore(true, true)
	require.Equal(t, []messageType{msgVoteResp}, stepAndCollect(c, time.Second, vote))
	second := edit(vote, func(m *message) { m.From = memberC })
	assert.Empty(t, stepAndCollect(c, time.Second, second), "a second vote in the term")
	c = newTestCore(false, false)
	require.Equal(t, []messageType{msgGrant}, stepAndCollect(c, time.Second, grant))
	second = edit(grant, func(m *message) { m.From = memberC })
	assert.Equal(t, []messageType{msgStatus}, stepAndCollect(c, time.Second, second), "a second grant of the epoch")
	assert.Equal(t, []messageType{msgGrant}, stepAndCollect(c, time.Second, grant), "the same grant again")
}

// Guards against a member that discards a working epoch for a newer one that no
// majority has accepted, and against disk groups that discard state.
func TestHigherEpoch(t *testing.T) {
	cases := []struct {
		desc            string
		durable, formed bool
		discards        bool
	}{
		{"formed", false, true, true},
		{"not formed", false, false, false},
		{"formed, but this member has a disk", true, true, false},
	}
	for _, tc := range cases {
		for _, kind := range []messageType{msgHeartbeat, msgProbe, msgStatus, msgVote} {
			t.Run(tc.desc, func(t *testing.T) {
				c := newTestCore(tc.durable, true)
				stepAndCollect(c, time.Second, message{Type: kind, From: memberB, Epoch: 128, Term: 1, Formed: tc.formed})
				assert.Equal(t, tc.discards, c.isBlank())
				assert.Equal(t, tc.discards, c.id != memberA)
			})
		}
	}
}

// Guards against committing an entry of an older term by counting its copies: a
// leader with an entry of a newer term could still replace it.
func TestOldTermEntryIsCommittedThroughCurrentTerm(t *testing.T) {
	c := newTestCore(true, true)
	c.now = c.start.Add(time.Second)
	c.campaign(candidate)
	stepAndCollect(c, time.Second, message{Type: msgVoteResp, From: memberB, Epoch: 64, Term: 4})
	require.Equal(t, leader, c.role)
	c.log.stored = c.log.lastIndex()
	stored := message{Type: msgAppendResp, From: memberB, Epoch: 64, Term: 4, Index: 2}
	stepAndCollect(c, time.Second, stored)
	assert.Equal(t, uint64(1), c.log.commit)
	stored.Index = 3
	stepAndCollect(c, time.Second, stored)
	assert.Equal(t, uint64(3), c.log.commit)
}

// Guards against a new incarnation that is counted for the commit of its own
// admission.
func TestLearnerIsNotCounted(t *testing.T) {
	s := newAdmittedSim(t, 5, true)
	leaderNode := s.leader()
	others := s.others(leaderNode)
	lost := others[0]
	old := lost.core.id
	s.crash(lost, false)
	s.run(2 * simElectionTimeout)
	// The leader, one voter and the learner store the Replace entry.
	s.dropMessage = func(m message) bool {
		return m.Type == msgAppend && (m.To.Slot == others[1].slot || m.To.Slot == others[2].slot)
	}
	s.start(lost)
	s.run(2 * time.Second)
	require.NotZero(t, leaderNode.core.pendingChangeIndex)
	assert.Equal(t, leaderNode.core.log.lastIndex(), lost.core.log.lastIndex())
	assert.Equal(t, old.Incarnation, leaderNode.core.config[lost.slot])
	s.dropMessage = nil
	s.requireAllAdmitted(t)
}

// Guards against an election that fails because the request for a vote, or the vote,
// was lost: it is requested again from the members that have not responded.
func TestVotesAreRequestedAgain(t *testing.T) {
	response := map[messageType]messageType{msgPreVote: msgPreVoteResp, msgVote: msgVoteResp}
	for as, kind := range map[role]messageType{preCandidate: msgPreVote, candidate: msgVote} {
		c := newTestCore(true, true)
		c.now = c.start.Add(time.Second)
		c.campaign(as)
		requested := func() []MemberID {
			var members []MemberID
			for _, m := range c.messages {
				if m.Type == kind {
					members = append(members, m.To)
				}
			}
			c.messages = nil
			return members
		}
		assert.Equal(t, []MemberID{memberB, memberC}, requested())
		c.tick(c.now.Add(c.heartbeatInterval / 2))
		assert.Empty(t, requested())
		c.step(message{Type: response[kind], From: memberB, To: memberA, Epoch: 64, Term: c.term, Reject: true})
		c.tick(c.now.Add(c.heartbeatInterval))
		assert.Equal(t, []MemberID{memberC}, requested())
	}
}

// Guards against members that campaign at the same time and each get a part of the
// votes.
func TestPreVoteYieldsToOther(t *testing.T) {
	c := newTestCore(true, true)
	c.now = c.start.Add(time.Second)
	c.campaign(preCandidate)
	other := message{Type: msgPreVote, From: memberB, Epoch: 64, Term: 4, Index: 1, LogTerm: 1}
	assert.Empty(t, stepAndCollect(c, time.Second, other), "its log is shorter")
	assert.Equal(t, preCandidate, c.role)
	other.Index, other.LogTerm = 2, 2
	assert.Equal(t, []messageType{msgPreVoteResp}, stepAndCollect(c, time.Second, other))
	assert.Equal(t, follower, c.role)
	stepAndCollect(c, time.Second, message{Type: msgPreVoteResp, From: memberB, Epoch: 64, Term: 4})
	assert.Equal(t, follower, c.role, "a response to the pre-vote that has ended")
}
