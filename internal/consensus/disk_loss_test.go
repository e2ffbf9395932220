package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simRecoveryLimit is the time after which a group serves again once all its members
// are back.
const simRecoveryLimit = 15 * simElectionTimeout

// diskLossRun loses members of a dynamic group in any number: they crash, stop as
// planned, pause or are cut off. At the end of each round as many disks are lost as the
// group tolerates, and all members come back.
type diskLossRun struct {
	s         *sim
	tolerance int
	history   []string
}

func (r *diskLossRun) log(format string, args ...any) {
	r.history = append(r.history, r.s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// disturb takes one running member away.
func (r *diskLossRun) disturb() {
	n := r.s.nodes[r.s.random.IntN(len(r.s.nodes))]
	if n.core == nil || n.paused {
		return
	}
	switch r.s.random.IntN(4) {
	case 0:
		r.log("%s crashes", n.slot)
		r.s.crash(n, true)
	case 1:
		r.log("%s stops", n.slot)
		r.stop(n)
	case 2:
		r.log("%s pauses", n.slot)
		n.paused = true
	default:
		r.log("%s is cut off", n.slot)
		r.s.isolate(n, true, true)
	}
}

// stop ends a member as Group.Leave and Stop do.
func (r *diskLossRun) stop(n *simNode) {
	for deadline := r.s.now.Add(simLeaveLimit); r.s.now.Before(deadline); r.s.run(simStep) {
		r.s.proceedToLeave(n)
		if n.core.leave.decision != leaveUndecided {
			break
		}
	}
	r.s.crash(n, true)
}

// commit proposes a command on each leader.
func (r *diskLossRun) commit() {
	for _, n := range r.s.nodes {
		if n.core != nil && n.core.role == leader {
			r.s.propose(n)
		}
	}
}

// committed returns the highest number of commands that a member has applied.
func (r *diskLossRun) committed() int {
	most := 0
	for _, n := range r.s.nodes {
		most = max(most, len(n.commands))
	}
	return most
}

// loseDisks ends as many members as the group tolerates and empties their disks.
func (r *diskLossRun) loseDisks() {
	for _, i := range r.s.random.Perm(len(r.s.nodes))[:r.tolerance] {
		n := r.s.nodes[i]
		r.log("%s loses its disk", n.slot)
		r.s.crash(n, false)
	}
}

// requireRecovered waits until a leader has applied as many commands as were committed
// before the losses.
func (s *sim) requireRecovered(t *testing.T, commands int) {
	t.Helper()
	recovered := func() bool { l := s.leader(); return l != nil && len(l.commands) >= commands }
	for deadline := s.now.Add(simRecoveryLimit); !recovered() && s.now.Before(deadline); {
		s.run(simStep)
	}
	require.True(t, recovered(), "%d commands were committed before the losses, and all members are back:%s", commands, s.describe())
}

func (r *diskLossRun) round(t *testing.T) {
	for range 1 + r.s.random.IntN(len(r.s.nodes)) {
		r.disturb()
		r.commit()
		r.s.run(time.Duration(r.s.random.Int64N(int64(6 * simElectionTimeout))))
	}
	if r.s.random.IntN(8) == 0 {
		r.s.run((abandonedElectionTimeouts + 5) * simElectionTimeout)
	}
	r.commit()
	r.s.run(time.Duration(r.s.random.Int64N(int64(simElectionTimeout))))
	before := r.committed()
	r.loseDisks()
	r.s.run(time.Duration(r.s.random.Int64N(int64(4 * simElectionTimeout))))
	r.log("all members come back")
	r.s.repairAll()
	r.s.requireRecovered(t, before)
	require.True(t, r.s.runUntil(r.s.allAdmitted), r.s.describe())
}

// Guards against a group that has shrunk, by losses, planned stops, pauses or cuts of
// members, to so few voting members that the loss of as many disks as it tolerates ends
// it for good, with committed commands.
func TestDisksLostAfterLossesOfMembers(t *testing.T) {
	for _, tc := range []struct{ size, tolerance int }{{3, 1}, {5, 1}, {5, 2}, {6, 2}, {7, 2}, {9, 2}, {9, 4}} {
		for seed := range max(1, *seeds/5) {
			t.Run(fmt.Sprintf("%d members, %d disks, seed %d", tc.size, tc.tolerance, seed), func(t *testing.T) {
				t.Parallel()
				r := &diskLossRun{s: newTolerantSim(uint64(seed), min(tc.size, 3), tc.size, tc.tolerance), tolerance: tc.tolerance}
				defer func() {
					if problem := recover(); problem != nil {
						t.Errorf("%v", problem)
					}
					if t.Failed() {
						t.Log(r.history)
					}
				}()
				require.True(t, r.s.runUntil(r.s.allAdmitted), r.s.describe())
				for range 3 {
					r.round(t)
				}
			})
		}
	}
}

// Guards against a command that is acknowledged by a group that has just been formed:
// before its other members have joined, the loss of as many disks as the group
// tolerates ends it.
func TestDisksLostAfterFirstCommand(t *testing.T) {
	for _, tc := range []struct{ size, tolerance, absent int }{{6, 2, 0}, {6, 2, 1}, {5, 1, 0}, {5, 1, 1}, {9, 4, 0}} {
		for seed := range max(1, *seeds/5) {
			t.Run(fmt.Sprintf("%d members, %d disks, %d of the seeds absent, seed %d", tc.size, tc.tolerance, tc.absent, seed), func(t *testing.T) {
				t.Parallel()
				s := newTolerantSim(uint64(seed), 3, tc.size, tc.tolerance)
				for _, n := range s.nodes[:tc.absent] {
					s.crash(n, true)
				}
				require.True(t, s.runUntil(func() bool {
					l := s.leaderOfAny()
					return l != nil && s.propose(l)
				}), s.describe())
				require.True(t, s.runUntil(func() bool {
					return s.highestCommitted[s.leaderOfAny().core.epoch] > 0 && len(s.leaderOfAny().commands) > 0
				}), s.describe())
				for _, n := range s.nodes[tc.absent : tc.absent+tc.tolerance] {
					s.crash(n, false)
				}
				s.run(simStep)
				s.repairAll()
				s.requireRecovered(t, 1)
			})
		}
	}
}

// Guards against a command that is acknowledged by two of three seeds, while the third
// is late, in a group without a stated tolerance: if both end before it has joined, one
// of them and the late seed are no majority.
func TestSeedsLostAfterFirstCommand(t *testing.T) {
	for seed := range *seeds {
		s := newDynamicSim(uint64(seed), 3, 3, true)
		first, late, last := s.nodes[0], s.nodes[1], s.nodes[2]
		s.crash(late, true)
		require.True(t, s.runUntil(func() bool { return s.leader() != nil }), s.describe())
		startAt := s.now.Add(time.Duration(s.random.Int64N(int64(3 * simElectionTimeout))))
		require.True(t, s.runUntil(func() bool {
			if late.core == nil && s.now.After(startAt) {
				s.start(late)
			}
			if l := s.leader(); l != nil {
				s.propose(l)
			}
			return len(first.commands) > 0 || len(last.commands) > 0
		}), s.describe())
		s.crash(first, true)
		s.crash(last, true)
		s.run(simElectionTimeout)
		s.start(first)
		if late.core == nil {
			s.start(late)
		}
		s.requireRecovered(t, 1)
	}
}
