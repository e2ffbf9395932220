package consensus

import (
	"context"
	"errors"
	"time"
)

// ErrNotTransferred says that no other member took over the lead in time.
var ErrNotTransferred = errors.New("consensus: the leadership was not transferred")

// transferState is a leadership transfer that this member has started.
type transferState struct {
	until  time.Time // zero: none
	target MemberID  // voter that was told to campaign; zero: none yet
	// leaseEnded is set before the first msgTransfer and kept for the rest of
	// the term, because that message may arrive at any later time.
	leaseEnded bool
}

// startTransfer begins to hand over the lead. It reports false if this member
// does not lead or is the only voter. Proposals are refused until the transfer
// ends, so that a voter can hold the whole log.
func (c *core) startTransfer() bool {
	if c.role != leader || len(c.peers) == 0 {
		return false
	}
	if c.transfer.until.IsZero() {
		c.transfer.until = c.now.Add(c.electionTimeout)
	}
	c.sendTransfer()
	return true
}

func (c *core) transferring() bool { return !c.transfer.until.IsZero() }

// tickTransfer ends a transfer whose time is over or that another leader has
// completed.
func (c *core) tickTransfer() {
	if !c.transferring() {
		return
	}
	taken := c.role != leader && c.leader != (MemberID{})
	if taken || !c.now.Before(c.transfer.until) {
		c.transfer.until = time.Time{}
		c.transfer.target = MemberID{}
	}
}

// sendTransfer tells one voter to campaign, again with each call because the
// message may be lost. A second target could split the votes.
func (c *core) sendTransfer() {
	if c.role != leader || !c.transferring() {
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

// transferTarget returns the voter with the whole log, and the last change of
// the configuration, that has answered last.
func (c *core) transferTarget() MemberID {
	var best *progress
	for _, slot := range c.progressSlots() {
		p := c.peers[slot]
		if p == nil || p.echo == 0 || p.match < c.log.lastIndex() || p.commit < c.configIndex {
			continue
		}
		if best == nil || p.contact.After(best.contact) {
			best = p
		}
	}
	if best == nil {
		return MemberID{}
	}
	return best.id
}

// stepTransfer campaigns without a pre-vote and without waiting for the
// election timeout, since the leader has given up its lease.
func (c *core) stepTransfer(m message) {
	if c.voter() && c.role != leader && c.voting().names(m.From) {
		c.requestVotes(candidate, true)
	}
}

// TransferLeadership hands the lead to the most up-to-date voter, and returns
// once a new leader is known. It is called before Stop, so that a restart costs
// no election timeout. It does nothing if this member does not lead or is the
// only voter. It returns ErrNotTransferred after an election timeout; this
// member may then still lead.
func (g *Group) TransferLeadership(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case g.transfers <- done:
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

func (g *Group) takeTransfer(done chan error) {
	if !g.core.startTransfer() {
		done <- nil
		return
	}
	g.openTransfers = append(g.openTransfers, done)
}

func (g *Group) finishTransfers() {
	g.core.tickTransfer()
	if len(g.openTransfers) == 0 || g.core.transferring() {
		return
	}
	var err error
	if g.core.role == leader || g.core.leader == (MemberID{}) {
		err = ErrNotTransferred
	}
	for _, done := range g.openTransfers {
		done <- err
	}
	g.openTransfers = nil
}
