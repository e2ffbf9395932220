package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// loseDisk ends a member and starts it with an empty disk, after which it takes no
// part in forming the group.
func (s *sim) loseDisk(n *simNode, down time.Duration) {
	s.crash(n, false)
	s.run(down)
	s.start(n)
}

// Guards against a group that never forms because one seed loses its disk before
// it has formed, whichever seed it is and whenever.
func TestGroupFormsDespiteLostDisk(t *testing.T) {
	for _, size := range []int{3, 5} {
		for lost := range 3 {
			for _, after := range []time.Duration{simStep, simElectionTimeout / 2, simElectionTimeout, 2 * simElectionTimeout, 4 * simElectionTimeout} {
				s := newDynamicSim(uint64(lost), 3, size, true)
				s.run(after)
				s.loseDisk(s.nodes[lost], simElectionTimeout)
				s.requireAllAdmitted(t)
				s.requireCommit(t, nil)
				assert.Len(t, s.formedEpochs, 1)
			}
		}
	}
}

// Guards against a group of two seeds that ends with the return of a third one
// that was down all the while.
func TestLateSeedJoins(t *testing.T) {
	// The group of two accepts commands at once, as it does after awaitsMembers.
	s := startSim(&sim{initial: 3, dynamic: true, tolerance: 2, durable: true}, 1, 5)
	late := s.nodes[0]
	s.crash(late, true)
	s.requireCommit(t, late)
	s.start(late)
	s.requireAllAdmitted(t)
	s.requireCommit(t, nil)
	assert.Len(t, s.formedEpochs, 1)
}

// Guards against seeds that supersede each other's requests for grants for ever,
// because grants arrive after the next request, as on machines that are very busy.
func TestGroupFormsOnSlowLinks(t *testing.T) {
	for seed := range uint64(100) {
		s := newDynamicSim(seed, 3, 5, true)
		s.maxDelay = simElectionTimeout
		formed := false
		for range 20 {
			s.run(simElectionTimeout)
			formed = formed || len(s.formedEpochs) > 0
		}
		assert.True(t, formed, "seed %d", seed)
		assert.LessOrEqual(t, len(s.formedEpochs), 1, "seed %d", seed)
	}
}

// Guards against two groups: those that a minority of the seeds could form, and
// those that a cut could form on both sides.
func TestMinorityOfSeedsDoesNotForm(t *testing.T) {
	s := newDynamicSim(1, 3, 5, true)
	s.loseDisk(s.nodes[0], simStep)
	s.loseDisk(s.nodes[1], simStep)
	s.run(40 * simElectionTimeout)
	assert.Empty(t, s.formedEpochs)
	for _, n := range s.nodes {
		assert.True(t, n.core.isBlank(), n.slot)
	}
}

// Guards against a member that votes twice in a term, or goes back to an earlier
// term, while it has no entries yet.
func TestVotesOfBlankMember(t *testing.T) {
	s := newDynamicSim(1, 3, 4, true)
	c := s.nodes[0].core
	a, b := s.nodes[1].core.id, s.nodes[2].core.id
	c.promise(64, a)
	vote := func(from MemberID, kind messageType, epoch, term uint64) bool {
		c.now = c.start.Add(2 * simElectionTimeout)
		c.messages = nil
		c.step(message{Type: kind, From: from, To: c.id, Epoch: epoch, Term: term, Index: firstIndex, LogTerm: firstTerm})
		return len(c.messages) == 1 && !c.messages[0].Reject
	}
	assert.False(t, vote(a, msgVote, 128, 2), "it has not granted this epoch")
	assert.True(t, vote(a, msgPreVote, 64, 2))
	assert.True(t, vote(a, msgVote, 64, 4))
	assert.True(t, vote(a, msgVote, 64, 4), "the response may have been lost")
	assert.False(t, vote(b, msgVote, 64, 4))
	assert.False(t, vote(a, msgVote, 64, 3), "a late request of an earlier term")
	assert.False(t, vote(b, msgVote, 64, 4))
	assert.False(t, vote(b, msgPreVote, 64, 4))
	assert.True(t, vote(b, msgVote, 64, 5))
	c.promise(64, MemberID{})
	assert.False(t, vote(b, msgVote, 64, 6), "it follows this epoch, but was not asked for a grant")
}

// disturbFormation injects one random fault while a group forms. At most a minority
// of the seeds loses its disk.
func (s *sim) disturbFormation(seeds int, lost map[*simNode]bool) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	other := s.slots[s.random.IntN(len(s.slots))]
	switch s.random.IntN(10) {
	case 0, 1:
		if len(lost) < (seeds-1)/2 || lost[n] {
			lost[n] = true
			s.crash(n, false)
		}
	case 2, 3:
		s.crash(n, true)
	case 4:
		n.paused = n.core != nil
	case 5:
		s.blockedLinks[[2]string{n.slot, other}] = true
	case 6:
		s.isolate(n, s.random.IntN(2) == 0, s.random.IntN(2) == 0)
	case 7:
		s.repairLinks()
	default:
		if n.core == nil {
			s.start(n)
		}
		n.paused = false
	}
}

func runDisturbedFormation(t *testing.T, seed uint64, seeds, size int) {
	s := newDynamicSim(seed, seeds, size, true)
	defer func() {
		if problem := recover(); problem != nil {
			t.Fatalf("seed %d: %v%s", seed, problem, s.describe())
		}
	}()
	s.dropRate = 0.05
	lost := map[*simNode]bool{}
	for range 40 {
		s.disturbFormation(seeds, lost)
		s.run(time.Duration(s.random.IntN(300)) * time.Millisecond)
		if len(s.formedEpochs) > 0 {
			break // from here on, the faults of TestRandomFaults apply
		}
	}
	s.dropRate = 0
	s.repairAll()
	require.True(t, s.runUntil(s.allAdmitted), "seed %d: the group does not form:%s", seed, s.describe())
	require.True(t, s.propose(s.leader()), "seed %d", seed)
	s.run(6 * simElectionTimeout) // a snapshot whose response was lost is sent again after 4
	require.Len(t, s.formedEpochs, 1, "seed %d: two groups have formed", seed)
	for _, n := range s.nodes {
		require.Equal(t, s.nodes[0].commands, n.commands, "seed %d: %s of%s", seed, n.slot, s.describe())
	}
}

// Guards against a group that does not form though a majority of the seeds stays,
// and against two groups, under random losses of disks, restarts, pauses and cuts
// while it forms.
func TestDisturbedFormation(t *testing.T) {
	testDisturbedFormation(t, 3, 4)
	testDisturbedFormation(t, 3, 5)
}

// The same with five seeds, of which two may lose their disks.
func TestDisturbedFormationOfFiveSeeds(t *testing.T) {
	testDisturbedFormation(t, 5, 6)
}

func testDisturbedFormation(t *testing.T, initial, size int) {
	t.Run(fmt.Sprint(initial, " seeds of ", size, " members"), func(t *testing.T) {
		for seed := range 3 * *seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runDisturbedFormation(t, uint64(seed), initial, size)
			})
		}
	})
}
