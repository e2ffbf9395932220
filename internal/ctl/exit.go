// Package ctl implements the client side of the operator commands: it sends
// requests to control members and entries, builds changes, and prints results.
package ctl

import (
	"errors"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// Exit codes of the command.
const (
	ExitOK              = 0
	ExitFailure         = 1 // any other failure
	ExitUsage           = 2 // usage error or invalid file
	ExitVersionConflict = 3 // another change was accepted first; nothing was changed
	ExitInvalidChange   = 4 // the change violates a rule; nothing was changed
	ExitUnavailable     = 5 // no address responded, or no leader is known; nothing was changed
	ExitCommitUnknown   = 6 // the change may or may not be committed; resend it with the same id
	ExitNotFound        = 7
	ExitUnauthorized    = 8
)

// ErrUsage is wrapped by errors about command-line usage.
var ErrUsage = errors.New("usage error")

// ErrNotFound is wrapped by errors about a name that the fleet does not know.
var ErrNotFound = errors.New("not found")

// ErrUnreachable is returned if no address responded.
var ErrUnreachable = errors.New("no address answered")

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var apiErr *controlapi.Error
	var settingsErr *settings.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &apiErr):
		return exitCodeOf(apiErr.Kind)
	case errors.Is(err, ErrUsage), errors.As(err, &settingsErr):
		return ExitUsage
	case errors.Is(err, ErrNotFound):
		return ExitNotFound
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

func exitCodeOf(kind fault.Kind) int {
	switch kind {
	case fault.VersionConflict:
		return ExitVersionConflict
	case fault.InvalidChange, fault.BadRequest, fault.BodyTooLarge:
		return ExitInvalidChange
	case fault.ControlUnavailable:
		return ExitUnavailable
	case fault.CommitUnknown:
		return ExitCommitUnknown
	case fault.NotFound:
		return ExitNotFound
	case fault.Unauthorized:
		return ExitUnauthorized
	default:
		return ExitFailure
	}
}
