package control

import (
	"errors"
	"net/http"
	"strings"
	"sync"

	"github.com/danielgtaylor/huma/v2"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
)

func newVersionError(kind fault.Kind, detail string, current uint64) *controlapi.Error {
	e := controlapi.NewError(fault.New(kind, detail))
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
			return controlapi.NewError(fault.New(kindOfStatus(status), message))
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
