package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Timing of a submission.
const (
	submitTimeout  = 5 * time.Second
	readTimeout    = 5 * time.Second
	attemptTimeout = 2 * time.Second
	retryPause     = 50 * time.Millisecond
	retryAfterHint = time.Second
)

// Submitter sends changes and read barriers to the leader of the group,
// wherever it is.
type Submitter struct {
	group   Group
	catalog Catalog
	leader  *leaderClient
	clock   sys.Clock
	log     *zap.Logger
}

// NewSubmitter returns a Submitter for the member that group belongs to.
func NewSubmitter(group Group, catalog Catalog, peers Peers, clock sys.Clock, log *zap.Logger) *Submitter {
	return &Submitter{group: group, catalog: catalog, leader: newLeaderClient(peers), clock: clock, log: log}
}

// Submit returns the result of the change once it is committed. Attempts are
// repeated until the time limit: the change id makes that safe, because the
// first result of an id is returned for each repetition. It fails with
// CommitUnknown if an attempt may still be committed, and with
// ControlUnavailable if none was proposed.
func (s *Submitter) Submit(ctx context.Context, ch plan.Change) (plan.Result, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	unknown := false
	for {
		result, err := s.attempt(ctx, ch)
		if err == nil {
			return result, nil
		}
		if !notProposed(err) {
			unknown = true
		}
		if s.clock.Sleep(ctx, retryPause) != nil {
			return plan.Result{}, submitFailure(unknown, ch.ID)
		}
	}
}

func submitFailure(unknown bool, id string) *fault.Error {
	if unknown {
		detail := "change " + id + " may or may not be committed; send it again with the same id"
		return fault.New(fault.CommitUnknown, detail).WithRetryAfter(retryAfterHint)
	}
	return fault.New(fault.ControlUnavailable, "no leader of the control members can be reached").WithRetryAfter(retryAfterHint)
}

// attempt proposes the change at this member, or at the leader it knows.
func (s *Submitter) attempt(ctx context.Context, ch plan.Change) (plan.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := s.ProposeHere(ctx, ch)
	if !errors.Is(err, consensus.ErrNotLeader) {
		return result, err
	}
	return s.leader.propose(ctx, s.group.Status(), ch)
}

// ProposeHere proposes the change if this member is the leader.
func (s *Submitter) ProposeHere(ctx context.Context, ch plan.Change) (plan.Result, error) {
	encoded, err := s.group.Propose(ctx, ch.Encode())
	if err != nil {
		return plan.Result{}, err
	}
	var result plan.Result
	if err := json.Unmarshal(encoded, &result); err != nil {
		s.log.Error("result of a committed change cannot be read", zap.String("change", ch.ID), zap.Error(err))
		return plan.Result{}, consensus.ErrUnknownOutcome
	}
	return result, nil
}

// notProposed reports whether the error proves that nothing was proposed.
func notProposed(err error) bool {
	return errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, errNoLeader)
}

// Barrier returns a copy of the catalog that holds every change accepted
// before the call.
func (s *Submitter) Barrier(ctx context.Context) (*plan.Snapshot, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		snapshot, err := s.tryBarrier(ctx)
		if err == nil {
			return snapshot, nil
		}
		if s.clock.Sleep(ctx, retryPause) != nil {
			detail := "no leader of the control members can be reached for a current read"
			return nil, fault.New(fault.ControlUnavailable, detail).WithRetryAfter(retryAfterHint)
		}
	}
}

func (s *Submitter) tryBarrier(ctx context.Context) (*plan.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	snapshot, err := s.BarrierHere(ctx)
	if !errors.Is(err, consensus.ErrNotLeader) {
		return snapshot, err
	}
	version, err := s.leader.readPoint(ctx, s.group.Status())
	if err != nil {
		return nil, err
	}
	return s.waitFor(ctx, version)
}

// BarrierHere is Barrier if this member is the leader.
func (s *Submitter) BarrierHere(ctx context.Context) (*plan.Snapshot, error) {
	if err := s.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return s.catalog.Current(), nil
}

// waitFor returns the local copy once it has reached the version.
func (s *Submitter) waitFor(ctx context.Context, version uint64) (*plan.Snapshot, error) {
	for {
		changed := s.catalog.Changed()
		current := s.catalog.Current()
		if current.Version() >= version {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
