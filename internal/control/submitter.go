package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
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

// Submitter submits changes to the group and makes reads linearizable.
type Submitter struct {
	group   Group
	catalog Catalog
	clock   sys.Clock
	log     *zap.Logger
}

// NewSubmitter returns a Submitter for the member that group belongs to.
func NewSubmitter(group Group, catalog Catalog, clock sys.Clock, log *zap.Logger) *Submitter {
	return &Submitter{group: group, catalog: catalog, clock: clock, log: log}
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
			metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_control_changes_total{outcome=%q}", result.Outcome)).Inc()
			return result, nil
		}
		if !notProposed(err) {
			unknown = true
		}
		if errors.Is(err, consensus.ErrStopped) || s.clock.Sleep(ctx, retryPause) != nil {
			return plan.Result{}, submitFailure(unknown, ch.ID)
		}
	}
}

func submitFailure(unknown bool, id string) *fault.Error {
	metrics.GetOrCreateCounter(`sequoialane_control_changes_total{outcome="failed"}`).Inc()
	if unknown {
		detail := "change " + id + " may or may not be committed; send it again with the same id"
		return fault.New(fault.CommitUnknown, detail).WithRetryAfter(retryAfterHint)
	}
	return fault.New(fault.ControlUnavailable, "no leader of the control members can be reached").WithRetryAfter(retryAfterHint)
}

func (s *Submitter) attempt(ctx context.Context, ch plan.Change) (plan.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
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
	return errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrBusy) || errors.Is(err, consensus.ErrStopped)
}

// Barrier returns a copy of the catalog that holds every change accepted
// before the call.
func (s *Submitter) Barrier(ctx context.Context) (*plan.Snapshot, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		err := s.tryBarrier(ctx)
		if err == nil {
			return s.catalog.Current(), nil
		}
		if errors.Is(err, consensus.ErrStopped) || s.clock.Sleep(ctx, retryPause) != nil {
			detail := "no leader of the control members can be reached for a current read"
			return nil, fault.New(fault.ControlUnavailable, detail).WithRetryAfter(retryAfterHint)
		}
	}
}

func (s *Submitter) tryBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return s.group.ReadBarrier(ctx)
}
