package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const (
	submitRounds = 3 // each round tries all addresses
	roundDelay   = 500 * time.Millisecond
)

// NewChangeID returns a new id for a change.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// Submit sends the change until an address returns a final result. Each resend
// carries the same id, so the change takes effect at most once and the result of
// a lost response is returned again. The error is a *controlapi.Error of kind
// CommitUnknown if the change may have taken effect, and wraps ErrUnreachable if
// it has not.
func (c *Client) Submit(ctx context.Context, ch plan.Change) (plan.Result, error) {
	encoded := ch.Encode()
	unknown := false
	failures := []error{ErrUnreachable}
	for round := range submitRounds {
		if round > 0 && c.Clock.Sleep(ctx, roundDelay) != nil {
			break
		}
		for _, address := range c.Addresses {
			var result plan.Result
			err := c.call(ctx, http.MethodPost, address, "/v1/changes", encoded, &result)
			if err == nil || isFinal(err) {
				return result, err
			}
			unknown = unknown || mayHaveTakenEffect(err)
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
		}
	}
	if unknown {
		detail := fmt.Sprintf("change %s with base version %d may or may not be in force; send it again with --change-id %s --base-version %d", ch.ID, ch.BaseVersion, ch.ID, ch.BaseVersion)
		return plan.Result{}, controlapi.NewError(fault.New(fault.CommitUnknown, detail))
	}
	return plan.Result{}, errors.Join(failures...)
}

// mayHaveTakenEffect reports whether the change may have taken effect despite the
// error. It has not if no connection was opened, or if the response says that
// the change was not run.
func mayHaveTakenEffect(err error) bool {
	var apiErr *controlapi.Error
	if errors.As(err, &apiErr) {
		return apiErr.Effect != fault.NotRun
	}
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}
