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
	proposeTimeout    = 3 * time.Second
	proposeRetryDelay = 60 * time.Millisecond // delay before a failed proposal is retried
	batchDelay        = 4 * time.Millisecond  // wait for further submissions after the first one of a batch
	maxBatchSize      = 256                   // submissions in one command
	maxOpenBatches    = 4                     // commands proposed concurrently
	batchQueueSize    = 4096                  // submissions that wait for a batch
)

// ErrUnavailable is returned if the change was not committed in time. It may
// still be committed later.
var ErrUnavailable = errors.New("fleetcontrol: no majority of the control members took the change in time")

// proposer is the part of a consensus group that commits commands.
type proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// propose retries the proposal until the command is committed or ctx is done.
// That is safe because commands are idempotent.
func propose(ctx context.Context, group proposer, clock sys.Clock, c fleetstate.Command) (fleetstate.Result, error) {
	encoded := c.Encode()
	for {
		raw, err := group.Propose(ctx, encoded)
		if err == nil {
			return fleetstate.DecodeResult(raw)
		}
		if errors.Is(err, consensus.ErrStopped) || clock.Sleep(ctx, proposeRetryDelay) != nil {
			return fleetstate.Result{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

// batcher joins changes that arrive within batchDelay into one command, so that
// they share one log entry and one disk sync on each member.
type batcher struct {
	group       proposer
	clock       sys.Clock
	queue       chan submission
	openBatches chan struct{}
}

type submission struct {
	command fleetstate.Command
	done    chan submissionResult
}

type submissionResult struct {
	result fleetstate.Result
	err    error
}

func newBatcher(group proposer, clock sys.Clock) *batcher {
	return &batcher{
		group: group, clock: clock,
		queue:       make(chan submission, batchQueueSize),
		openBatches: make(chan struct{}, maxOpenBatches),
	}
}

// submit queues the change and waits until it is committed or ctx is done.
func (b *batcher) submit(ctx context.Context, c fleetstate.Command) (fleetstate.Result, error) {
	s := submission{command: c, done: make(chan submissionResult, 1)}
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

// run proposes batches of submitted changes until ctx is done.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			batch := b.collect(ctx, first)
			b.openBatches <- struct{}{}
			go func() {
				defer func() { <-b.openBatches }()
				b.propose(ctx, batch)
			}()
		}
	}
}

// collect returns a batch that starts with the first submission.
func (b *batcher) collect(ctx context.Context, first submission) []submission {
	batch := []submission{first}
	_ = b.clock.Sleep(ctx, batchDelay)
	for len(batch) < maxBatchSize {
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
		s.done <- submissionResult{result: result, err: err}
	}
}
