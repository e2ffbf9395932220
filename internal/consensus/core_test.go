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

// newMember returns a core in slot a of a group with the slots a, b and c. With
// state it is a voter in epoch 64, term 3, with one entry of term 2.
func newMember(durable, withState bool) *core {
	options := coreOptions{
		self: memberA, slots: []string{"a", "b", "c"}, durable: durable,
		heartbeatInterval: 50 * time.Millisecond, electionTimeout: simElection, learnerTimeout: 10 * time.Second,
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

// answers steps a message at a time after the start and returns the types of
// the messages to its sender.
func answers(c *core, after time.Duration, m message) []messageType {
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

// Guards against votes and grants that take part in two decisions.
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
		{"vote of a blank member", false, false, time.Second, vote, nil},
		{"grant of a blank member", false, false, time.Second, grant, []messageType{msgGrant}},
		{"grant right after the start", false, false, time.Millisecond, grant, []messageType{msgStatus}},
		{"grant of a member with state", false, true, time.Second, grant, []messageType{msgStatus}},
		{"grant of a member with a disk", true, true, time.Second, grant, []messageType{msgStatus}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			assert.Equal(t, tc.want, answers(newMember(tc.durable, tc.withState), tc.after, tc.m))
		})
	}

	c := newMember(true, true)
	require.Equal(t, []messageType{msgVoteResp}, answers(c, time.Second, vote))
	second := edit(vote, func(m *message) { m.From = memberC })
	assert.Empty(t, answers(c, time.Second, second), "a second vote in the term")
	c = newMember(false, false)
	require.Equal(t, []messageType{msgGrant}, answers(c, time.Second, grant))
	second = edit(grant, func(m *message) { m.From = memberC })
	assert.Equal(t, []messageType{msgStatus}, answers(c, time.Second, second), "a second grant of the epoch")
	assert.Equal(t, []messageType{msgGrant}, answers(c, time.Second, grant), "the same grant again")
}

// Guards against a working epoch that is given up for one whose majority never
// came together, and against disk groups that discard state.
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
				c := newMember(tc.durable, true)
				answers(c, time.Second, message{Type: kind, From: memberB, Epoch: 128, Term: 1, Formed: tc.formed})
				assert.Equal(t, tc.discards, c.blank())
				assert.Equal(t, tc.discards, c.id != memberA)
			})
		}
	}
}

// Guards against counting copies of an entry of an older term as a commit,
// which a leader with a newer entry could still replace.
func TestOldTermIsCommittedWithOwnTermOnly(t *testing.T) {
	c := newMember(true, true)
	c.now = c.start.Add(time.Second)
	c.campaign(candidate)
	answers(c, time.Second, message{Type: msgVoteResp, From: memberB, Epoch: 64, Term: 4})
	require.Equal(t, leader, c.role)
	c.log.stored = c.log.lastIndex()
	stored := message{Type: msgAppendResp, From: memberB, Epoch: 64, Term: 4, Index: 2}
	answers(c, time.Second, stored)
	assert.Equal(t, uint64(1), c.log.commit)
	stored.Index = 3
	answers(c, time.Second, stored)
	assert.Equal(t, uint64(3), c.log.commit)
}

// Guards against a new incarnation that helps to commit its own admission.
func TestLearnerIsNotCounted(t *testing.T) {
	s := wholeSim(t, 5, true)
	leading := s.leader()
	others := s.others(leading)
	lost := others[0]
	old := lost.core.id
	s.crash(lost, false)
	s.run(2 * simElection)
	// The leader, one voter and the learner store the Replace entry.
	s.lose = func(m message) bool {
		return m.Type == msgAppend && (m.To.Slot == others[1].slot || m.To.Slot == others[2].slot)
	}
	s.start(lost)
	s.run(2 * time.Second)
	require.NotZero(t, leading.core.pendingReplace)
	assert.Equal(t, leading.core.log.lastIndex(), lost.core.log.lastIndex())
	assert.Equal(t, old.Incarnation, leading.core.config[lost.slot])
	s.lose = nil
	s.mustBeWhole(t)
}
