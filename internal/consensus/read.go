package consensus

import "time"

// leaseNumerator and leaseDenominator make the lease shorter than the time for
// which followers refuse votes, so that clock rates may differ by 10%.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

type pendingRead struct {
	id    uint64
	index uint64
	sent  int64 // heartbeats sent at or after this confirm the read
}

// readState is a read that may be served once Index is applied.
type readState struct {
	id    uint64
	index uint64
}

// readIndex asks for a linearizable read point. It reports false if this member
// does not lead or has not yet committed an entry of its term. With allowLease
// a valid lease answers the read without contact to other members.
func (c *core) readIndex(id uint64, allowLease bool) bool {
	if c.role != leader || !c.log.matches(c.log.commit, c.term) {
		return false
	}
	if allowLease && c.now.Before(c.leaseUntil()) || c.quorum() == 1 {
		c.readsDone = append(c.readsDone, readState{id: id, index: c.log.commit})
		return true
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.log.commit, sent: c.lastSent + 1})
	c.heartbeatDue = c.now
	return true
}

// quorumEcho returns the latest send time that a majority has answered; 0 if
// there is none in this term.
func (c *core) quorumEcho() int64 {
	best := int64(0)
	for _, p := range c.peers {
		count := 1
		for _, other := range c.peers {
			if other.echo >= p.echo {
				count++
			}
		}
		if count >= c.quorum() {
			best = max(best, p.echo)
		}
	}
	return best
}

// leaseUntil returns the time before which no other member can lead, or the
// zero time.
func (c *core) leaseUntil() time.Time {
	echo := c.quorumEcho()
	if c.role != leader || echo == 0 || c.transfer.leaseEnded {
		return time.Time{}
	}
	lease := c.electionTimeout * leaseNumerator / leaseDenominator
	return c.start.Add(time.Duration(echo) + lease)
}

func (c *core) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	echo := c.quorumEcho()
	waiting := c.reads[:0]
	for _, read := range c.reads {
		if echo >= read.sent {
			c.readsDone = append(c.readsDone, readState{id: read.id, index: read.index})
			continue
		}
		waiting = append(waiting, read)
	}
	c.reads = waiting
}

// dropReads fails the reads that a former leader has not confirmed.
func (c *core) dropReads() {
	for _, read := range c.reads {
		c.lostReads = append(c.lostReads, read.id)
	}
	c.reads = nil
}
