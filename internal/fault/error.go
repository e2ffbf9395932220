package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error is an error with one of the kinds of this package.
type Error struct {
	Kind       Kind
	Effect     Effect
	Detail     string        // one line of text for the reader of the response
	RetryAfter time.Duration // 0: no hint
}

// New returns an error with the default effect of its kind.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Effect: ResponseOf(kind).Effect, Detail: detail}
}

// Newf is like New with a formatted detail.
func Newf(kind Kind, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...))
}

// Error returns the kind, the effect and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Effect, e.Detail)
}

// WithEffect returns a copy with the given effect.
func (e *Error) WithEffect(effect Effect) *Error {
	c := *e
	c.Effect = effect
	return &c
}

// WithRetryAfter returns a copy with the time after which a retry may succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error that err wraps, also through trace.Wrap. Any other error
// is converted to kind Internal, whose effect is unknown. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.As(trace.Unwrap(err), &e) {
		return e
	}
	return New(Internal, err.Error())
}
