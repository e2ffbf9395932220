package consensus

import (
	"context"
	"errors"
	"fmt"
)

type read struct {
	epoch uint64 // with index: wait for this entry of the epoch
	index uint64 // 0: ask for the read point first
	point bool   // return the read point without waiting for it
	done  chan readResult
}

type readResult struct {
	epoch uint64
	index uint64
	err   error
}

func (r *read) finish(err error) {
	r.done <- readResult{epoch: r.epoch, index: r.index, err: err}
}

// ReadBarrier returns once the local state machine has applied everything that
// was committed when it was called. It returns ErrNotLeader if no leader
// confirms this, ErrStopped, or the error of ctx.
func (g *Group) ReadBarrier(ctx context.Context) error {
	for range maxForwards {
		err := g.barrierOnce(ctx)
		if !errors.Is(err, errOtherLeader) {
			return err
		}
	}
	return ErrNotLeader
}

func (g *Group) barrierOnce(ctx context.Context) error {
	if g.isStopped() {
		return ErrStopped
	}
	status := g.status.Load()
	if status.Leader == (MemberID{}) {
		return ErrNotLeader
	}
	if status.Leader == status.Self {
		_, err := g.readHere(ctx, &read{})
		return err
	}
	point, err := g.transport.askReadPoint(ctx, status.Leader.Slot)
	if err != nil {
		return err
	}
	_, err = g.readHere(ctx, &read{epoch: point.Epoch, index: point.Index})
	return err
}

func (g *Group) readHere(ctx context.Context, r *read) (readResult, error) {
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

func (g *Group) takeRead(r *read) {
	if r.index != 0 {
		g.laterReads = append(g.laterReads, r)
		return
	}
	g.nextRead++
	if !g.core.readIndex(g.nextRead, g.config.LeaseReads) {
		r.finish(errOtherLeader)
		return
	}
	r.epoch = g.core.epoch
	g.openReads[g.nextRead] = r
}

func (g *Group) confirmReads(done ready) {
	for _, id := range done.lostReads {
		if r := g.openReads[id]; r != nil {
			r.finish(errOtherLeader)
			delete(g.openReads, id)
		}
	}
	for _, state := range done.readsDone {
		r := g.openReads[state.id]
		if r == nil {
			continue
		}
		delete(g.openReads, state.id)
		r.index = state.index
		if r.point {
			r.finish(nil)
			continue
		}
		g.laterReads = append(g.laterReads, r)
	}
}

// finishReads answers the reads whose entries are applied.
func (g *Group) finishReads() {
	waiting := g.laterReads[:0]
	for _, r := range g.laterReads {
		switch {
		case r.epoch != g.core.epoch:
			r.finish(errOtherLeader)
		case r.index <= g.core.log.applied:
			r.finish(nil)
		default:
			waiting = append(waiting, r)
		}
	}
	clear(g.laterReads[len(waiting):])
	g.laterReads = waiting
}
