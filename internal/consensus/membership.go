package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// addLearner starts to replicate to a member that the configuration does not
// name. A member that answered within the election timeout is not given up for
// another one in its slot.
func (c *core) addLearner(id MemberID) {
	if c.role != leader || c.voting().names(id) {
		return
	}
	if p := c.peers[id.Slot]; p != nil && c.now.Sub(p.contact) < c.electionTimeout {
		return
	}
	if p := c.learners[id.Slot]; p != nil && p.id == id {
		return
	}
	// A learner starts without entries, so it needs the snapshot.
	p := newProgress(id, c.log.baseIndex, c.now)
	c.learners[id.Slot] = p
	c.sendAppend(p)
}

func (c *core) dropSilentLearners() {
	for slot, p := range c.learners {
		if c.now.Sub(p.contact) > c.snapshotTimeout {
			delete(c.learners, slot)
		}
	}
}

// admitLearner proposes Replace for a learner that holds all committed entries.
func (c *core) admitLearner(p *progress) {
	if c.dynamic && len(c.voting()) >= maxVoters && c.voting()[p.id.Slot] == 0 {
		return
	}
	caughtUp := p.match >= c.log.commit && c.log.matches(c.log.commit, c.term)
	if c.learners[p.id.Slot] != p || !caughtUp || c.pendingReplace != 0 {
		return
	}
	data, err := cbor.Marshal(p.id)
	if err != nil {
		panic("consensus: member id cannot be encoded: " + err.Error())
	}
	entry := c.appendOwn(Entry{Kind: entryReplace, Data: data})
	c.pendingReplace = entry.Index
	p.admitted = c.now
	if c.dynamic {
		c.setPeers()
	}
	c.broadcastAppend()
}

// applyReplace makes a committed Replace take effect.
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
	if c.pendingReplace == entry.Index {
		c.pendingReplace = 0
	}
	if c.role == leader {
		c.setPeers()
		c.heartbeatDue = c.now
	}
}

// settled reports whether a majority knows the last change of the
// configuration. Until then, the failure of a second member could leave only
// members that still count the votes of the replaced incarnation, or that have
// not yet received the first snapshot of the epoch.
func (c *core) settled() bool {
	if c.role != leader || c.pendingReplace != 0 || !c.formed() {
		return false
	}
	count := 1
	for _, p := range c.peers {
		if p.commit > firstIndex && p.commit >= c.configIndex {
			count++
		}
	}
	return count >= c.quorum()
}
