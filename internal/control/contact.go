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
	// contactWindow is how long a confirmation counts from its request on.
	contactWindow = 1500 * time.Millisecond
)

// ContactMonitor knows whether this member is in contact with a leader. It
// asks for a read barrier at intervals: a barrier is confirmed by a majority
// and returns after this member has caught up, so a member that is cut off,
// lags, or was paused is not taken for a current one. The role that the group
// reports would be out of date after a pause.
type ContactMonitor struct {
	group     Group
	clock     sys.Clock
	mu        sync.Mutex
	confirmed time.Time // when the last confirmed barrier was requested
}

// NewContactMonitor returns a monitor that is out of contact until Run has
// confirmed it.
func NewContactMonitor(group Group, clock sys.Clock) *ContactMonitor {
	return &ContactMonitor{group: group, clock: clock}
}

// Run asks for barriers until ctx ends.
func (m *ContactMonitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.confirm(ctx)
		_ = m.clock.Sleep(ctx, contactInterval)
	}
}

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

// InContact reports whether a barrier requested lately was confirmed.
func (m *ContactMonitor) InContact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.confirmed.IsZero() && m.clock.Now().Sub(m.confirmed) < contactWindow
}
