package consensus

import "time"

// leaseNumerator and leaseDenominator make the lease shorter than the time for
// which followers refuse votes, so that clock rates may differ by 10%.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

// pendingRead is a read that no majority has confirmed yet.
type pendingRead struct {
	id      uint64
	index   uint64
	minSent int64 // responses to heartbeats sent at or after this time confirm the read
}

// readState is a confirmed read. It may be served once index is applied.
type readState struct {
	id    uint64
	index uint64
}

// readIndex starts a linearizable read. It reports false if this member is not
// the leader or has not yet committed an entry of its term. With allowLease, a
// valid lease confirms the read without contact with other members. Otherwise a
// heartbeat is sent for it at once.
func (c *core) readIndex(id uint64, allowLease bool) bool {
	pending := len(c.pendingReads)
	if !c.readIndexOnHeartbeat(id, allowLease) {
		return false
	}
	if len(c.pendingReads) > pending {
		c.heartbeatDue = c.now
	}
	return true
}

// readIndexOnHeartbeat is like readIndex, but waits for the next regular heartbeat.
func (c *core) readIndexOnHeartbeat(id uint64, allowLease bool) bool {
	if c.role != leader || !c.log.matches(c.log.commit, c.term) {
		return false
	}
	if allowLease && c.now.Before(c.leaseUntil()) || c.quorum() == 1 {
		c.readStates = append(c.readStates, readState{id: id, index: c.log.commit})
		return true
	}
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, index: c.log.commit, minSent: c.lastSentTime + 1})
	return true
}

// quorumAckedSent returns the latest message.Sent that a majority has responded
// to, or 0 if there is none in this term.
func (c *core) quorumAckedSent() int64 {
	latest := int64(0)
	for _, p := range c.voters {
		count := 1
		for _, other := range c.voters {
			if other.ackedSent >= p.ackedSent {
				count++
			}
		}
		if count >= c.quorum() {
			latest = max(latest, p.ackedSent)
		}
	}
	return latest
}

// leaseUntil returns the time before which no other member can become leader, or
// the zero time if there is no lease.
func (c *core) leaseUntil() time.Time {
	acked := c.quorumAckedSent()
	if c.role != leader || acked == 0 || c.transfer.leaseEnded {
		return time.Time{}
	}
	lease := c.electionTimeout * leaseNumerator / leaseDenominator
	return c.start.Add(time.Duration(acked) + lease)
}

func (c *core) confirmPendingReads() {
	if len(c.pendingReads) == 0 {
		return
	}
	acked := c.quorumAckedSent()
	remaining := c.pendingReads[:0]
	for _, read := range c.pendingReads {
		if acked >= read.minSent {
			c.readStates = append(c.readStates, readState{id: read.id, index: read.index})
			continue
		}
		remaining = append(remaining, read)
	}
	c.pendingReads = remaining
}

// failPendingReads fails the unconfirmed reads when this member steps down.
func (c *core) failPendingReads() {
	for _, read := range c.pendingReads {
		c.failedReads = append(c.failedReads, read.id)
	}
	c.pendingReads = nil
}
