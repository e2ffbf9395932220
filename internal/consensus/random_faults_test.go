package consensus

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var seeds = flag.Int("consensus.seeds", 30, "seeds of each randomised test")

// injectFault injects one random fault, or repairs one or all faults.
func injectFault(s *sim, loseDisks bool) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	other := s.slots[s.random.IntN(len(s.slots))]
	switch s.random.IntN(16) {
	case 0, 1:
		s.blockedLinks[[2]string{n.slot, other}] = true
	case 2:
		s.isolate(n, s.random.IntN(2) == 0, s.random.IntN(2) == 0)
	case 3, 4:
		s.crash(n, s.durable)
	case 5:
		n.paused = true
	case 6:
		s.dropRate = s.random.Float64() / 3
	case 7:
		if loseDisks && s.allAdmitted() {
			s.crash(n, false)
		}
	case 8, 9, 10:
		if n.core == nil {
			s.start(n)
		}
		n.paused = false
	case 11:
		s.repairAll()
	case 12, 13:
		// A restart within the lease of the leader that the node has responded to.
		s.crash(n, s.durable)
		s.start(n)
	case 14, 15:
		s.transfer(s.random.IntN(2) == 0)
	}
}

// transfer makes each leader transfer leadership. With crash, the leader crashes
// right after it has started the transfer.
func (s *sim) transfer(crash bool) {
	for _, n := range s.nodes {
		if n.core == nil || n.paused || n.core.role != leader {
			continue
		}
		n.core.tick(s.now)
		n.core.startTransfer()
		s.processReady(n)
		if crash {
			s.crash(n, s.durable)
		}
	}
}

func runRandomFaults(t *testing.T, seed uint64, initial, size int, durable, loseDisks bool) {
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: %v", seed, r)
		}
	}()
	s := newSim(seed, size, durable)
	if initial < size {
		s = newDynamicSim(seed, initial, size, durable)
	}
	s.dropRate = 0.05
	s.crashRate = 0.0002
	if durable {
		// A disk may only be lost once all members hold state.
		formed := func() bool { s.repairAll(); return s.allAdmitted() }
		require.True(t, s.runUntil(formed), "seed %d: first formation", seed)
	}
	for range 150 {
		injectFault(s, loseDisks)
		for range s.random.IntN(4) {
			s.propose(s.nodes[s.random.IntN(size)])
			s.read(s.nodes[s.random.IntN(size)])
		}
		s.run(time.Duration(s.random.IntN(400)) * time.Millisecond)
	}
	s.dropRate, s.crashRate = 0, 0
	s.repairAll()
	s.run(simElectionTimeout) // a resumed leader finds out that it has lost leadership
	require.True(t, s.runUntil(s.allAdmitted), "seed %d: the group does not recover:%s", seed, s.describe())
	require.True(t, s.propose(s.leader()), "seed %d", seed)
	s.run(2 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, s.nodes[0].commands, n.commands, "seed %d: %s of%s", seed, n.slot, s.describe())
	}
	require.NotEmpty(t, s.nodes[0].commands, "seed %d", seed)
}

// Guards against lost, changed or repeated commands, two leaders, stale reads
// and groups that do not recover, under random faults.
func TestRandomFaults(t *testing.T) {
	cases := []struct {
		desc          string
		initial, size int
		durable, wipe bool
	}{
		{"three on disk", 3, 3, true, false},
		{"three on disk with lost disks", 3, 3, true, true},
		{"five on disk with lost disks", 5, 5, true, true},
		{"five on disk, formed by three", 3, 5, true, false},
		{"five on disk, formed by three, with lost disks", 3, 5, true, true},
		{"seven on disk, formed by three, with lost disks", 3, 7, true, true},
		{"three in memory", 3, 3, false, false},
		{"five in memory", 5, 5, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			for seed := range *seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					runRandomFaults(t, uint64(seed), tc.initial, tc.size, tc.durable, tc.wipe)
				})
			}
		})
	}
}
