package consensus

import "fmt"

// sendSnapshot sends the snapshot, unless an earlier one may still be on its way.
// The time allowed for it grows from the election timeout to the snapshot timeout:
// a lost snapshot is soon sent again, and a large one on a slow link only a few
// times.
func (c *core) sendSnapshot(p *progress) {
	if c.now.Before(p.snapshotDue) {
		return
	}
	p.snapshotDelay = min(max(2*p.snapshotDelay, c.electionTimeout), c.snapshotTimeout)
	p.snapshotDue = c.now.Add(p.snapshotDelay)
	s := c.log.snapshot
	c.send(message{Type: msgSnapshot, To: p.id, Term: c.term, Sent: c.nextSentTime(), Snapshot: &s})
}

// snapshotFailed schedules the retry of a snapshot that could not be sent.
func (c *core) snapshotFailed(to MemberID) {
	if c.role != leader {
		return
	}
	if p := c.progressOf(to); p != nil {
		p.snapshotDue = c.now.Add(c.electionTimeout)
	}
}

func (c *core) stepSnapshot(m message) {
	s := m.Snapshot
	if s == nil || s.Epoch != m.Epoch || s.Index == 0 {
		return
	}
	if !c.dynamic && !c.hasSameSlots(s.Config) {
		c.slotsMismatch = true
		return
	}
	switch {
	case s.Index <= c.log.commit:
	case c.log.matches(s.Index, s.Term):
		// The log is kept, because entries after the snapshot may already have
		// been acknowledged.
		c.log.commitTo(s.Index)
	default:
		c.installSnapshot(*s)
	}
	c.send(message{
		Type: msgAppendResp, To: m.From, Term: c.term, Sent: m.Sent,
		Index: c.log.commit, Commit: c.log.commit,
	})
}

func (c *core) installSnapshot(s snapshot) {
	c.log.restore(s)
	c.config = s.Config.clone()
	c.configIndex = 0
	c.epoch = s.Epoch
	c.newSnapshot = &s
}

func (c *core) hasSameSlots(config configuration) bool {
	for _, slot := range c.slots {
		if _, ok := config[slot]; !ok {
			return false
		}
	}
	return len(config) == len(c.slots)
}

// isSnapshotDue reports whether a snapshot is worth its cost: enough entries were
// applied, and their size is at least half that of the last snapshot. Large
// entries trigger a snapshot earlier, to limit the memory of the log.
func (c *core) isSnapshotDue() bool {
	count := c.log.applied - c.log.snapshot.Index
	state := len(c.log.snapshot.Data)
	return count >= c.snapshotEvery && c.log.bytesSinceSnapshot >= state/2 || c.log.bytesSinceSnapshot >= max(c.snapshotBytes, state)
}

// compact replaces the applied part of the log with a snapshot of the state
// machine.
func (c *core) compact(data []byte) snapshot {
	term, ok := c.log.term(c.log.applied)
	if !ok {
		panic(fmt.Sprintf("consensus: no term for applied entry %d", c.log.applied))
	}
	s := snapshot{
		Epoch:  c.epoch,
		Index:  c.log.applied,
		Term:   term,
		Config: c.config.clone(),
		Fence:  c.log.snapshot.Fence,
		Data:   data,
	}
	c.log.compact(s, c.snapshotEvery/4, c.snapshotBytes/4)
	return s
}
