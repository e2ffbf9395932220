package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// addLearner starts replicating to a member that is not in the configuration. It
// does nothing if the member is leaving, or the voting member in the same slot has
// responded within the election timeout. A member with a log of the same epoch, which was removed while
// it was silent, is sent the entries that it lacks; another one needs the snapshot.
func (c *core) addLearner(id MemberID, hasLog bool) {
	if c.role != leader || c.votingConfig().contains(id) || c.isLeaving(id) {
		return
	}
	if p := c.voters[id.Slot]; p != nil && c.now.Sub(p.lastContact) < c.electionTimeout {
		return
	}
	if p := c.learners[id.Slot]; p != nil && p.id == id {
		return
	}
	next := c.log.baseIndex
	if hasLog {
		next = c.log.lastIndex() + 1
	}
	p := newProgress(id, next, c.now)
	c.learners[id.Slot] = p
	c.sendAppend(p)
}

func (c *core) removeSilentLearners() {
	for slot, p := range c.learners {
		if c.now.Sub(p.lastContact) > c.snapshotTimeout {
			delete(c.learners, slot)
		}
	}
}

// admitLearner proposes a Replace entry for a learner that responds and has stored
// all committed entries.
func (c *core) admitLearner(p *progress) {
	if c.learners[p.id.Slot] != p || !c.isResponsive(p) || c.dynamic && !c.canAdmit() {
		return
	}
	if c.dynamic && len(c.votingConfig()) >= maxVoters && c.votingConfig()[p.id.Slot] == 0 {
		return
	}
	caughtUp := p.match >= c.log.commit && c.log.matches(c.log.commit, c.term)
	if !caughtUp || !c.mayChangeMembers() {
		return
	}
	data, err := cbor.Marshal(p.id)
	if err != nil {
		panic("consensus: member id cannot be encoded: " + err.Error())
	}
	entry := c.appendEntry(Entry{Kind: entryReplace, Data: data})
	c.pendingChangeIndex = entry.Index
	if c.dynamic {
		c.updateVoters()
	}
	c.broadcastAppend()
}

// mayChangeMembers reports whether the leader may append a membership change. Only
// one is pending at a time, and none is appended during a transfer: the next leader
// may not have it, and then has to be elected without the votes of a member that is
// being replaced.
func (c *core) mayChangeMembers() bool { return c.pendingChangeIndex == 0 && !c.isTransferring() }

// applyReplace applies a committed Replace entry.
func (c *core) applyReplace(entry Entry) {
	var id MemberID
	if err := cbor.Unmarshal(entry.Data, &id); err != nil {
		panic(fmt.Sprintf("consensus: Replace entry %d cannot be decoded: %v", entry.Index, err))
	}
	if !c.hasSlot(id.Slot) || id.Incarnation == 0 {
		panic(fmt.Sprintf("consensus: Replace entry %d names %v, slots are %v", entry.Index, id, c.slots))
	}
	c.config[id.Slot] = id.Incarnation
	c.configIndex = entry.Index
	if c.pendingChangeIndex == entry.Index {
		c.pendingChangeIndex = 0
	}
	if c.role == leader {
		c.updateVoters()
		c.heartbeatDue = c.now
	}
}

// isSettled reports whether a majority knows the last membership change. Until
// then, the failure of a second member could leave only members that still
// count the votes of the replaced incarnation, or that have not yet received
// the first snapshot of the epoch.
func (c *core) isSettled() bool {
	if c.role != leader || c.pendingChangeIndex != 0 || !c.isFormed() {
		return false
	}
	count := 1
	for _, p := range c.voters {
		if p.commit > firstIndex && p.commit >= c.configIndex {
			count++
		}
	}
	return count >= c.quorum()
}
