package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// maxForwards bounds the changes of leader that one call follows.
const maxForwards = 3

type proposal struct {
	command   []byte
	forwarded bool
	lead      lead  // if forwarded: propose in this lead only
	stamp     int64 // if forwarded: refuse if older than forwardRetention
	term      uint64
	done      chan proposalResult
}

func newProposal(command []byte) *proposal {
	return &proposal{command: command, done: make(chan proposalResult, 1)}
}

type proposalResult struct {
	result []byte
	err    error
}

func (p *proposal) finish(result []byte, err error) {
	p.done <- proposalResult{result: result, err: err}
}

// errOtherLeader says that the member asked does not lead; nothing was done.
var errOtherLeader = errors.New("consensus: another member leads")

// Propose commits a command and returns what the state machine returned for it.
// On a follower it is forwarded to the leader. The error is ErrNotLeader,
// ErrBusy or ErrStopped if the command was not and will not be committed, and
// ErrUnknownOutcome otherwise.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	for range maxForwards {
		result, err := g.proposeOnce(ctx, command)
		if !errors.Is(err, errOtherLeader) {
			return result, err
		}
	}
	return nil, ErrNotLeader
}

func (g *Group) proposeOnce(ctx context.Context, command []byte) ([]byte, error) {
	if g.isStopped() {
		return nil, ErrStopped
	}
	status := g.status.Load()
	switch {
	case status.Leader == MemberID{}:
		return nil, ErrNotLeader
	case status.Leader == status.Self:
		return g.submit(ctx, newProposal(command))
	}
	return g.transport.forward(ctx, status.Leader.Slot, proposeRequest{
		Group:   g.config.Group,
		Command: command,
		Lead:    lead{Epoch: status.Epoch, Term: status.Term},
		ID:      uuid.New(),
		Stamp:   status.leaderStamp,
	})
}

// submit hands a proposal to the loop and waits for its result. It returns
// errOtherLeader if this member does not lead.
func (g *Group) submit(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case g.proposals <- p:
	case <-g.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
	case <-g.done:
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	default:
		return nil, ErrStopped // the loop ended before it took the proposal
	}
}

func (g *Group) takeProposal(p *proposal) {
	if len(g.waiting) >= maxWaiting {
		p.finish(nil, ErrBusy)
		return
	}
	if p.forwarded && !g.core.accepts(p.lead, p.stamp) {
		p.finish(nil, errOtherLeader)
		return
	}
	index, term, ok := g.core.propose(p.command)
	if !ok {
		p.finish(nil, errOtherLeader)
		return
	}
	p.term = term
	if old := g.waiting[index]; old != nil {
		// The index was free again, so the entry of the old proposal is gone
		// from this log, but other members may still hold it.
		old.finish(nil, ErrUnknownOutcome)
	}
	g.waiting[index] = p
}

func (g *Group) failWaiting(err error) {
	for index, p := range g.waiting {
		p.finish(nil, err)
		delete(g.waiting, index)
	}
}

func (g *Group) isStopped() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// accepts reports whether a forwarded proposal was made for the current lead
// and not too long ago.
func (c *core) accepts(l lead, stamp int64) bool {
	age := c.now.Sub(c.start.Add(time.Duration(stamp)))
	return l == lead{Epoch: c.epoch, Term: c.term} && age < forwardRetention
}
