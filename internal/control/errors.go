package control

import (
	"errors"
	"net/http"
	"strings"
	"sync"

	"github.com/danielgtaylor/huma/v2"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// apiError is the JSON body of a refused administration request: the fields
// of fault.Body, and the current version where the version is the reason.
type apiError struct {
	fault.Body
	CurrentVersion *uint64 `json:"current_version,omitempty" doc:"current catalog version, for version_conflict and invalid_change"`
}

// Error implements error.
func (e *apiError) Error() string { return string(e.Kind) + ": " + e.Message }

// GetStatus implements huma.StatusError.
func (e *apiError) GetStatus() int { return fault.AnswerOf(e.Kind).Status }

func newAPIError(e *fault.Error) *apiError {
	return &apiError{Body: fault.Body{
		Kind:         e.Kind,
		Effect:       e.Effect,
		Message:      e.Detail,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

func newVersionError(kind fault.Kind, detail string, current uint64) *apiError {
	e := newAPIError(fault.New(kind, detail))
	e.CurrentVersion = &current
	return e
}

var installErrorsOnce sync.Once

// installErrors makes huma report its own refusals with the closed list of
// kinds. huma keeps the constructor of errors in a package variable.
func installErrors() {
	installErrorsOnce.Do(func() {
		huma.NewError = func(status int, message string, errs ...error) huma.StatusError {
			if err := errors.Join(errs...); err != nil {
				message += ": " + strings.ReplaceAll(err.Error(), "\n", "; ")
			}
			return newAPIError(fault.New(kindOfStatus(status), message))
		}
	})
}

func kindOfStatus(status int) fault.Kind {
	switch {
	case status == http.StatusRequestEntityTooLarge:
		return fault.BodyTooLarge
	case status == http.StatusRequestTimeout:
		return fault.SlowSender
	case status == http.StatusNotFound:
		return fault.NotFound
	case status < http.StatusInternalServerError:
		return fault.BadRequest
	default:
		return fault.Internal
	}
}
