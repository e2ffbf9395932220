package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
)

// maxOwnersTried is how many entries, in rank order, a request is sent to.
// These entries hold the target records of the service.
const maxOwnersTried = 2

// route sends a request of a caller to the owner of the service in this region,
// directly or relayed by another entry. If that fails, it tries the
// second-ranked entry.
func (e *Entry) route(ctx context.Context, q *request) (*Response, *errorResponse) {
	ranked := e.ranker.Rank(q.service, e.self.Region)
	if len(ranked) == 0 {
		return nil, newErrorResponse(fault.New(fault.OwnerUnreachable, "no usable entry in this region").WithRetryAfter(time.Second))
	}
	candidates := e.avoidedLast(ranked[:min(maxOwnersTried, len(ranked))])
	sent := false
	var last *errorResponse
	for i, owner := range candidates {
		if i > 0 {
			secondRankRequests.Inc()
		}
		resp, errResp, peerErr := e.sendToOwner(ctx, owner, ranked, q)
		if peerErr == nil {
			if errResp != nil && e.shouldTryNextOwner(errResp, q) {
				last = errResp
				continue
			}
			return resp, errResp
		}
		sent = sent || peerErr.sent
		if errResp := e.terminalError(ctx, q, peerErr); errResp != nil {
			return nil, errResp
		}
	}
	if last != nil && !sent {
		return nil, last
	}
	return nil, newErrorResponse(ownerUnreachable(sent))
}

// avoidedLast moves entries that did not respond lately behind the others.
func (e *Entry) avoidedLast(ranked []membership.Member) []membership.Member {
	now := e.clock.Now()
	avoided, preferred := lo.FilterReject(ranked, func(m membership.Member, _ int) bool {
		return m.Name != e.self.Name && e.peers.get(m.PeerAddress).avoided(now)
	})
	return append(preferred, avoided...)
}

// shouldTryNextOwner reports whether to send the request to the next entry by
// rank: the owner knows no targets, for instance because it has just started, and
// so has not sent the request to an upstream.
func (e *Entry) shouldTryNextOwner(errResp *errorResponse, q *request) bool {
	return errResp.err.Kind == fault.NoUpstream && q.body.replayable()
}

// sendToOwner sends the request to an owner, and through a relay if the owner
// cannot be reached directly.
func (e *Entry) sendToOwner(ctx context.Context, owner membership.Member, ranked []membership.Member, q *request) (*Response, *errorResponse, *peerError) {
	if owner.Name == e.self.Name {
		resp, errResp := e.runLocal(ctx, q)
		return resp, errResp, nil
	}
	resp, errResp, peerErr := e.forward(ctx, owner, q, modeRun, "")
	if peerErr == nil {
		return resp, errResp, nil
	}
	if peerErr.callerLeft {
		return nil, nil, peerErr
	}
	if !peerMayBeAlive(peerErr) || !q.body.replayable() || ctx.Err() != nil {
		e.markAvoided(owner)
		return nil, nil, peerErr
	}
	relay, ok := e.chooseRelay(owner, ranked)
	if !ok {
		e.markAvoided(owner)
		return nil, nil, peerErr
	}
	relayedRequests.Inc()
	resp, errResp, relayErr := e.forward(ctx, relay, q, modeRelay, owner.Name)
	if relayErr == nil && (errResp == nil || errResp.err.Kind != fault.OwnerUnreachable) {
		return resp, errResp, nil
	}
	e.markAvoided(owner)
	peerErr.sent = peerErr.sent || relayErr != nil || errResp.err.Effect != fault.NotRun
	return nil, nil, peerErr
}

func (e *Entry) markAvoided(m membership.Member) {
	e.peers.get(m.PeerAddress).avoidUntil(e.clock.Now().Add(avoidDuration))
}

// peerMayBeAlive reports whether the peer may be running though this entry cannot
// connect to it. A refused connection shows that its process is gone.
func peerMayBeAlive(peerErr *peerError) bool {
	return !peerErr.connected && !errors.Is(peerErr.cause, syscall.ECONNREFUSED)
}

// chooseRelay picks a random entry of the region to relay a request to the owner.
func (e *Entry) chooseRelay(owner membership.Member, ranked []membership.Member) (membership.Member, bool) {
	now := e.clock.Now()
	usable := lo.Filter(ranked, func(m membership.Member, _ int) bool {
		return m.Name != owner.Name && m.Name != e.self.Name && !e.peers.get(m.PeerAddress).avoided(now)
	})
	if len(usable) == 0 {
		return membership.Member{}, false
	}
	return usable[e.randomIndex(len(usable))], true
}

// terminalError returns the error to respond with if the request cannot be
// retried, or nil if it can.
func (e *Entry) terminalError(ctx context.Context, q *request, peerErr *peerError) *errorResponse {
	if readErr := q.body.streamError(ctx); readErr != nil {
		return newErrorResponse(readErr)
	}
	if !e.clock.Now().Before(q.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return newErrorResponse(deadlineError(peerErr.sent))
	}
	if ctx.Err() != nil || !q.body.replayable() {
		return newErrorResponse(ownerUnreachable(true))
	}
	return nil
}

func deadlineError(sent bool) *fault.Error {
	err := fault.New(fault.DeadlineExceeded, "no answer before the deadline")
	if !sent {
		return err.WithEffect(fault.NotRun)
	}
	return err
}

func ownerUnreachable(sent bool) *fault.Error {
	err := fault.New(fault.OwnerUnreachable, "the entries that own the service did not answer").WithRetryAfter(time.Second)
	if sent {
		return err.WithEffect(fault.Unknown)
	}
	return err
}
