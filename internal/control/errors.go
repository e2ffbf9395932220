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

var installErrorConstructorOnce sync.Once

// installErrorConstructor makes huma report its own errors with the kinds of
// package fault. huma keeps its error constructor in a package variable.
func installErrorConstructor() {
	installErrorConstructorOnce.Do(func() {
		huma.NewError = func(status int, message string, errs ...error) huma.StatusError {
			if err := errors.Join(errs...); err != nil {
				message += ": " + strings.ReplaceAll(err.Error(), "\n", "; ")
			}
			return controlapi.NewError(fault.New(kindForStatus(status), message))
		}
	})
}

func kindForStatus(status int) fault.Kind {
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
