package consensus

import (
	"context"
	"errors"
	"fmt"
)

// readCall is a read barrier that is waiting in the loop of a Group.
type readCall struct {
	epoch       uint64 // epoch of the entry at index
	index       uint64 // entry to wait for; 0: obtain the read index first
	onHeartbeat bool   // confirm with the next regular heartbeat
	indexOnly   bool   // return the read index without waiting until it is applied
	done        chan readResult
}

type readResult struct {
	epoch uint64
	index uint64
	err   error
}

func (r *readCall) finish(err error) {
	r.done <- readResult{epoch: r.epoch, index: r.index, err: err}
}

// ReadBarrier returns once the local state machine has applied everything that
// was committed when it was called. It returns ErrNotLeader if no leader
// confirms this, ErrStopped, or the error of ctx.
func (g *Group) ReadBarrier(ctx context.Context) error { return g.readBarrier(ctx, false) }

// ReadBarrierOnHeartbeat is like ReadBarrier, but the leader confirms it with its next
// regular heartbeat instead of one of its own. It takes up to HeartbeatInterval longer
// and saves a message to each member and its response.
func (g *Group) ReadBarrierOnHeartbeat(ctx context.Context) error { return g.readBarrier(ctx, true) }

func (g *Group) readBarrier(ctx context.Context, onHeartbeat bool) error {
	for range maxLeaderAttempts {
		err := g.readBarrierOnce(ctx, onHeartbeat)
		if !errors.Is(err, errNotLeading) {
			return err
		}
	}
	return ErrNotLeader
}

func (g *Group) readBarrierOnce(ctx context.Context, onHeartbeat bool) error {
	if g.isStopped() {
		return ErrStopped
	}
	status := g.status.Load()
	if status.Leader == (MemberID{}) {
		return ErrNotLeader
	}
	if status.Leader == status.Self {
		_, err := g.submitRead(ctx, &readCall{onHeartbeat: onHeartbeat})
		return err
	}
	response, err := g.transport.requestReadIndex(ctx, status.Leader.Slot, onHeartbeat)
	if err != nil {
		return err
	}
	_, err = g.submitRead(ctx, &readCall{epoch: response.Epoch, index: response.Index})
	return err
}

func (g *Group) submitRead(ctx context.Context, r *readCall) (readResult, error) {
	r.done = make(chan readResult, 1)
	select {
	case g.reads <- r:
	case <-g.done:
		return readResult{}, ErrStopped
	case <-ctx.Done():
		return readResult{}, ctx.Err()
	}
	select {
	case result := <-r.done:
		return result, result.err
	case <-g.done:
		return readResult{}, ErrStopped
	case <-ctx.Done():
		return readResult{}, fmt.Errorf("consensus: read barrier: %w", ctx.Err())
	}
}

func (g *Group) handleRead(r *readCall) {
	if r.index != 0 {
		g.confirmedReads = append(g.confirmedReads, r)
		return
	}
	g.lastReadID++
	read := g.core.readIndex
	if r.onHeartbeat {
		read = g.core.readIndexOnHeartbeat
	}
	if !read(g.lastReadID, g.config.LeaseReads) {
		r.finish(errNotLeading)
		return
	}
	r.epoch = g.core.epoch
	g.unconfirmedReads[g.lastReadID] = r
}

func (g *Group) handleConfirmedReads(done ready) {
	for _, id := range done.failedReads {
		if r := g.unconfirmedReads[id]; r != nil {
			r.finish(errNotLeading)
			delete(g.unconfirmedReads, id)
		}
	}
	for _, state := range done.readStates {
		r := g.unconfirmedReads[state.id]
		if r == nil {
			continue
		}
		delete(g.unconfirmedReads, state.id)
		r.index = state.index
		if r.indexOnly {
			r.finish(nil)
			continue
		}
		g.confirmedReads = append(g.confirmedReads, r)
	}
}

// finishAppliedReads completes the confirmed reads whose entries are applied.
func (g *Group) finishAppliedReads() {
	remaining := g.confirmedReads[:0]
	for _, r := range g.confirmedReads {
		switch {
		case r.epoch != g.core.epoch:
			r.finish(errNotLeading)
		case r.index <= g.core.log.applied:
			r.finish(nil)
		default:
			remaining = append(remaining, r)
		}
	}
	clear(g.confirmedReads[len(remaining):])
	g.confirmedReads = remaining
}
