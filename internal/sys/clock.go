// Package sys defines the clock interface of the program, so that any part can
// run on a clock other than that of the operating system.
package sys

import (
	"context"
	"time"
)

// Clock returns the time and schedules wake-ups. Times returned by Now carry a
// monotonic reading on the real clock, so differences between them are not
// affected by adjustments of the wall clock.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once after d.
	After(d time.Duration) <-chan time.Time
	// NewTicker returns a ticker that delivers the time every d until stopped.
	NewTicker(d time.Duration) Ticker
	// Sleep waits for d. If ctx ends first, it returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// Ticker delivers the time at regular intervals until it is stopped.
type Ticker interface {
	C() <-chan time.Time
	Stop()
}

// RealClock is the clock of the operating system.
type RealClock struct{}

var _ Clock = RealClock{}

// Now returns the current time with a monotonic reading.
func (RealClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once after d.
func (RealClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// NewTicker returns a time.Ticker.
func (RealClock) NewTicker(d time.Duration) Ticker { return realTicker{time.NewTicker(d)} }

// Sleep waits for d. If ctx ends first, it returns the error of ctx.
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
