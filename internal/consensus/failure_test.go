package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wholeSim returns a group whose members are all admitted, with one command.
func wholeSim(t *testing.T, size int, durable bool) *sim {
	t.Helper()
	s := newSim(1, size, durable)
	s.mustBeWhole(t)
	require.True(t, s.propose(s.leader()))
	s.run(simElection)
	return s
}

func (s *sim) mustBeWhole(t *testing.T) {
	t.Helper()
	require.True(t, s.runUntil(s.whole), s.describe())
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

// mustCommit proposes on the leader and waits until all running members but
// the excepted one have applied the command.
func (s *sim) mustCommit(t *testing.T, except *simNode) {
	t.Helper()
	require.True(t, s.runUntil(func() bool { return s.leader() != nil && s.leader() != except }), s.describe())
	leading := s.leader()
	require.True(t, s.propose(leading))
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

// Guards against a lost log when a second member fails right after a repair.
func TestLostDiskThenSecondFailure(t *testing.T) {
	for lost := range 3 {
		for second := range 3 {
			if lost == second {
				continue
			}
			t.Run(fmt.Sprint(lost, second), func(t *testing.T) {
				s := wholeSim(t, 3, true)
				s.crash(s.nodes[lost], false)
				s.mustCommit(t, s.nodes[lost])
				s.start(s.nodes[lost])
				s.mustBeWhole(t)
				s.crash(s.nodes[second], true)
				s.mustCommit(t, nil)
				assert.Equal(t, []string{"command 0", "command 1", "command 2"}, s.nodes[lost].commands)
			})
		}
	}
}

// Guards against a group of blank members that replaces one that has run.
func TestDiskGroupNeverFormsAgain(t *testing.T) {
	s := wholeSim(t, 3, true)
	epoch := s.nodes[0].core.epoch
	for _, n := range s.nodes[:2] {
		s.crash(n, false)
		s.start(n)
	}
	s.run(time.Minute)
	assert.Nil(t, s.leader(), s.describe())
	assert.Equal(t, epoch, s.nodes[2].core.epoch)
	assert.True(t, s.nodes[0].core.blank() && s.nodes[1].core.blank(), s.describe())
}

// Guards against a leader that keeps the lead, or serves reads, while it is cut
// off in one direction.
func TestLeaderCutOneWay(t *testing.T) {
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
			s := wholeSim(t, 3, true)
			old := s.leader()
			s.isolate(old, tc.from, tc.to)
			s.read(old)
			s.mustCommit(t, old)
			assert.NotEqual(t, leader, old.core.role)
			s.read(old)
			s.heal()
			s.mustCommit(t, nil)
		})
	}
}

// Guards against a returning member that unseats the leader with a higher term.
func TestLongSilentMemberKeepsLeader(t *testing.T) {
	for _, fault := range []string{"cut", "frozen", "cannot receive"} {
		t.Run(fault, func(t *testing.T) {
			s := wholeSim(t, 3, true)
			leading := s.leader()
			term := leading.core.term
			silent := s.others(leading)[0]
			switch fault {
			case "cut":
				s.isolate(silent, true, true)
			case "cannot receive":
				s.isolate(silent, false, true)
			case "frozen":
				silent.frozen = true
			}
			for range 20 {
				s.mustCommit(t, silent)
				s.run(3 * time.Second)
			}
			s.heal()
			s.mustCommit(t, nil)
			assert.Equal(t, leading, s.leader())
			assert.Equal(t, term, leading.core.term)
		})
	}
}

// Guards against a leader that acts on its old lead after a freeze.
func TestFreezeAndThawOfLeader(t *testing.T) {
	s := wholeSim(t, 3, true)
	old := s.leader()
	old.frozen = true
	s.mustCommit(t, old)
	term := s.leader().core.term
	old.frozen = false
	assert.False(t, s.propose(old), "a thawed leader takes a command")
	s.read(old)
	s.mustCommit(t, nil)
	assert.Equal(t, term, s.leader().core.term)
}

// Guards against an append that is lost behind one that is acknowledged and
// then never sent again.
func TestLostAppendIsSentAgain(t *testing.T) {
	s := wholeSim(t, 3, true)
	leading := s.leader()
	lagging := s.others(leading)[0]
	require.True(t, s.propose(leading))
	s.lose = func(m message) bool { return m.Type == msgAppend && m.To == lagging.core.id }
	require.True(t, s.propose(leading))
	s.lose = nil
	s.run(2 * time.Second)
	assert.Equal(t, leading.commands, lagging.commands)
}

// Guards against a late snapshot that removes acknowledged entries.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	s := wholeSim(t, 3, true)
	leading := s.leader()
	n := s.others(leading)[0]
	s.lose = func(m message) bool { return m.Type == msgHeartbeat || m.Type == msgAppend && len(m.Entries) == 0 }
	require.True(t, s.propose(leading))
	require.True(t, s.propose(leading))
	s.run(100 * time.Millisecond)
	commit, last := n.core.log.commit, n.core.log.lastIndex()
	require.Less(t, commit+1, last)
	term, _ := n.core.log.term(commit + 1)
	late := snapshot{Epoch: n.core.epoch, Index: commit + 1, Term: term, Config: n.core.config.clone()}
	n.core.step(message{
		Type: msgSnapshot, From: leading.core.id, To: n.core.id, Epoch: n.core.epoch, Term: n.core.term, Snapshot: &late,
	})
	assert.Equal(t, last, n.core.log.lastIndex())
	assert.Equal(t, commit+1, n.core.log.commit)
}

// Guards against a member that waits for ever for an epoch that only a minority
// has accepted, and against such an epoch ending the one that works.
func TestEpochOfMinorityEnds(t *testing.T) {
	s := newSim(3, 5, false)
	// The first member to form an epoch reaches one other member only.
	reached := ""
	s.lose = func(m message) bool {
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
	s.lose = nil
	s.mustBeWhole(t)
	s.mustCommit(t, nil)
}

// Guards against a member of a memory group that restarts over and over and is
// never admitted again, or that costs the others their state.
func TestMemoryMembersRestartInTurn(t *testing.T) {
	s := wholeSim(t, 5, false)
	epoch := s.leader().core.epoch
	for round := range 15 {
		n := s.nodes[round%5]
		s.crash(n, false)
		s.start(n)
		s.mustBeWhole(t)
		s.mustCommit(t, nil)
	}
	assert.Equal(t, epoch, s.leader().core.epoch)
	assert.Len(t, s.nodes[0].commands, 16)
}

// Guards against a member with the state of a lost epoch that goes on with it.
func TestMinorityWithStateJoinsNewEpoch(t *testing.T) {
	s := wholeSim(t, 5, false)
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
	s.run(simElection)
	s.heal()
	s.mustBeWhole(t)
	s.mustCommit(t, nil)
	assert.Equal(t, []string{"command 1", "command 2"}, s.nodes[0].commands)
}
