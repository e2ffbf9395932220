package control

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

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
			if len(errs) > 0 {
				message += ": " + describe(errs)
			}
			return controlapi.NewError(fault.New(kindForStatus(status), message))
		}
	})
}

const (
	maxReportedErrors = 8   // of one request
	maxErrorBytes     = 256 // of the text of each error
)

// describe joins the first errors of a request. A request may have one for each of its
// values, and their text may contain them.
func describe(errs []error) string {
	texts := lo.Map(lo.Slice(errs, 0, maxReportedErrors), func(err error, _ int) string { return truncated(textOf(err)) })
	if more := len(errs) - len(texts); more > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(texts, "; ")
}

// textOf returns the text of an error, without the value if that is an object or a
// list, which may be the whole request.
func textOf(err error) string {
	detail, ok := err.(*huma.ErrorDetail)
	if !ok {
		return strings.ReplaceAll(err.Error(), "\n", "; ")
	}
	switch value := detail.Value.(type) {
	case map[string]any, []any:
		return fmt.Sprintf("%s (%s)", detail.Message, detail.Location)
	case string:
		return fmt.Sprintf("%s (%s: %s)", detail.Message, detail.Location, truncated(value))
	default:
		return detail.Error()
	}
}

func truncated(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
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
