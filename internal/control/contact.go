package control

import (
	"context"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	contactInterval = 400 * time.Millisecond
	contactTimeout  = time.Second
	// contactWindow is how long a confirmed read barrier counts as contact, from
	// the time of its request.
	contactWindow = 1500 * time.Millisecond
)

// ContactMonitor tracks whether this member is in contact with a leader. It
// requests a read barrier at intervals: a barrier is confirmed by a majority
// and returns after this member has caught up, so a member that is partitioned,
// lags, or was paused does not count as current. The role that the group
// reports may be out of date after a pause.
type ContactMonitor struct {
	group     Group
	clock     sys.Clock
	mu        sync.Mutex
	confirmed time.Time // when the last confirmed barrier was requested
}

// NewContactMonitor returns a monitor that reports no contact until Run has
// confirmed a read barrier.
func NewContactMonitor(group Group, clock sys.Clock) *ContactMonitor {
	return &ContactMonitor{group: group, clock: clock}
}

// Run requests read barriers until ctx ends.
func (m *ContactMonitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.confirm(ctx)
		_ = m.clock.Sleep(ctx, contactInterval)
	}
}

// confirm requests a read barrier and records the request time if it succeeds.
func (m *ContactMonitor) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	requested := m.clock.Now()
	if m.group.ReadBarrier(ctx) != nil {
		return
	}
	m.mu.Lock()
	m.confirmed = requested
	m.mu.Unlock()
}

// InContact reports whether a barrier requested within contactWindow was
// confirmed.
func (m *ContactMonitor) InContact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.confirmed.IsZero() && m.clock.Now().Sub(m.confirmed) < contactWindow
}
