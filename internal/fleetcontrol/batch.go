package fleetcontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	proposeTimeout = 3 * time.Second
	proposePause   = 60 * time.Millisecond // between two tries while no leader takes the command
	batchDelay     = 4 * time.Millisecond
	batchLimit     = 256 // submissions in one command
	batchesOpen    = 4   // commands proposed at the same time
	batchQueue     = 4096
)

// ErrUnavailable says that no majority took the change in time. It may still
// come into force.
var ErrUnavailable = errors.New("fleetcontrol: no majority of the control members took the change in time")

// proposer is the part of a consensus group that takes commands.
type proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// propose tries until the command is committed or ctx ends. All commands of the
// state may be repeated: a second one changes nothing.
func propose(ctx context.Context, group proposer, clock sys.Clock, c fleetstate.Command) (fleetstate.Result, error) {
	encoded := c.Encode()
	for {
		raw, err := group.Propose(ctx, encoded)
		if err == nil {
			return fleetstate.DecodeResult(raw)
		}
		if errors.Is(err, consensus.ErrStopped) || clock.Sleep(ctx, proposePause) != nil {
			return fleetstate.Result{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

// batcher joins changes that arrive together into one command, so that they
// share a sync of the disks.
type batcher struct {
	group proposer
	clock sys.Clock
	queue chan submission
	slots chan struct{}
}

type submission struct {
	command fleetstate.Command
	done    chan submitted
}

type submitted struct {
	result fleetstate.Result
	err    error
}

func newBatcher(group proposer, clock sys.Clock) *batcher {
	return &batcher{
		group: group, clock: clock,
		queue: make(chan submission, batchQueue),
		slots: make(chan struct{}, batchesOpen),
	}
}

// submit waits until the change is committed or ctx ends.
func (b *batcher) submit(ctx context.Context, c fleetstate.Command) (fleetstate.Result, error) {
	s := submission{command: c, done: make(chan submitted, 1)}
	select {
	case b.queue <- s:
	case <-ctx.Done():
		return fleetstate.Result{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	select {
	case r := <-s.done:
		return r.result, r.err
	case <-ctx.Done():
		return fleetstate.Result{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// run proposes what is submitted until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			batch := b.collect(ctx, first)
			b.slots <- struct{}{}
			go func() {
				defer func() { <-b.slots }()
				b.propose(ctx, batch)
			}()
		}
	}
}

func (b *batcher) collect(ctx context.Context, first submission) []submission {
	batch := []submission{first}
	_ = b.clock.Sleep(ctx, batchDelay)
	for len(batch) < batchLimit {
		select {
		case s := <-b.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

func (b *batcher) propose(ctx context.Context, batch []submission) {
	var joined fleetstate.Command
	for _, s := range batch {
		joined.Targets = append(joined.Targets, s.command.Targets...)
		joined.Entries = append(joined.Entries, s.command.Entries...)
		joined.Members = append(joined.Members, s.command.Members...)
		joined.RemovedMembers = append(joined.RemovedMembers, s.command.RemovedMembers...)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := propose(ctx, b.group, b.clock, joined)
	for _, s := range batch {
		s.done <- submitted{result: result, err: err}
	}
}
