package consensus

import (
	"bytes"
	"fmt"
	"time"
)

// checker verifies invariants over all members. It panics with the values that
// violate one.
type checker struct {
	leaders                 map[[2]uint64]MemberID    // by epoch and term
	logged                  map[[3]uint64]Entry       // by epoch, index and term
	committed               map[[2]uint64]Entry       // by epoch and index
	highestCommitted        map[uint64]uint64         // highest committed index by epoch
	applied                 map[uint64]map[int]string // by epoch: commands by position
	proposed                map[string]time.Time      // proposal time by command
	latestCommittedProposal time.Time                 // proposal time of the latest committed command
	fences                  map[uint64]time.Time      // by formed epoch
	formedEpochs            []uint64                  // epochs in the order in which they were formed
	committedAtRead         map[uint64][2]uint64      // by read: epoch and highest committed index
}

func newChecker() *checker {
	return &checker{
		leaders: map[[2]uint64]MemberID{}, logged: map[[3]uint64]Entry{}, committed: map[[2]uint64]Entry{},
		highestCommitted: map[uint64]uint64{}, applied: map[uint64]map[int]string{}, proposed: map[string]time.Time{},
		fences: map[uint64]time.Time{}, committedAtRead: map[uint64][2]uint64{},
	}
}

func (k *checker) check(s *sim, n *simNode) {
	c := n.core
	if c.isBlank() {
		return
	}
	k.checkLeader(s, c)
	k.checkLog(c)
}

// checkLeader asserts that each term has at most one leader, and that no other
// leader exists during a valid lease.
func (k *checker) checkLeader(s *sim, c *core) {
	if c.role != leader {
		return
	}
	key := [2]uint64{c.epoch, c.term}
	if first, ok := k.leaders[key]; ok && first != c.id {
		panic(fmt.Sprintf("two leaders in epoch %d term %d: %v and %v", c.epoch, c.term, first, c.id))
	}
	k.leaders[key] = c.id
	for _, other := range s.nodes {
		o := other.core
		if o == nil || o == c || o.role != leader || other.paused || !s.now.Before(o.leaseUntil()) {
			continue
		}
		if c.epoch == o.epoch && c.term > o.term || c.epoch > o.epoch && c.isFormed() {
			panic(fmt.Sprintf("%v leads epoch %d term %d, %v has a lease until %v at %v", c.id, c.epoch, c.term, o.id, o.leaseUntil(), s.now))
		}
	}
}

// checkLog asserts that entries with the same index and term hold the same data,
// and that committed entries are not replaced.
func (k *checker) checkLog(c *core) {
	for _, entry := range c.log.entries {
		key := [3]uint64{c.epoch, entry.Index, entry.Term}
		if first, ok := k.logged[key]; ok && !bytes.Equal(first.Data, entry.Data) {
			panic(fmt.Sprintf("entry %v holds %q and %q", key, first.Data, entry.Data))
		}
		k.logged[key] = entry
		if committed, ok := k.committed[[2]uint64{c.epoch, entry.Index}]; ok && entry.Index <= c.log.commit && committed.Term != entry.Term {
			panic(fmt.Sprintf("%v holds entry %v, committed was term %d", c.id, key, committed.Term))
		}
	}
}

func (k *checker) recordCommitted(fence time.Time, epoch uint64, entry Entry) {
	key := [2]uint64{epoch, entry.Index}
	if first, ok := k.committed[key]; ok {
		if first.Term != entry.Term || !bytes.Equal(first.Data, entry.Data) {
			panic(fmt.Sprintf("committed entry %v changes from %v to %v", key, first, entry))
		}
		return
	}
	k.committed[key] = entry
	k.highestCommitted[epoch] = max(k.highestCommitted[epoch], entry.Index)
	if _, ok := k.fences[epoch]; !ok {
		k.fences[epoch] = fence
		k.formedEpochs = append(k.formedEpochs, epoch)
		if k.latestCommittedProposal.After(fence) {
			panic(fmt.Sprintf("a command of %v was committed before epoch %d with the fence %v", k.latestCommittedProposal, epoch, fence))
		}
	}
	if entry.Kind == entryCommand {
		k.checkFence(epoch, entry)
		if at := k.proposed[string(entry.Data)]; at.After(k.latestCommittedProposal) {
			k.latestCommittedProposal = at
		}
	}
}

// checkFence asserts that a command committed in a lost epoch was proposed before
// the fences of all epochs formed later. Commands before a fence are treated as
// possibly executed.
func (k *checker) checkFence(epoch uint64, entry Entry) {
	later := false
	for _, formed := range k.formedEpochs {
		if later && k.proposed[string(entry.Data)].After(k.fences[formed]) {
			panic(fmt.Sprintf("command %q of epoch %d was proposed after the fence of epoch %d", entry.Data, epoch, formed))
		}
		later = later || formed == epoch
	}
}

func (k *checker) recordApplied(epoch uint64, position int, command string) {
	if k.applied[epoch] == nil {
		k.applied[epoch] = map[int]string{}
	}
	if first, ok := k.applied[epoch][position]; ok && first != command {
		panic(fmt.Sprintf("command %d of epoch %d is %q and %q", position, epoch, first, command))
	}
	k.applied[epoch][position] = command
}

// recordReadStart records the highest committed index when a read starts.
func (k *checker) recordReadStart(n *simNode, id uint64) {
	newest := uint64(0)
	if len(k.formedEpochs) > 0 {
		newest = k.formedEpochs[len(k.formedEpochs)-1]
	}
	k.committedAtRead[id] = [2]uint64{newest, k.highestCommitted[newest]}
}

func (k *checker) checkRead(n *simNode, state readState) {
	committed := k.committedAtRead[state.id]
	if n.core.epoch == committed[0] && state.index < committed[1] || k.formedBefore(n.core.epoch, committed[0]) {
		panic(fmt.Sprintf("read %d on %v sees epoch %d index %d, committed before it was %v", state.id, n.core.id, n.core.epoch, state.index, committed))
	}
}

func (k *checker) formedBefore(epoch, other uint64) bool {
	if other == 0 {
		return false
	}
	for _, formed := range k.formedEpochs {
		if formed == epoch {
			return epoch != other
		}
		if formed == other {
			return false
		}
	}
	return false
}
