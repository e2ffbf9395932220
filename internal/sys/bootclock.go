package sys

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock measures how long ago something happened, also while the machine was
// suspended, which the monotonic reading of time.Time leaves out. It bears no relation
// to the clocks of other machines.
type BootClock interface {
	// SinceBoot returns the time since the machine started.
	SinceBoot() time.Duration
}

// RealBootClock is CLOCK_BOOTTIME of the operating system.
type RealBootClock struct{}

var _ BootClock = RealBootClock{}

// SinceBoot implements BootClock. It panics if the operating system has no such clock,
// which every Linux since version 2.6.39 has.
func (RealBootClock) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("sys: no boot-time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// ManualBootClock is a BootClock that moves only when Advance is called. It is safe for
// concurrent use.
type ManualBootClock struct {
	mu  sync.Mutex
	now time.Duration
}

var _ BootClock = (*ManualBootClock)(nil)

// NewManualBootClock returns a clock whose current time is start.
func NewManualBootClock(start time.Duration) *ManualBootClock { return &ManualBootClock{now: start} }

// SinceBoot implements BootClock.
func (m *ManualBootClock) SinceBoot() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *ManualBootClock) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
}
