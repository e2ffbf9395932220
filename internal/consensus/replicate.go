package consensus

import (
	"fmt"
	"sort"
	"time"
)

// retryPeriods is the number of heartbeat intervals after which an append
// without an answer counts as lost.
const retryPeriods = 4

// tickLeader steps down without a quorum, and sends heartbeats.
func (c *core) tickLeader() {
	if !c.hasQuorumContact() {
		c.becomeFollower(c.term)
		return
	}
	c.dropSilentLearners()
	c.removeReplaced()
	if !c.now.Before(c.heartbeatDue) {
		c.broadcastHeartbeat()
	}
}

func (c *core) hasQuorumContact() bool {
	count := 1
	for _, p := range c.peers {
		if c.now.Sub(p.contact) <= c.electionTimeout {
			count++
		}
	}
	return count >= c.quorum()
}

// nextSent returns the send time for a message, as nanoseconds since the start.
// It rises with each call, so that a read can name the heartbeats that follow
// it.
func (c *core) nextSent() int64 {
	c.lastSent = max(c.lastSent+1, int64(c.now.Sub(c.start)))
	return c.lastSent
}

func (c *core) broadcastHeartbeat() {
	c.heartbeatDue = c.now.Add(c.heartbeatInterval)
	sent := c.nextSent()
	c.eachProgress(func(p *progress) {
		c.retryLost(p)
		c.send(message{
			Type: msgHeartbeat, To: p.id, Term: c.term, Sent: sent,
			Commit: min(p.match, c.log.commit),
		})
	})
	c.sendTransfer()
}

// retryLost goes back to probing if appends were not answered for some time.
func (c *core) retryLost(p *progress) {
	waiting := p.probeSent || !p.probing && p.next > p.match+1
	if !waiting || c.now.Sub(p.lastAck) <= retryPeriods*c.heartbeatInterval {
		return
	}
	next := p.next
	if p.match > 0 {
		next = p.match + 1
	}
	p.stepBack(next-1, c.now)
}

// eachProgress visits the other members in the order of their slots.
func (c *core) eachProgress(visit func(*progress)) {
	for _, slot := range c.progressSlots() {
		if p := c.peers[slot]; p != nil {
			visit(p)
		}
		if p := c.learners[slot]; p != nil {
			visit(p)
		}
	}
}

func (c *core) progressOf(id MemberID) *progress {
	if p := c.peers[id.Slot]; p != nil && p.id == id {
		return p
	}
	if p := c.learners[id.Slot]; p != nil && p.id == id {
		return p
	}
	return nil
}

// appendOwn adds an entry to the log of the leader.
func (c *core) appendOwn(entry Entry) Entry {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.term
	c.log.entries = append(c.log.entries, entry)
	return entry
}

// propose adds a command to the log. It reports false if this member does not
// lead or is handing over the lead.
func (c *core) propose(command []byte) (index, term uint64, ok bool) {
	if c.role != leader || c.transferring() {
		return 0, 0, false
	}
	entry := c.appendOwn(Entry{Kind: entryCommand, Data: command})
	return entry.Index, entry.Term, true
}

func (c *core) broadcastAppend() {
	c.eachProgress(c.sendAppend)
}

// sendAppend sends what the member lacks, as far as it may be in flight.
func (c *core) sendAppend(p *progress) {
	if p.next <= c.log.baseIndex {
		c.sendSnapshot(p)
		return
	}
	if p.probing {
		if !p.probeSent {
			c.sendEntries(p)
			p.probeSent = true
		}
		return
	}
	for p.next <= c.log.lastIndex() && p.inflight < maxInflight {
		c.sendEntries(p)
	}
}

func (c *core) sendEntries(p *progress) {
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		panic(fmt.Sprintf("consensus: no term for entry %d, log %d to %d", previous, c.log.baseIndex, c.log.lastIndex()))
	}
	entries := limitBytes(c.log.slice(p.next, min(c.log.lastIndex(), previous+maxAppendEntries)))
	if p.inflight == 0 && !p.probeSent {
		p.lastAck = c.now
	}
	c.send(message{
		Type: msgAppend, To: p.id, Term: c.term, Sent: c.nextSent(),
		Index: previous, LogTerm: term, Entries: entries, Commit: c.log.commit,
	})
	if !p.probing {
		p.next += uint64(len(entries))
		p.inflight++
	}
}

func limitBytes(entries []Entry) []Entry {
	total := 0
	for i, entry := range entries {
		total += len(entry.Data)
		if total > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (c *core) stepAppend(m message) {
	response := message{Type: msgAppendResp, To: m.From, Term: c.term, Sent: m.Sent}
	switch {
	case m.Index < c.log.commit:
		response.Index = c.log.commit
	case !c.log.matches(m.Index, m.LogTerm):
		response.Index = m.Index
		response.Reject = true
		response.Hint = c.rejectHint(m.Index)
	default:
		c.log.merge(m.Entries)
		last := m.Index + uint64(len(m.Entries))
		c.log.commitTo(min(m.Commit, last))
		response.Index = last
	}
	response.Commit = c.log.commit
	c.send(response)
}

// rejectHint skips all entries of a conflicting term at once.
func (c *core) rejectHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflicting, _ := c.log.term(index)
	for index > c.log.commit+1 {
		term, ok := c.log.term(index - 1)
		if !ok || term != conflicting {
			break
		}
		index--
	}
	return max(c.log.commit, index-1)
}

func (c *core) stepHeartbeat(m message) {
	c.log.commitTo(min(m.Commit, c.log.lastIndex()))
	c.send(message{Type: msgBeatResp, To: m.From, Term: c.term, Sent: m.Sent, Commit: c.log.commit})
}

func (c *core) stepAppendResp(m message) {
	p := c.answered(m)
	if p == nil {
		return
	}
	if m.Reject {
		if m.Index > p.match && (p.next == m.Index+1 || !p.probing) {
			p.stepBack(m.Hint, c.now)
			c.sendAppend(p)
		}
		return
	}
	if m.Index > c.log.lastIndex() {
		panic(fmt.Sprintf("consensus: %v acknowledges entry %d, the last one is %d", m.From, m.Index, c.log.lastIndex()))
	}
	p.acknowledge(m.Index, c.now)
	c.advanceCommit()
	c.admitLearner(p)
	c.sendAppend(p)
	if c.transfer.target == (MemberID{}) {
		c.sendTransfer()
	}
}

func (c *core) stepBeatResp(m message) {
	p := c.answered(m)
	if p != nil && p.match < c.log.lastIndex() {
		c.sendAppend(p)
	}
}

// answered records the contact with a member. It returns nil if this member
// does not lead or the sender is not in the group.
func (c *core) answered(m message) *progress {
	if c.role != leader {
		return nil
	}
	p := c.progressOf(m.From)
	if p == nil {
		return nil
	}
	if m.Sent > p.echo {
		p.echo = m.Sent
		p.contact = c.start.Add(time.Duration(m.Sent))
	}
	p.commit = max(p.commit, m.Commit)
	c.confirmReads()
	return p
}

// advanceCommit commits what a majority of the slots has stored. Only entries
// of the own term are counted; older ones are committed with them.
func (c *core) advanceCommit() {
	stored := []uint64{c.log.stored}
	for _, p := range c.peers {
		stored = append(stored, p.match)
	}
	if len(stored) < c.quorum() {
		return
	}
	sort.Slice(stored, func(i, j int) bool { return stored[i] > stored[j] })
	index := stored[c.quorum()-1]
	if index > c.log.commit && c.log.matches(index, c.term) {
		c.log.commitTo(index)
		c.heartbeatDue = c.now
	}
}
