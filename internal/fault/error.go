package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error is an error with a kind of the closed list.
type Error struct {
	Kind       Kind
	Effect     Effect
	Detail     string        // one line for the reader of the answer
	RetryAfter time.Duration // 0: no hint
}

// New returns an error with the effect that the table names for its kind.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Effect: AnswerOf(kind).Effect, Detail: detail}
}

// Newf is New with a formatted detail.
func Newf(kind Kind, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...))
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Effect, e.Detail)
}

// WithEffect returns a copy with another effect.
func (e *Error) WithEffect(effect Effect) *Error {
	c := *e
	c.Effect = effect
	return &c
}

// WithRetryAfter returns a copy with a hint when a retry may succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error inside err, unwrapping what trace.Wrap added. Any
// other error becomes one of kind Internal, whose effect is unknown.
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
