package consensus

import "time"

// epochStride leaves room for the position of the slot in an epoch number, so
// that two slots never choose the same number.
const epochStride = 64

// promisePeriods is the number of election timeouts after which a blank member
// of a memory group gives up a promise for an epoch that was not formed.
const promisePeriods = 4

// formationState is what a member without a leader knows of the others.
type formationState struct {
	probeDue   time.Time
	formDue    time.Time
	promisedAt time.Time
	seen       map[string]peerStatus
	leaderHint string              // slot that another member named as the leader; empty: none
	epoch      uint64              // epoch that this member asks for; 0: none
	grants     map[string]MemberID // of that epoch
}

type peerStatus struct {
	blank bool
	epoch uint64 // highest epoch that the peer knows
	at    time.Time
}

func (f *formationState) reset(now time.Time) {
	*f = formationState{probeDue: now, formDue: now, promisedAt: now, seen: map[string]peerStatus{}}
}

// formAfter sets the earliest time of the next request. The random part keeps
// members from outbidding each other for ever.
func (c *core) formAfter(now time.Time) {
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout)))
	c.formation.formDue = now.Add(c.electionTimeout + spread)
}

// grantsNeeded is the number of blank slots that may form an epoch.
func (c *core) grantsNeeded() int {
	if c.durable {
		return len(c.slots)
	}
	return c.quorum()
}

// mayForm reports whether this member may ask for an epoch. All members of a
// durable group must agree, so the first slot is always there to ask.
func (c *core) mayStartFormation() bool {
	if c.dynamic && !c.mayForm {
		return false
	}
	return c.blank() && (!c.durable || c.slots[0] == c.id.Slot)
}

func (c *core) tickFormation() {
	silent := c.now.Sub(c.leaderSeen)
	if c.role == leader || c.leader != (MemberID{}) && silent < c.electionTimeout {
		return
	}
	if !c.durable {
		c.startOver(silent)
	}
	if !c.now.Before(c.formation.probeDue) {
		c.formation.probeDue = c.now.Add(c.electionTimeout / 2)
		c.broadcast(c.statusMessage(msgProbe))
	}
	if c.mayStartFormation() && !c.now.Before(c.formation.formDue) && c.blankSeen() >= c.grantsNeeded() {
		c.requestGrants()
	}
}

// startOver makes a member of a memory group blank that would otherwise wait
// for ever: a learner that its group has lost, a member of an epoch that has
// committed nothing, and a blank member that promised an epoch that was not
// formed. It takes a new incarnation, so the loss is that of a restart.
func (c *core) startOver(silent time.Duration) {
	unsettled := !c.blank() && (!c.voter() || !c.formed())
	broken := c.blank() && c.promised != 0 && c.now.Sub(c.formation.promisedAt) > promisePeriods*c.electionTimeout
	if unsettled && silent > c.learnerTimeout || broken {
		c.discard(0)
	}
}

// formed reports whether the epoch has committed an entry. A majority has then
// accepted it, so no older epoch can commit any more.
func (c *core) formed() bool { return c.log.commit > firstIndex }

func (c *core) broadcast(m message) {
	for _, slot := range c.formationSlots(m.Type) {
		if slot != c.id.Slot {
			m.To = MemberID{Slot: slot}
			c.send(m)
		}
	}
}

func (c *core) statusMessage(kind messageType) message {
	return message{Type: kind, Epoch: c.epoch, Promised: c.promised, Blank: c.blank(), Leader: c.leader.Slot}
}

func (c *core) blankSeen() int {
	count := 1
	for _, status := range c.formation.seen {
		if status.blank && c.now.Sub(status.at) < 2*c.electionTimeout {
			count++
		}
	}
	return count
}

// newEpoch returns a number above all that this member has seen. It follows the
// wall clock, because a restarted member may not have seen the last one.
func (c *core) newEpoch() uint64 {
	round := c.promised / epochStride
	for _, status := range c.formation.seen {
		round = max(round, status.epoch/epochStride)
	}
	round = max(round+1, uint64(max(c.now.UnixMilli(), 0)))
	for i, slot := range c.slots {
		if slot == c.id.Slot {
			return round*epochStride + uint64(i)
		}
	}
	panic("consensus: own slot " + c.id.Slot + " is not in the list of slots")
}

func (c *core) requestGrants() {
	c.formAfter(c.now)
	epoch := c.newEpoch()
	c.promise(epoch, c.id)
	c.formation.epoch = epoch
	c.formation.grants = map[string]MemberID{c.id.Slot: c.id}
	c.broadcast(message{Type: msgFormation, Promised: epoch, Blank: true})
	c.tryForm()
}

// promise refuses all older epochs.
func (c *core) promise(epoch uint64, to MemberID) {
	c.promised = epoch
	c.promisedTo = to
	c.formation.promisedAt = c.now
	c.formation.epoch = 0
}

func (c *core) stepFormation(m message) {
	c.formation.seen[m.From.Slot] = peerStatus{blank: m.Blank, epoch: max(m.Epoch, m.Promised), at: c.now}
	if !c.blank() && !c.durable && m.Formed && m.Epoch > c.epoch {
		c.discard(m.Epoch)
	}
	if c.dynamic && m.Leader != "" && m.Leader != c.id.Slot {
		c.formation.leaderHint = m.Leader
	}
	switch m.Type {
	case msgProbe:
		c.sendStatus(m.From)
		// A member that has granted a newer epoch refuses the messages of this one.
		if m.Promised <= c.promised || c.durable {
			c.addLearner(m.From)
		}
	case msgFormation:
		c.answerFormation(m)
	case msgGrant:
		c.stepGrant(m)
	}
}

func (c *core) sendStatus(to MemberID) {
	response := c.statusMessage(msgStatus)
	response.To = to
	c.send(response)
}

func (c *core) answerFormation(m message) {
	repeated := m.Promised == c.promised && c.promisedTo == m.From
	if !c.blank() || c.dynamic && !c.mayForm || c.hearsLeader() || m.Promised <= c.promised && !repeated {
		c.sendStatus(m.From)
		return
	}
	if !repeated {
		c.promise(m.Promised, m.From)
		c.formAfter(c.now)
	}
	c.send(message{Type: msgGrant, To: m.From, Promised: m.Promised, Blank: true})
}

func (c *core) stepGrant(m message) {
	if !c.blank() || c.formation.epoch == 0 || m.Promised != c.formation.epoch {
		return
	}
	c.formation.grants[m.From.Slot] = m.From
	c.tryForm()
}

// tryForm starts the epoch with the granting members. The fence is taken after
// the last grant, when older epochs can commit nothing more.
func (c *core) tryForm() {
	if len(c.formation.grants) < c.grantsNeeded() {
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
	c.appendOwn(Entry{Kind: entryNoop})
	c.eachProgress(func(p *progress) {
		p.next = firstIndex
		c.sendAppend(p)
	})
}

// enterEpoch compares the epoch of a message with the own one, and reports
// whether a member with state is to handle the message.
func (c *core) enterEpoch(m message) bool {
	switch {
	case c.blank():
		c.stepBlank(m)
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

// stepBlank follows a leader until its snapshot arrives. A blank member neither
// votes nor keeps a term.
func (c *core) stepBlank(m message) {
	if !m.fromLeader() {
		return
	}
	// A durable epoch needs the grants of all slots, so a promise for another
	// one is void as soon as one epoch has been formed.
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
		c.send(message{Type: msgBeatResp, To: m.From, Epoch: m.Epoch, Term: m.Term, Sent: m.Sent})
	case msgAppend:
		c.send(message{Type: msgAppendResp, To: m.From, Epoch: m.Epoch, Term: m.Term, Sent: m.Sent, Index: m.Index, Reject: true})
	case msgSnapshot:
		c.term = m.Term
		c.vote = MemberID{}
		c.stepSnapshot(m)
	}
}

// discard forgets all state and takes a new incarnation. Epochs before promised
// are refused from then on.
func (c *core) discard(promised uint64) {
	if c.durable {
		panic("consensus: a durable group never discards state")
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
	c.lastContact = c.now
	c.leaderSeen = c.now
	c.formation.reset(c.now)
	c.promise(promised, MemberID{})
	c.formAfter(c.now)
}
