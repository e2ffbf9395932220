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

// Time limits of submissions and reads.
const (
	submitTimeout  = 5 * time.Second
	readTimeout    = 5 * time.Second
	attemptTimeout = 2 * time.Second
	retryDelay     = 50 * time.Millisecond
	retryAfterHint = time.Second
)

// Submitter submits changes to the group and makes reads linearizable.
type Submitter struct {
	group   Group
	catalog Catalog
	clock   sys.Clock
	log     *zap.Logger
}

// NewSubmitter returns a Submitter that uses the group and the catalog of this
// member.
func NewSubmitter(group Group, catalog Catalog, clock sys.Clock, log *zap.Logger) *Submitter {
	return &Submitter{group: group, catalog: catalog, clock: clock, log: log}
}

// Submit returns the result of the change once it is committed. It retries until
// submitTimeout, which is safe because every retry returns the first result of
// the change id. It fails with CommitUnknown if an attempt may still be
// committed, and with ControlUnavailable if none was proposed.
func (s *Submitter) Submit(ctx context.Context, ch plan.Change) (plan.Result, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	maybeCommitted := false
	for {
		result, err := s.submitOnce(ctx, ch)
		if err == nil {
			metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_control_changes_total{outcome=%q}", result.Outcome)).Inc()
			return result, nil
		}
		if !notProposed(err) {
			maybeCommitted = true
		}
		if errors.Is(err, consensus.ErrStopped) || s.clock.Sleep(ctx, retryDelay) != nil {
			return plan.Result{}, submitFailure(maybeCommitted, ch.ID)
		}
	}
}

func submitFailure(maybeCommitted bool, id string) *fault.Error {
	metrics.GetOrCreateCounter(`sequoialane_control_changes_total{outcome="failed"}`).Inc()
	if maybeCommitted {
		detail := "change " + id + " may or may not be committed; send it again with the same id"
		return fault.New(fault.CommitUnknown, detail).WithRetryAfter(retryAfterHint)
	}
	return fault.New(fault.ControlUnavailable, "no leader of the control members can be reached").WithRetryAfter(retryAfterHint)
}

func (s *Submitter) submitOnce(ctx context.Context, ch plan.Change) (plan.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	encoded, err := s.group.Propose(ctx, ch.Encode())
	if err != nil {
		return plan.Result{}, err
	}
	var result plan.Result
	if err := json.Unmarshal(encoded, &result); err != nil {
		s.log.Error("result of a committed change cannot be decoded", zap.String("change", ch.ID), zap.Error(err))
		return plan.Result{}, consensus.ErrUnknownOutcome
	}
	return result, nil
}

// notProposed reports whether the error proves that nothing was proposed.
func notProposed(err error) bool {
	return errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrBusy) || errors.Is(err, consensus.ErrStopped)
}

// LinearizableSnapshot returns a catalog snapshot that holds every change
// accepted before the call.
func (s *Submitter) LinearizableSnapshot(ctx context.Context) (*plan.Snapshot, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		err := s.readBarrierOnce(ctx)
		if err == nil {
			return s.catalog.Current(), nil
		}
		if errors.Is(err, consensus.ErrStopped) || s.clock.Sleep(ctx, retryDelay) != nil {
			detail := "no leader of the control members can be reached for a current read"
			return nil, fault.New(fault.ControlUnavailable, detail).WithRetryAfter(retryAfterHint)
		}
	}
}

func (s *Submitter) readBarrierOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return s.group.ReadBarrier(ctx)
}
