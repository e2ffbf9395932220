package consensus

import (
	"slices"
	"time"
)

// epochStride is the distance between epoch numbers of one slot. The remainder
// is the position of the slot, so two slots never choose the same number.
const epochStride = 64

// allSeedsElectionTimeouts is the number of election timeouts after its start for
// which a seed of a dynamic disk group waits for the grants of all seeds. Later, a
// majority is enough.
const allSeedsElectionTimeouts = 3

// promiseElectionTimeouts is the number of election timeouts after which a blank
// member gives up a promise for an epoch that was not formed.
const promiseElectionTimeouts = 4

// formationState is the state of a member that looks for a leader or forms an
// epoch.
type formationState struct {
	nextProbe        time.Time
	nextGrantRequest time.Time
	promisedAt       time.Time
	passedOver       bool // an epoch below the promised one has committed an entry
	peers            map[string]peerStatus
	leaderHint       string              // slot that another member reported as the leader; empty: none
	epoch            uint64              // epoch that this member has requested grants for; 0: none
	grants           map[string]MemberID // grants of that epoch, by slot
}

// peerStatus is the last formation message from another slot.
type peerStatus struct {
	blank bool   // and may grant an epoch
	epoch uint64 // highest epoch that the peer knows
	at    time.Time
}

func (f *formationState) reset(now time.Time) {
	*f = formationState{nextProbe: now, nextGrantRequest: now, promisedAt: now, peers: map[string]peerStatus{}}
}

// scheduleFormation sets the earliest time of the next request for grants. The
// random part prevents members from superseding each other's requests forever.
func (c *core) scheduleFormation(now time.Time) {
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout)))
	c.formation.nextGrantRequest = now.Add(c.electionTimeout + spread)
}

// formsByMajority reports whether a majority of the slots may form an epoch. In a
// disk group with fixed slots a member that has lost its disk cannot be told from
// one that never had state, so all must grant. In a dynamic one the former does
// not bootstrap, and never grants.
func (c *core) formsByMajority() bool { return !c.durable || c.dynamic }

// requiredGrants returns the number of grants needed to form an epoch.
func (c *core) requiredGrants() int {
	patient := c.durable && c.now.Sub(c.start) < allSeedsElectionTimeouts*c.electionTimeout
	if !c.formsByMajority() || patient {
		return len(c.slots)
	}
	return quorumOf(len(c.slots))
}

// mayGrant reports whether this member may take part in forming an epoch.
func (c *core) mayGrant() bool {
	return c.isBlank() && (!c.dynamic || c.bootstrap && slices.Contains(c.slots, c.id.Slot))
}

// canStartFormation reports whether this member may request grants. In a disk
// group with fixed slots only the first slot does: formation needs all slots
// anyway, so the first one always takes part.
func (c *core) canStartFormation() bool {
	if !c.mayGrant() {
		return false
	}
	return c.formsByMajority() || c.slots[0] == c.id.Slot
}

func (c *core) tickFormation() {
	leaderless := c.now.Sub(c.leaderLastKnown)
	if c.leave.started || c.role == leader || c.leader != (MemberID{}) && leaderless < c.electionTimeout {
		return
	}
	c.discardIfStuck(leaderless)
	if !c.now.Before(c.formation.nextProbe) {
		c.formation.nextProbe = c.now.Add(c.electionTimeout / 2)
		c.broadcast(c.statusMessage(msgProbe))
	}
	if c.canStartFormation() && !c.now.Before(c.formation.nextGrantRequest) && c.countBlankMembers() >= c.requiredGrants() {
		c.requestGrants()
	}
}

// isFormed reports whether the epoch has committed an entry. A majority has then
// accepted the epoch, so no older epoch can commit entries.
func (c *core) isFormed() bool { return c.log.commit > firstIndex }

func (c *core) broadcast(m message) {
	for _, slot := range c.formationRecipients(m.Type) {
		if slot != c.id.Slot {
			m.To = MemberID{Slot: slot}
			c.send(m)
		}
	}
}

func (c *core) statusMessage(kind messageType) message {
	return message{Type: kind, Epoch: c.epoch, Promised: c.promised, Blank: c.mayGrant(), Leader: c.leader.Slot}
}

// countBlankMembers returns the number of members, including this one, that
// have recently reported to be blank.
func (c *core) countBlankMembers() int {
	count := 1
	for _, status := range c.formation.peers {
		if status.blank && c.now.Sub(status.at) < 2*c.electionTimeout {
			count++
		}
	}
	return count
}

// newEpoch returns an epoch number above all that this member has seen. The
// number follows the wall clock, because a restarted member may not have seen
// the last epoch.
func (c *core) newEpoch() uint64 {
	sequence := c.promised / epochStride
	for _, status := range c.formation.peers {
		sequence = max(sequence, status.epoch/epochStride)
	}
	sequence = max(sequence+1, uint64(max(c.now.UnixMilli(), 0)))
	for i, slot := range c.slots {
		if slot == c.id.Slot {
			return sequence*epochStride + uint64(i)
		}
	}
	panic("consensus: own slot " + c.id.Slot + " is not in the list of slots")
}

func (c *core) requestGrants() {
	c.scheduleFormation(c.now)
	epoch := c.newEpoch()
	if c.promisedTo != c.id {
		c.earlier = grantedEpoch{Epoch: c.promised, To: c.promisedTo, Term: c.term, Vote: c.vote}
	}
	c.promise(epoch, c.id)
	c.formation.epoch = epoch
	c.formation.grants = map[string]MemberID{c.id.Slot: c.id}
	c.broadcast(message{Type: msgFormation, Promised: epoch, Blank: true})
	c.formEpochIfGranted()
}

// promise makes this member reject all epochs before the given one.
func (c *core) promise(epoch uint64, to MemberID) {
	if c.isBlank() && epoch != c.promised {
		c.term, c.vote = 0, MemberID{} // terms of different epochs cannot be compared
	}
	c.formation.passedOver = false
	c.promised = epoch
	c.promisedTo = to
	c.formation.promisedAt = c.now
	c.formation.epoch = 0
}

func (c *core) stepFormation(m message) {
	c.formation.peers[m.From.Slot] = peerStatus{blank: m.Blank, epoch: max(m.Epoch, m.Promised), at: c.now}
	if m.Formed && m.Epoch > c.epoch && c.canAbandonEpoch() {
		c.discard(m.Epoch)
	}
	c.noteFormedEpoch(m)
	if c.dynamic && m.Leader != "" && m.Leader != c.id.Slot {
		c.formation.leaderHint = m.Leader
	}
	switch m.Type {
	case msgProbe:
		c.sendStatus(m.From)
		// A member that has promised a newer epoch would reject the messages of
		// this one.
		if m.Promised <= c.promised || !c.formsByMajority() {
			c.addLearner(m.From, m.Epoch == c.epoch)
		}
	case msgFormation:
		c.stepFormationRequest(m)
	case msgGrant:
		c.stepGrant(m)
	}
}

// noteFormedEpoch records that an epoch below the promised one has committed an
// entry, so that the promised one never will.
func (c *core) noteFormedEpoch(m message) {
	if m.Formed && m.Epoch < c.promised {
		c.formation.passedOver = true
	}
}

func (c *core) sendStatus(to MemberID) {
	response := c.statusMessage(msgStatus)
	response.To = to
	c.send(response)
}

func (c *core) stepFormationRequest(m message) {
	repeated := m.Promised == c.promised && c.promisedTo == m.From
	if !c.mayGrant() || c.hasRecentLeader() || m.Promised <= c.promised && !repeated {
		c.sendStatus(m.From)
		return
	}
	if !repeated {
		c.earlier = grantedEpoch{}
		c.promise(m.Promised, m.From)
		c.scheduleFormation(c.now)
	}
	c.send(message{Type: msgGrant, To: m.From, Promised: m.Promised, Blank: true})
}

func (c *core) stepGrant(m message) {
	if !c.isBlank() || c.formation.epoch == 0 || m.Promised != c.formation.epoch {
		return
	}
	c.formation.grants[m.From.Slot] = m.From
	c.formEpochIfGranted()
}

// formEpochIfGranted starts the epoch with the granting members once there are
// enough grants. The fence is read after the last grant, when older epochs can
// no longer commit entries.
func (c *core) formEpochIfGranted() {
	if len(c.formation.grants) < c.requiredGrants() {
		return
	}
	first := snapshot{Epoch: c.promised, Index: firstIndex, Term: firstTerm, Config: configuration{}}
	if !c.durable {
		first.Fence = c.now.UnixNano()
	}
	for _, slot := range c.slots {
		first.Config[slot] = c.formation.grants[slot].Incarnation
	}
	c.formation.epoch = 0
	c.installSnapshot(first)
	c.term = firstTerm
	c.vote = c.id
	c.becomeLeader()
	c.appendEntry(Entry{Kind: entryNoop})
	c.forEachProgress(func(p *progress) {
		p.next = firstIndex
		c.sendAppend(p)
	})
}
