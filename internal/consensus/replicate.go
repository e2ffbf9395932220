package consensus

import (
	"fmt"
	"sort"
	"time"
)

// appendRetryHeartbeats is the number of heartbeat intervals after which an
// append without a response is regarded as lost.
const appendRetryHeartbeats = 4

// tickLeader steps down if the leader has lost contact with the quorum, and
// sends heartbeats that are due.
func (c *core) tickLeader() {
	if !c.hasQuorumContact() {
		c.becomeFollower(c.term)
		return
	}
	c.removeSilentLearners()
	c.removeDepartedVoter()
	c.forEachProgress(c.admitLearner)
	if !c.now.Before(c.heartbeatDue) {
		c.broadcastHeartbeat()
	}
}

func (c *core) hasQuorumContact() bool {
	count := 1
	for _, p := range c.voters {
		if c.now.Sub(p.lastContact) <= c.electionTimeout {
			count++
		}
	}
	return count >= c.quorum()
}

// nextSentTime returns the send time for a message, in nanoseconds since the
// start. It increases with each call, so that a read can tell which heartbeats
// were sent after it.
func (c *core) nextSentTime() int64 {
	c.lastSentTime = max(c.lastSentTime+1, int64(c.now.Sub(c.start)))
	return c.lastSentTime
}

func (c *core) broadcastHeartbeat() {
	c.heartbeatDue = c.now.Add(c.heartbeatInterval)
	sent := c.nextSentTime()
	c.forEachProgress(func(p *progress) {
		c.retryLostAppends(p)
		c.send(message{
			Type: msgHeartbeat, To: p.id, Term: c.term, Sent: sent,
			Commit: min(p.match, c.log.commit),
		})
	})
	c.sendTransfer()
}

// retryLostAppends returns to probing if appends have not been acknowledged
// within appendRetryHeartbeats heartbeat intervals.
func (c *core) retryLostAppends(p *progress) {
	waiting := p.probeSent || !p.probing && p.next > p.match+1
	if !waiting || c.now.Sub(p.lastAck) <= appendRetryHeartbeats*c.heartbeatInterval {
		return
	}
	next := p.next
	if p.match > 0 {
		next = p.match + 1
	}
	p.rewind(next-1, c.now)
}

// forEachProgress visits the other members in the order of their slots.
func (c *core) forEachProgress(visit func(*progress)) {
	for _, slot := range c.progressSlots() {
		if p := c.voters[slot]; p != nil {
			visit(p)
		}
		if p := c.learners[slot]; p != nil {
			visit(p)
		}
	}
}

func (c *core) progressOf(id MemberID) *progress {
	if p := c.voters[id.Slot]; p != nil && p.id == id {
		return p
	}
	if p := c.learners[id.Slot]; p != nil && p.id == id {
		return p
	}
	return nil
}

// appendEntry appends an entry to the log of the leader.
func (c *core) appendEntry(entry Entry) Entry {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.term
	c.log.entries = append(c.log.entries, entry)
	return entry
}

// propose appends a command to the log. It reports false if this member is not
// the leader, is transferring leadership, or awaits further members.
func (c *core) propose(command []byte) (index, term uint64, ok bool) {
	if c.role != leader || c.isTransferring() || c.awaitsMembers() {
		return 0, 0, false
	}
	entry := c.appendEntry(Entry{Kind: entryCommand, Data: command})
	return entry.Index, entry.Term, true
}

func (c *core) broadcastAppend() {
	c.forEachProgress(c.sendAppend)
}

// sendAppend sends the entries that the member lacks, up to maxInflight appends,
// or the snapshot if they are compacted.
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
	entries := limitEntryBytes(c.log.slice(p.next, min(c.log.lastIndex(), previous+maxAppendEntries)))
	if p.inflight == 0 && !p.probeSent {
		p.lastAck = c.now
	}
	c.send(message{
		Type: msgAppend, To: p.id, Term: c.term, Sent: c.nextSentTime(),
		Index: previous, LogTerm: term, Entries: entries, Commit: c.log.commit,
	})
	if !p.probing {
		p.next += uint64(len(entries))
		p.inflight++
	}
}

func limitEntryBytes(entries []Entry) []Entry {
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

// rejectHint returns the highest index that may match the log of the leader. It
// skips all entries of a conflicting term at once.
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
	c.send(message{Type: msgHeartbeatResp, To: m.From, Term: c.term, Sent: m.Sent, Commit: c.log.commit})
}

func (c *core) stepAppendResp(m message) {
	p := c.recordResponse(m)
	if p == nil {
		return
	}
	if m.Reject {
		if m.Index > p.match && (p.next == m.Index+1 || !p.probing) {
			p.rewind(m.Hint, c.now)
			c.sendAppend(p)
		}
		return
	}
	if m.Index > c.log.lastIndex() {
		return // malformed: it acknowledges an entry that was never sent
	}
	p.acknowledge(m.Index, c.now)
	c.advanceCommit()
	c.admitLearner(p)
	c.sendAppend(p)
	if c.transfer.target == (MemberID{}) {
		c.sendTransfer()
	}
}

func (c *core) stepHeartbeatResp(m message) {
	p := c.recordResponse(m)
	if p != nil && p.match < c.log.lastIndex() {
		c.sendAppend(p)
	}
}

// recordResponse records the contact with a member and returns its progress. It
// returns nil if this member is not the leader or the sender is neither a voter
// nor a learner.
func (c *core) recordResponse(m message) *progress {
	if c.role != leader {
		return nil
	}
	p := c.progressOf(m.From)
	if p == nil {
		return nil
	}
	if m.Sent > p.ackedSent {
		p.ackedSent = m.Sent
		p.lastContact = c.start.Add(time.Duration(m.Sent))
	}
	p.commit = max(p.commit, m.Commit)
	c.confirmPendingReads()
	return p
}

// advanceCommit commits the entries that a majority has stored. Only entries of
// the current term are counted; older ones are committed with them.
func (c *core) advanceCommit() {
	stored := []uint64{c.log.stored}
	for _, p := range c.voters {
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
