package sys

import (
	"context"
	"sync"
	"time"
)

// ManualClock is a clock that moves only when Advance is called. It is safe
// for concurrent use.
type ManualClock struct {
	mu      sync.Mutex
	now     time.Time
	waiters []*waiter
}

var _ Clock = (*ManualClock)(nil)

// waiter is a pending wake-up of After or a ticker.
type waiter struct {
	due     time.Time
	period  time.Duration // 0 for a single wake-up
	c       chan time.Time
	stopped bool
}

// NewManualClock returns a clock whose current time is start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start}
}

// Now returns the current time of the clock.
func (m *ManualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once the clock has been advanced
// by d.
func (m *ManualClock) After(d time.Duration) <-chan time.Time {
	return m.addWaiter(d, 0).c
}

// NewTicker returns a ticker that delivers the time for each d that the clock is
// advanced. Ticks are dropped for a slow receiver, as with time.Ticker.
func (m *ManualClock) NewTicker(d time.Duration) Ticker {
	return &manualTicker{clock: m, w: m.addWaiter(d, d)}
}

// Sleep waits until the clock has been advanced by d. If ctx ends first, it
// returns the error of ctx.
func (m *ManualClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-m.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Advance moves the clock forward by d and delivers all wake-ups that become due,
// in order of their due time.
func (m *ManualClock) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(d)
	for {
		next := m.nextDue(end)
		if next == nil {
			break
		}
		m.now = next.due
		m.deliver(next)
	}
	m.now = end
}

func (m *ManualClock) addWaiter(d, period time.Duration) *waiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &waiter{due: m.now.Add(d), period: period, c: make(chan time.Time, 1)}
	if d <= 0 && period == 0 {
		w.c <- m.now
		return w
	}
	m.waiters = append(m.waiters, w)
	return w
}

func (m *ManualClock) nextDue(end time.Time) *waiter {
	var next *waiter
	for _, w := range m.waiters {
		if w.stopped || w.due.After(end) {
			continue
		}
		if next == nil || w.due.Before(next.due) {
			next = w
		}
	}
	return next
}

func (m *ManualClock) deliver(w *waiter) {
	select {
	case w.c <- m.now:
	default:
	}
	if w.period > 0 {
		w.due = w.due.Add(w.period)
		return
	}
	m.remove(w)
}

func (m *ManualClock) remove(w *waiter) {
	w.stopped = true
	for i, other := range m.waiters {
		if other == w {
			m.waiters = append(m.waiters[:i], m.waiters[i+1:]...)
			return
		}
	}
}

type manualTicker struct {
	clock *ManualClock
	w     *waiter
}

func (t *manualTicker) C() <-chan time.Time { return t.w.c }

func (t *manualTicker) Stop() {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.clock.remove(t.w)
}
