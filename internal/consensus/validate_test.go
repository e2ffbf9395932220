package consensus

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newFuzzedGroup returns a group of three with a leader and some entries.
func newFuzzedGroup(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(seed, 3, true)
	require.True(t, s.runUntil(func() bool { return s.leader() != nil }))
	s.propose(s.leader())
	s.run(time.Second)
	require.NotNil(t, s.leader())
	return s
}

// deliver gives a message to a member as the transport does: it rejects what is
// malformed. It reports whether the message was accepted.
func deliver(n *simNode, m message) bool {
	if m.validate() != nil {
		return false
	}
	n.core.step(m)
	return true
}

// Guards against a process that ends because of one malformed message.
func TestMalformedMessages(t *testing.T) {
	replace := func(id MemberID) []byte {
		data, err := cbor.Marshal(id)
		require.NoError(t, err)
		return data
	}
	cases := []struct {
		desc   string
		change func(*message)
	}{
		{"gap in the entries", func(m *message) { m.Entries = []Entry{{Index: m.Index + 2, Term: m.Term}} }},
		{"entries of falling terms", func(m *message) {
			m.Entries = []Entry{{Index: m.Index + 1, Term: m.Term}, {Index: m.Index + 2, Term: m.Term - 1}}
		}},
		{"entry of a later term", func(m *message) { m.Entries = []Entry{{Index: m.Index + 1, Term: m.Term + 1}} }},
		{"membership change without data", func(m *message) { m.Entries = []Entry{{Index: m.Index + 1, Term: m.Term, Kind: entryReplace}} }},
		{"membership change without a slot", func(m *message) {
			m.Entries = []Entry{{Index: m.Index + 1, Term: m.Term, Kind: entryReplace, Data: replace(MemberID{Incarnation: 1})}}
		}},
		{"removal without a slot", func(m *message) { m.Entries = []Entry{{Index: m.Index + 1, Term: m.Term, Kind: entryRemove}} }},
		{"unknown kind of entry", func(m *message) { m.Entries = []Entry{{Index: m.Index + 1, Term: m.Term, Kind: 9}} }},
		{"unknown type", func(m *message) { m.Type = 99 }},
		{"no type", func(m *message) { m.Type = 0 }},
		{"snapshot message without a snapshot", func(m *message) { m.Type = msgSnapshot }},
		{"empty snapshot", func(m *message) { m.Type, m.Snapshot = msgSnapshot, &snapshot{} }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s := newFuzzedGroup(t, 1)
			from, to := s.leader(), s.nodes[0]
			if to == from {
				to = s.nodes[1]
			}
			m := message{Type: msgAppend, From: from.core.id, To: to.core.id, Epoch: from.core.epoch, Term: from.core.term,
				Index: to.core.log.lastIndex(), LogTerm: to.core.log.lastTerm(), Commit: from.core.log.commit + 9}
			tc.change(&m)
			assert.False(t, deliver(to, m))
		})
	}
}

// Guards against a leader that ends because a member acknowledges entries that the
// leader does not have.
func TestAcknowledgementBeyondTheLog(t *testing.T) {
	s := newFuzzedGroup(t, 1)
	to, from := s.leader(), s.nodes[0]
	if to == from {
		from = s.nodes[1]
	}
	last := to.core.log.lastIndex()
	require.True(t, deliver(to, message{Type: msgAppendResp, From: from.core.id, To: to.core.id, Epoch: to.core.epoch, Term: to.core.term, Index: last + 5}))
	assert.LessOrEqual(t, to.core.log.commit, last)
}

// FuzzMessages gives arbitrary messages to the leader and to a follower.
func FuzzMessages(f *testing.F) {
	for _, m := range []message{
		{Type: msgAppend, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1, Data: []byte("x")}}, Commit: 2},
		{Type: msgAppendResp, Index: 3}, {Type: msgAppendResp, Reject: true, Index: 2, Hint: 1}, {Type: msgHeartbeat, Commit: 9},
		{Type: msgHeartbeatResp, Sent: 1 << 62}, {Type: msgVote, Index: 1 << 40, LogTerm: 9}, {Type: msgPreVoteResp, Reject: true},
		{Type: msgSnapshot, Snapshot: &snapshot{Epoch: 1, Index: 7, Term: 1, Config: configuration{"vm0": 1}}},
		{Type: msgProbe}, {Type: msgStatus, Leader: "vm1"}, {Type: msgFormation, Promised: 7}, {Type: msgGrant, Promised: 7}, {Type: msgTransfer},
	} {
		f.Add(encode(m), int64(0))
		f.Add(encode(m), int64(1))
	}
	f.Fuzz(func(t *testing.T, raw []byte, termOffset int64) {
		var m message
		if cbor.Unmarshal(raw, &m) != nil {
			return
		}
		s := newFuzzedGroup(t, 1)
		for i, to := range s.nodes {
			from := s.nodes[(i+1)%len(s.nodes)]
			m.From, m.To, m.Epoch = from.core.id, to.core.id, to.core.epoch
			m.Term = to.core.term + uint64(termOffset%3)
			if to.core.role == leader && m.fromLeader() && m.Term == to.core.term {
				continue // a second leader of a term is a broken invariant, not a malformed message
			}
			deliver(to, m)
			to.core.tick(s.now.Add(time.Millisecond))
		}
	})
}
