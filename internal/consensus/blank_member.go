package consensus

import "time"

// discardIfStuck discards the state of a member that would otherwise wait forever:
// a blank member whose promised epoch was not formed; in a memory group also a
// learner that its group no longer contacts, or a member of an epoch without
// commits. The member takes a new incarnation, so the loss equals a restart. A
// disk group must keep entries that it may have acknowledged.
func (c *core) discardIfStuck(leaderless time.Duration) {
	if !c.formsByMajority() {
		return
	}
	inactive := !c.durable && !c.isBlank() && (!c.isVoter() || !c.isFormed())
	promiseExpired := c.isBlank() && c.promised != 0 && c.now.Sub(c.formation.promisedAt) > promiseElectionTimeouts*c.electionTimeout
	if c.durable {
		// The promised epoch may depend on the vote of this incarnation, unless
		// another one was formed.
		promiseExpired = promiseExpired && c.formation.passedOver
	}
	if promiseExpired && c.withdrawRequest(c.earlier.Epoch) {
		return
	}
	if inactive && leaderless > c.learnerTimeout || promiseExpired {
		c.discard(0)
	}
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
	case m.Formed && c.canAbandonEpoch():
		c.discard(m.Epoch)
	}
	return false
}

// canAbandonEpoch reports whether this member may discard its epoch for a later one
// that has committed an entry. A member of a disk group only discards an epoch
// without commits: if that one had committed an entry elsewhere, a majority would
// hold it, and could not have granted the later one.
func (c *core) canAbandonEpoch() bool {
	return !c.isBlank() && c.formsByMajority() && (!c.durable || !c.isFormed())
}

// noteLeaderOfEarlierIncarnation has a blank member ask the leader that still sends
// messages to the earlier incarnation in its slot. If the other slots that it knows
// have lost their state too, nobody else can name the leader.
func (c *core) noteLeaderOfEarlierIncarnation(m message) {
	if c.dynamic && c.isBlank() && m.fromLeader() && m.To.Slot == c.id.Slot && m.To.Incarnation != c.id.Incarnation {
		c.formation.leaderHint = m.From.Slot
	}
}

// stepWhileBlank follows a leader until its snapshot arrives. A blank member votes
// in the epoch that it has granted only, and has a term in that one only.
func (c *core) stepWhileBlank(m message) {
	c.noteFormedEpoch(m)
	c.withdrawRequest(m.Epoch)
	if m.Type == msgPreVote || m.Type == msgVote {
		c.stepVoteWhileBlank(m)
		return
	}
	if !m.fromLeader() {
		return
	}
	// An epoch that needs the grants of all slots voids a promise for any other one.
	if m.Epoch < c.promised && c.formsByMajority() {
		c.sendStatus(m.From)
		return
	}
	if m.Epoch != c.promised {
		c.promise(m.Epoch, MemberID{})
	}
	if m.Term < c.term {
		return // it has voted for a later leader
	}
	c.followLeader(m.From, m.Sent)
	switch m.Type {
	case msgHeartbeat:
		c.send(message{Type: msgHeartbeatResp, To: m.From, Epoch: m.Epoch, Term: m.Term, Sent: m.Sent})
	case msgAppend:
		c.send(message{Type: msgAppendResp, To: m.From, Epoch: m.Epoch, Term: m.Term, Sent: m.Sent, Index: m.Index, Reject: true})
	case msgSnapshot:
		if m.Term > c.term {
			c.term, c.vote = m.Term, MemberID{}
		}
		c.stepSnapshot(m)
	}
}

// withdrawRequest returns to an epoch that this member had granted before it
// requested grants itself. Only this member could have formed the epoch that it
// requested, so nothing depends on that one. It reports whether it has returned.
func (c *core) withdrawRequest(epoch uint64) bool {
	earlier := c.earlier
	if !c.durable || epoch == 0 || epoch != earlier.Epoch || c.promisedTo != c.id {
		return false
	}
	c.promise(earlier.Epoch, earlier.To)
	c.term, c.vote = earlier.Term, earlier.Vote
	c.earlier = grantedEpoch{}
	return true
}

// stepVoteWhileBlank votes in the epoch that this member has granted, as a member
// with an empty log. Its grant made it a voter of that epoch, and the leader that
// formed the epoch may be gone before it has sent the first snapshot.
func (c *core) stepVoteWhileBlank(m message) {
	hasGranted := c.durable && c.formsByMajority() && m.Epoch == c.promised && c.promisedTo != (MemberID{})
	if !hasGranted || c.hasRecentLeader() || m.Term < c.term {
		return
	}
	if m.Term == c.term && (m.Type == msgPreVote || c.vote != m.From) {
		return // it has voted in this term
	}
	response := message{Type: msgPreVoteResp, To: m.From, Epoch: m.Epoch, Term: m.Term}
	if m.Type == msgVote {
		response.Type = msgVoteResp
		c.term, c.vote = m.Term, m.From
	}
	c.send(response)
}

// discard drops all state and takes a new incarnation. Epochs before promised
// are rejected from then on.
func (c *core) discard(promised uint64) {
	if c.durable && c.isFormed() {
		panic("consensus: a disk group never discards committed entries")
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
	c.earlier = grantedEpoch{}
	c.discarded = true
	c.lastLeaderContact = c.now
	c.leaderLastKnown = c.now
	c.formation.reset(c.now)
	c.promise(promised, MemberID{})
	c.scheduleFormation(c.now)
}
