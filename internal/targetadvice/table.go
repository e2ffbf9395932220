// Package targetadvice remembers what targets have asked of this process in their
// responses: that they are leaving, or that they want no request for some time. It
// holds for one incarnation of a target, whatever the process learns from others.
package targetadvice

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// leavingMemory is how long it is remembered that an incarnation is leaving once the
// fleet state does not list it. A late announcement may list it again: control
// forgets old incarnations when there are many.
const leavingMemory = 15 * time.Minute

// incarnation identifies one start of a target.
type incarnation struct {
	id          string
	startedAtMS int64
}

// Table holds the advice of targets. It is safe for concurrent use; a nil Table
// holds none.
type Table struct {
	clock sys.Clock
	log   *zap.Logger

	mu        sync.Mutex
	leaving   map[incarnation]time.Time // when it was last known to be listed
	postponed map[incarnation]time.Time // until when the target wants no request

	leavingCount, postponedCount, malformedCount *metrics.Counter
}

// New returns a table without advice.
func New(clock sys.Clock, log *zap.Logger) *Table {
	return &Table{
		clock: clock, log: log, leaving: map[incarnation]time.Time{}, postponed: map[incarnation]time.Time{},
		leavingCount:   metrics.GetOrCreateCounter("sequoialane_target_advice_leaving_total"),
		postponedCount: metrics.GetOrCreateCounter("sequoialane_target_advice_retry_after_total"),
		malformedCount: metrics.GetOrCreateCounter("sequoialane_target_advice_malformed_total"),
	}
}

// Record remembers an advice of a target.
func (t *Table) Record(from targetconn.Target, a targetconn.Advice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnation{from.ID, from.StartedAtMS}
	if a.Malformed != "" {
		t.malformedCount.Inc()
		t.log.Warn("target sent a Retry-After that is malformed or out of range",
			zap.String("target", from.ID), zap.String("value", a.Malformed), zap.Duration("used", a.RetryAfter))
	}
	if _, known := t.leaving[key]; a.Leaving && !known {
		t.leaving[key] = t.clock.Now()
		t.leavingCount.Inc()
		t.log.Info("target is leaving by its response", zap.String("target", from.ID), zap.Int64("born", from.StartedAtMS))
	}
	if until := t.clock.Now().Add(a.RetryAfter); a.RetryAfter > 0 && until.After(t.postponed[key]) {
		t.postponed[key] = until
		t.postponedCount.Inc()
		t.log.Info("target wants no request for some time",
			zap.String("target", from.ID), zap.Int64("born", from.StartedAtMS), zap.Duration("for", a.RetryAfter))
	}
}

// IsEmpty reports whether no target has asked for anything.
func (t *Table) IsEmpty() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.leaving)+len(t.postponed) == 0
}

// IsLeaving reports whether the target has said that it is leaving.
func (t *Table) IsLeaving(target fleetstate.Target) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.leaving[incarnation{target.ID, target.StartedAtMS}]
	return leaving
}

// PostponedFor returns for how long the target wants no request; 0: it takes them.
func (t *Table) PostponedFor(target fleetstate.Target) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.postponed[incarnation{target.ID, target.StartedAtMS}].Sub(t.clock.Now()), 0)
}

// Allows reports whether the target may get a request from this process now.
func (t *Table) Allows(target fleetstate.Target) bool {
	return !t.IsLeaving(target) && t.PostponedFor(target) == 0
}

// Retain forgets the advice of incarnations that are not in the records, those that
// are leaving after leavingMemory, and what has ended by time.
func (t *Table) Retain(records []fleetstate.Target) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[incarnation]bool, len(records))
	for _, r := range records {
		listed[incarnation{r.ID, r.StartedAtMS}] = true
	}
	now := t.clock.Now()
	for key, lastListed := range t.leaving {
		switch {
		case listed[key]:
			t.leaving[key] = now
		case now.Sub(lastListed) > leavingMemory:
			delete(t.leaving, key)
		}
	}
	for key, until := range t.postponed {
		if !listed[key] || !now.Before(until) {
			delete(t.postponed, key)
		}
	}
}
