package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// maxLeaderAttempts limits the attempts of one call when the leader changes.
const maxLeaderAttempts = 3

// proposal is a command that is waiting for its result.
type proposal struct {
	command    []byte
	forwarded  bool
	leadership leadership // if forwarded: propose only under this leadership
	leaderSent int64      // if forwarded: reject if older than forwardRetention
	term       uint64
	done       chan proposalResult

	epoch, index uint64 // of its entry; set before the result is sent
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

// errNotLeading is returned by a member that is not the leader. The call had no
// effect.
var errNotLeading = errors.New("consensus: another member leads")

// Propose commits a command and returns the result of the state machine. A
// follower forwards the command to the leader, and returns once its own state
// machine has applied it, so that its caller reads what it wrote. A follower that
// lags returns after ElectionTimeout all the same. The error is ErrNotLeader,
// ErrBusy, ErrGroupTooSmall or ErrStopped if the command was not and will not be
// committed, and ErrUnknownOutcome otherwise.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	for range maxLeaderAttempts {
		result, err := g.proposeOnce(ctx, command)
		if !errors.Is(err, errNotLeading) {
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
		return g.submitProposal(ctx, newProposal(command))
	}
	response, err := g.transport.forward(ctx, status.Leader.Slot, proposeRequest{
		Group:      g.config.Group,
		Command:    command,
		Leadership: leadership{Epoch: status.Epoch, Term: status.Term},
		ID:         uuid.New(),
		LeaderSent: status.lastLeaderSent,
	})
	if err == nil && response.Index != 0 {
		g.awaitApplied(ctx, response.Epoch, response.Index)
	}
	return response.Result, err
}

// awaitApplied waits until the state machine of this member has applied the entry,
// for at most ElectionTimeout.
func (g *Group) awaitApplied(ctx context.Context, epoch, index uint64) {
	ctx, cancel := context.WithTimeout(ctx, g.config.ElectionTimeout)
	defer cancel()
	if _, err := g.submitRead(ctx, &readCall{epoch: epoch, index: index}); err != nil {
		g.config.Logger.Warn("command committed, but not applied by this member yet", zap.Uint64("index", index), zap.Error(err))
	}
}

// submitProposal passes a proposal to the loop and waits for its result. It
// returns errNotLeading if this member is not the leader.
func (g *Group) submitProposal(ctx context.Context, p *proposal) ([]byte, error) {
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
		return nil, ErrStopped // the loop ended before it received the proposal
	}
}

func (g *Group) handleProposal(p *proposal) {
	if len(g.pendingProposals) >= maxPendingProposals {
		p.finish(nil, ErrBusy)
		return
	}
	if p.forwarded && !g.core.acceptsForwarded(p.leadership, p.leaderSent) {
		p.finish(nil, errNotLeading)
		return
	}
	index, term, ok := g.core.propose(p.command)
	if !ok {
		p.finish(nil, lo.Ternary(g.core.role == leader && g.core.awaitsMembers(), ErrGroupTooSmall, errNotLeading))
		return
	}
	g.counters.proposals.Inc()
	p.term = term
	p.epoch, p.index = g.core.epoch, index
	if old := g.pendingProposals[index]; old != nil {
		// The entry of the old proposal was removed from this log, but other
		// members may still hold it.
		old.finish(nil, ErrUnknownOutcome)
	}
	g.pendingProposals[index] = p
}

func (g *Group) failPendingProposals(err error) {
	for index, p := range g.pendingProposals {
		p.finish(nil, err)
		delete(g.pendingProposals, index)
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

// acceptsForwarded reports whether a forwarded proposal is for the current
// leadership and not older than forwardRetention.
func (c *core) acceptsForwarded(forwardedFor leadership, leaderSent int64) bool {
	age := c.now.Sub(c.start.Add(time.Duration(leaderSent)))
	return forwardedFor == leadership{Epoch: c.epoch, Term: c.term} && age < forwardRetention
}
