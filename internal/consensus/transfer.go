package consensus

import (
	"context"
	"errors"
	"time"
)

// ErrNotTransferred is returned if no other member became leader in time.
var ErrNotTransferred = errors.New("consensus: leadership was not transferred in time")

// transferState is the state of a leadership transfer started by this member.
type transferState struct {
	deadline time.Time // zero: no transfer
	target   MemberID  // voter that was told to campaign; zero: none yet
	// leaseEnded is set before the first msgTransfer and stays set for the rest
	// of the term, because that message may arrive at any later time.
	leaseEnded bool
}

// startTransfer starts a leadership transfer. It reports false if this member is
// not the leader or is the only voter. Proposals are rejected until the transfer
// ends, so that a voter can catch up with the whole log.
func (c *core) startTransfer() bool {
	if c.role != leader || len(c.voters) == 0 {
		return false
	}
	if c.transfer.deadline.IsZero() {
		c.transfer.deadline = c.now.Add(c.electionTimeout)
	}
	c.sendTransfer()
	return true
}

func (c *core) isTransferring() bool { return !c.transfer.deadline.IsZero() }

// tickTransfer ends a transfer that has reached its deadline or that was
// completed by another leader.
func (c *core) tickTransfer() {
	if !c.isTransferring() {
		return
	}
	completed := c.role != leader && c.leader != (MemberID{})
	if completed || !c.now.Before(c.transfer.deadline) {
		c.transfer.deadline = time.Time{}
		c.transfer.target = MemberID{}
	}
}

// sendTransfer tells one voter to campaign. Each call sends the message again,
// because it may be lost, but to the same voter: a second target could split
// the votes.
func (c *core) sendTransfer() {
	if c.role != leader || !c.isTransferring() {
		return
	}
	if c.transfer.target == (MemberID{}) {
		c.transfer.target = c.transferTarget()
	}
	if c.transfer.target == (MemberID{}) {
		return
	}
	c.transfer.leaseEnded = true
	c.send(message{Type: msgTransfer, To: c.transfer.target, Term: c.term})
}

// transferTarget returns the voter with the most recent response among those
// that hold the whole log and know the last membership change. It returns zero
// if there is none.
func (c *core) transferTarget() MemberID {
	var best *progress
	for _, slot := range c.progressSlots() {
		p := c.voters[slot]
		if p == nil || c.isLeaving(p.id) || p.ackedSent == 0 || p.match < c.log.lastIndex() || p.commit < c.configIndex {
			continue
		}
		if best == nil || p.lastContact.After(best.lastContact) {
			best = p
		}
	}
	if best == nil {
		return MemberID{}
	}
	return best.id
}

// stepTransfer campaigns without a pre-vote and without waiting for the election
// timeout. This is safe because the leader has given up its lease.
func (c *core) stepTransfer(m message) {
	if c.isVoter() && c.role != leader && c.votingConfig().contains(m.From) {
		c.requestVotes(candidate, true)
	}
}

// TransferLeadership transfers leadership to an up-to-date voter and returns
// once a new leader is known. Call it before Stop, so that a restart does not
// cost an election timeout. It does nothing if this member is not the leader or
// is the only voter. It returns ErrNotTransferred after an election timeout;
// this member may then still be the leader.
func (g *Group) TransferLeadership(ctx context.Context) error {
	return g.callLoop(ctx, g.transfers)
}

// callLoop passes a call to the loop by one of its queues and waits for the result.
func (g *Group) callLoop(ctx context.Context, queue chan<- chan error) error {
	done := make(chan error, 1)
	select {
	case queue <- done:
	case <-g.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-g.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Group) handleTransfer(done chan error) {
	if !g.core.startTransfer() {
		done <- nil
		return
	}
	g.pendingTransfers = append(g.pendingTransfers, done)
}

func (g *Group) finishTransfers() {
	g.core.tickTransfer()
	if len(g.pendingTransfers) == 0 || g.core.isTransferring() {
		return
	}
	var err error
	if g.core.role == leader || g.core.leader == (MemberID{}) {
		err = ErrNotTransferred
	}
	for _, done := range g.pendingTransfers {
		done <- err
	}
	g.pendingTransfers = nil
}
