// Package sys holds the small interfaces through which the rest of the
// program reaches the clock and random numbers, so that any part can run under
// a driver other than the operating system.
package sys

import (
	"context"
	"time"
)

// Clock tells the time and schedules wake-ups. Times returned by Now carry a
// monotonic reading on the real clock, so differences between them are not
// affected by adjustments of the wall clock.
type Clock interface {
	Now() time.Time
	// After delivers the time once after d has elapsed.
	After(d time.Duration) <-chan time.Time
	// NewTicker delivers the time every d until stopped.
	NewTicker(d time.Duration) Ticker
	// Sleep waits for d or until ctx ends, and returns the error of ctx then.
	Sleep(ctx context.Context, d time.Duration) error
}

// Ticker delivers ticks of a clock until it is stopped.
type Ticker interface {
	C() <-chan time.Time
	Stop()
}

// RealClock is the clock of the operating system.
type RealClock struct{}

var _ Clock = RealClock{}

// Now returns the current time with a monotonic reading.
func (RealClock) Now() time.Time { return time.Now() }

// After delivers the time once after d.
func (RealClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// NewTicker returns a ticker of the operating system.
func (RealClock) NewTicker(d time.Duration) Ticker { return realTicker{time.NewTicker(d)} }

// Sleep waits for d or until ctx ends.
func (RealClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type realTicker struct{ t *time.Ticker }

func (r realTicker) C() <-chan time.Time { return r.t.C }
func (r realTicker) Stop()               { r.t.Stop() }
