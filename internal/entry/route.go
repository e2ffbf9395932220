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

// ownersTried is how many entries by rank are asked to run a request. Both
// hold the target records of the service.
const ownersTried = 2

// route finds an answer to a request of a caller: from the owner of the
// service in this region, directly or through another entry, or else from the
// second-ranked entry.
func (e *Entry) route(ctx context.Context, q *request) (*Answer, *refusal) {
	ranked := e.ranker.Rank(q.service, e.self.Region)
	if len(ranked) == 0 {
		return nil, refuse(fault.New(fault.OwnerUnreachable, "no usable entry in this region").WithRetryAfter(time.Second))
	}
	candidates := e.order(ranked[:min(ownersTried, len(ranked))])
	sent := false
	var last *refusal
	for i, owner := range candidates {
		if i > 0 {
			secondRank.Inc()
		}
		answer, refused, failed := e.ask(ctx, owner, ranked, q)
		if failed == nil {
			if refused != nil && e.tryNext(refused, q) {
				last = refused
				continue
			}
			return answer, refused
		}
		sent = sent || failed.sent
		if refused := e.ended(ctx, q, failed); refused != nil {
			return nil, refused
		}
	}
	if last != nil && !sent {
		return nil, last
	}
	return nil, refuse(unreachable(sent))
}

// order puts an entry that did not answer lately behind the other one.
func (e *Entry) order(ranked []membership.Member) []membership.Member {
	now := e.clock.Now()
	avoided, preferred := lo.FilterReject(ranked, func(m membership.Member, _ int) bool {
		return m.Name != e.self.Name && e.peers.get(m.PeerAddress).avoided(now)
	})
	return append(preferred, avoided...)
}

// tryNext reports whether the next entry by rank may know better: the owner
// has no targets, for instance just after its start. No attempt was sent then.
func (e *Entry) tryNext(refused *refusal, q *request) bool {
	return refused.err.Kind == fault.NoUpstream && q.body.replayable()
}

// ask gets the answer of one owner, through another entry if need be.
func (e *Entry) ask(ctx context.Context, owner membership.Member, ranked []membership.Member, q *request) (*Answer, *refusal, *hopError) {
	if owner.Name == e.self.Name {
		answer, refused := e.runHere(ctx, q)
		return answer, refused, nil
	}
	answer, refused, failed := e.forward(ctx, owner, q, modeRun, "")
	if failed == nil {
		return answer, refused, nil
	}
	if !pathMayBeCut(failed) || !q.body.replayable() || ctx.Err() != nil {
		e.avoid(owner)
		return nil, nil, failed
	}
	relay, ok := e.relayFor(owner, ranked)
	if !ok {
		e.avoid(owner)
		return nil, nil, failed
	}
	relayed.Inc()
	answer, refused, again := e.forward(ctx, relay, q, modeRelay, owner.Name)
	if again == nil && (refused == nil || refused.err.Kind != fault.OwnerUnreachable) {
		return answer, refused, nil
	}
	e.avoid(owner)
	failed.sent = failed.sent || again != nil || refused.err.Effect != fault.NotRun
	return nil, nil, failed
}

func (e *Entry) avoid(m membership.Member) {
	e.peers.get(m.PeerAddress).avoidUntil(e.clock.Now().Add(avoidTime))
}

// pathMayBeCut reports whether the peer may be alive though this entry cannot
// reach it. A refused connection shows that its process is gone.
func pathMayBeCut(failed *hopError) bool {
	return !failed.reach && !errors.Is(failed.reason, syscall.ECONNREFUSED)
}

// relayFor chooses another entry of the region to pass a request through.
func (e *Entry) relayFor(owner membership.Member, ranked []membership.Member) (membership.Member, bool) {
	now := e.clock.Now()
	usable := lo.Filter(ranked, func(m membership.Member, _ int) bool {
		return m.Name != owner.Name && m.Name != e.self.Name && !e.peers.get(m.PeerAddress).avoided(now)
	})
	if len(usable) == 0 {
		return membership.Member{}, false
	}
	return usable[e.random(len(usable))], true
}

// ended returns the refusal if nothing more can be tried for the request.
func (e *Entry) ended(ctx context.Context, q *request, failed *hopError) *refusal {
	if broke := q.body.failed.Load(); broke != nil {
		return refuse(broke)
	}
	if !e.clock.Now().Before(q.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse(deadlineFault(failed.sent))
	}
	if ctx.Err() != nil || !q.body.replayable() {
		return refuse(unreachable(true))
	}
	return nil
}

func deadlineFault(sent bool) *fault.Error {
	err := fault.New(fault.DeadlineExceeded, "no answer before the deadline")
	if !sent {
		return err.WithEffect(fault.NotRun)
	}
	return err
}

func unreachable(sent bool) *fault.Error {
	err := fault.New(fault.OwnerUnreachable, "the entries that own the service did not answer").WithRetryAfter(time.Second)
	if sent {
		return err.WithEffect(fault.Unknown)
	}
	return err
}
