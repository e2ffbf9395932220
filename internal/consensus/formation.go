package consensus

import "time"

// epochStride is the distance between epoch numbers of one slot. The remainder
// is the position of the slot, so two slots never choose the same number.
const epochStride = 64

// promiseElectionTimeouts is the number of election timeouts after which a blank
// member of a memory group gives up a promise for an epoch that was not formed.
const promiseElectionTimeouts = 4

// formationState is the state of a member that looks for a leader or forms an
// epoch.
type formationState struct {
	nextProbe        time.Time
	nextGrantRequest time.Time
	promisedAt       time.Time
	peers            map[string]peerStatus
	leaderHint       string              // slot that another member reported as the leader; empty: none
	epoch            uint64              // epoch that this member has requested grants for; 0: none
	grants           map[string]MemberID // grants of that epoch, by slot
}

// peerStatus is the last formation message from another slot.
type peerStatus struct {
	blank bool
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

// requiredGrants returns the number of grants needed to form an epoch.
func (c *core) requiredGrants() int {
	if c.durable {
		return len(c.slots)
	}
	return c.quorum()
}

// canStartFormation reports whether this member may request grants. In a disk
// group only the first slot does: formation needs all slots anyway, so the first
// one always takes part.
func (c *core) canStartFormation() bool {
	if c.dynamic && !c.bootstrap {
		return false
	}
	return c.isBlank() && (!c.durable || c.slots[0] == c.id.Slot)
}

func (c *core) tickFormation() {
	leaderless := c.now.Sub(c.leaderLastKnown)
	if c.leave.started || c.role == leader || c.leader != (MemberID{}) && leaderless < c.electionTimeout {
		return
	}
	if !c.durable {
		c.discardIfStuck(leaderless)
	}
	if !c.now.Before(c.formation.nextProbe) {
		c.formation.nextProbe = c.now.Add(c.electionTimeout / 2)
		c.broadcast(c.statusMessage(msgProbe))
	}
	if c.canStartFormation() && !c.now.Before(c.formation.nextGrantRequest) && c.countBlankMembers() >= c.requiredGrants() {
		c.requestGrants()
	}
}

// discardIfStuck discards the state of a member of a memory group that would
// otherwise wait forever: a learner that its group no longer contacts, a member
// of an epoch without commits, or a blank member whose promised epoch was not
// formed. The member takes a new incarnation, so the loss equals a restart.
func (c *core) discardIfStuck(leaderless time.Duration) {
	inactive := !c.isBlank() && (!c.isVoter() || !c.isFormed())
	promiseExpired := c.isBlank() && c.promised != 0 && c.now.Sub(c.formation.promisedAt) > promiseElectionTimeouts*c.electionTimeout
	if inactive && leaderless > c.learnerTimeout || promiseExpired {
		c.discard(0)
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
	return message{Type: kind, Epoch: c.epoch, Promised: c.promised, Blank: c.isBlank(), Leader: c.leader.Slot}
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
	c.promise(epoch, c.id)
	c.formation.epoch = epoch
	c.formation.grants = map[string]MemberID{c.id.Slot: c.id}
	c.broadcast(message{Type: msgFormation, Promised: epoch, Blank: true})
	c.formEpochIfGranted()
}

// promise makes this member reject all epochs before the given one.
func (c *core) promise(epoch uint64, to MemberID) {
	c.promised = epoch
	c.promisedTo = to
	c.formation.promisedAt = c.now
	c.formation.epoch = 0
}

func (c *core) stepFormation(m message) {
	c.formation.peers[m.From.Slot] = peerStatus{blank: m.Blank, epoch: max(m.Epoch, m.Promised), at: c.now}
	if !c.isBlank() && !c.durable && m.Formed && m.Epoch > c.epoch {
		c.discard(m.Epoch)
	}
	if c.dynamic && m.Leader != "" && m.Leader != c.id.Slot {
		c.formation.leaderHint = m.Leader
	}
	switch m.Type {
	case msgProbe:
		c.sendStatus(m.From)
		// A member that has promised a newer epoch would reject the messages of
		// this one.
		if m.Promised <= c.promised || c.durable {
			c.addLearner(m.From, m.Epoch == c.epoch)
		}
	case msgFormation:
		c.stepFormationRequest(m)
	case msgGrant:
		c.stepGrant(m)
	}
}

func (c *core) sendStatus(to MemberID) {
	response := c.statusMessage(msgStatus)
	response.To = to
	c.send(response)
}

func (c *core) stepFormationRequest(m message) {
	repeated := m.Promised == c.promised && c.promisedTo == m.From
	if !c.isBlank() || c.dynamic && !c.bootstrap || c.hasRecentLeader() || m.Promised <= c.promised && !repeated {
		c.sendStatus(m.From)
		return
	}
	if !repeated {
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

// checkEpoch compares the epoch of a message with the current epoch. It reports
// whether the message is to be handled as one of the current epoch.
func (c *core) checkEpoch(m message) bool {
	switch {
	case c.isBlank():
		c.stepWhileBlank(m)
		return false
	case m.Epoch == c.epoch:
		return true
	case m.Epoch < c.epoch:
		c.sendStatus(m.From)
	case m.Formed && !c.durable:
		c.discard(m.Epoch)
	}
	return false
}

// stepWhileBlank follows a leader until its snapshot arrives. A blank member
// does not vote and has no term.
func (c *core) stepWhileBlank(m message) {
	if !m.fromLeader() {
		return
	}
	// An epoch of a disk group needs the grants of all slots, so once an epoch has
	// been formed, a promise for any other epoch is void.
	if m.Epoch < c.promised && !c.durable {
		c.sendStatus(m.From)
		return
	}
	if m.Epoch != c.promised {
		c.promise(m.Epoch, MemberID{})
	}
	c.followLeader(m.From, m.Sent)
	switch m.Type {
	case msgHeartbeat:
		c.send(message{Type: msgHeartbeatResp, To: m.From, Epoch: m.Epoch, Term: m.Term, Sent: m.Sent})
	case msgAppend:
		c.send(message{Type: msgAppendResp, To: m.From, Epoch: m.Epoch, Term: m.Term, Sent: m.Sent, Index: m.Index, Reject: true})
	case msgSnapshot:
		c.term = m.Term
		c.vote = MemberID{}
		c.stepSnapshot(m)
	}
}

// discard drops all state and takes a new incarnation. Epochs before promised
// are rejected from then on.
func (c *core) discard(promised uint64) {
	if c.durable {
		panic("consensus: a disk group never discards state")
	}
	c.becomeFollower(c.term)
	c.id.Incarnation = c.newIncarnation()
	c.epoch = 0
	c.term = 0
	c.vote = MemberID{}
	c.config = nil
	c.log = replicatedLog{}
	c.messages = nil
	c.newSnapshot = nil
	c.discarded = true
	c.lastLeaderContact = c.now
	c.leaderLastKnown = c.now
	c.formation.reset(c.now)
	c.promise(promised, MemberID{})
	c.scheduleFormation(c.now)
}
