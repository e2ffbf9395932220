package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	// barrierInterval is the least time between the starts of two read barriers. Each
	// of them is a call to the leader, which is mostly in another region.
	barrierInterval = time.Second
	// barrierRetryInterval is the same after a barrier that failed. It is shorter than
	// the hold of a poll, so that an entry that starts together with this member, or
	// waits for a new leader, gets its proof with its first poll.
	barrierRetryInterval = 250 * time.Millisecond
	// barrierTimeout is longer than a barrier takes: up to a heartbeat interval, and
	// about 120 ms for its messages at 30 ms one way between regions. It is short enough
	// for the next barrier to start on time.
	barrierTimeout = 700 * time.Millisecond
	// recentBarrier is the age up to which a confirmation is given to an entry that is
	// in a hurry. While barriers succeed none is older, since the next one ends within
	// 400 ms of its start.
	recentBarrier = barrierInterval + 400*time.Millisecond
)

// barrierKeeper runs read barriers while polls request a confirmation, and keeps when
// the last successful one started: everything committed before is in this member's
// state. Polls use the result and never wait for a barrier of their own, so that the
// number of barriers does not grow with the number of entries. It is safe for concurrent
// use.
type barrierKeeper struct {
	group Group
	state *fleetstate.StateMachine
	clock sys.Clock
	boot  sys.BootClock
	log   *zap.Logger

	mu           sync.Mutex
	waiting      int  // polls that request a confirmation
	running      bool // the goroutine that starts barriers runs
	started      bool // a barrier was started before
	lastStart    time.Duration
	confirmation confirmation
	failing      bool          // the last barrier failed
	confirmed    chan struct{} // closed when a barrier succeeds

	barriers, failures *metrics.Counter
}

// confirmation states that the state at index, or a later one, holds everything that
// was committed before a time of the boot clock.
type confirmation struct {
	at    time.Duration
	index uint64
	valid bool // false: no barrier has succeeded yet
}

func newBarrierKeeper(group Group, state *fleetstate.StateMachine, clock sys.Clock, boot sys.BootClock, log *zap.Logger) *barrierKeeper {
	return &barrierKeeper{
		group: group, state: state, clock: clock, boot: boot, log: log, confirmed: make(chan struct{}),
		barriers: metrics.GetOrCreateCounter("sequoialane_tenants_barriers_total"),
		failures: metrics.GetOrCreateCounter("sequoialane_tenants_barrier_failures_total"),
	}
}

// pollStarted makes barriers run until as many calls of pollEnded have followed.
func (k *barrierKeeper) pollStarted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting++
	if !k.running {
		k.running = true
		go k.run()
	}
}

func (k *barrierKeeper) pollEnded() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting--
}

// run starts barriers until no poll is waiting.
func (k *barrierKeeper) run() {
	for {
		wait, ok := k.nextStart()
		switch {
		case !ok:
			return
		case wait > 0:
			_ = k.clock.Sleep(context.Background(), wait)
		default:
			k.runBarrier()
		}
	}
}

// nextStart returns how long to wait before the next barrier, or false if no poll is
// waiting.
func (k *barrierKeeper) nextStart() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.waiting == 0:
		k.running = false
		return 0, false
	case !k.started:
		return 0, true
	default:
		interval := barrierInterval
		if k.failing {
			interval = barrierRetryInterval
		}
		return max(k.lastStart+interval-k.boot.SinceBoot(), 0), true
	}
}

// runBarrier runs one barrier.
func (k *barrierKeeper) runBarrier() {
	k.mu.Lock()
	start := k.boot.SinceBoot() // before the barrier, so that a pause during it makes it older
	k.started, k.lastStart = true, start
	barrier := k.group.ReadBarrierOnHeartbeat
	if k.failing || !k.confirmation.valid {
		barrier = k.group.ReadBarrier // entries wait for it, so it does not wait for a heartbeat
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	err := barrier(ctx)
	k.barriers.Inc()
	if err != nil {
		k.failures.Inc()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if failing := err != nil; failing != k.failing {
		k.failing = failing
		k.log.Info("confirmation of the state by a majority changed", zap.Bool("confirmed", !failing), zap.Error(err))
	}
	if err != nil {
		return
	}
	_, index := k.state.Changed()
	k.confirmation = confirmation{at: start, index: index, valid: true}
	close(k.confirmed)
	k.confirmed = make(chan struct{})
}

// last returns the newest confirmation. It must be called before the state is read to
// which it is to apply.
func (k *barrierKeeper) last() confirmation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmation
}

// age returns the age of the confirmation for a state that was read after last. It is
// NotConfirmed if there is no confirmation, or if the state is older than the confirmed
// one because the member has discarded its state since.
func (k *barrierKeeper) age(c confirmation, index uint64) time.Duration {
	if !c.valid || index < c.index {
		return NotConfirmed
	}
	return k.boot.SinceBoot() - c.at
}

// awaitRecent waits until there is a recent confirmation, for at most the given time.
func (k *barrierKeeper) awaitRecent(ctx context.Context, stopping <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		k.mu.Lock()
		recent := k.confirmation.valid && k.boot.SinceBoot()-k.confirmation.at <= recentBarrier
		confirmed := k.confirmed
		k.mu.Unlock()
		if recent {
			return
		}
		select {
		case <-confirmed:
		case <-timer.C:
			return
		case <-stopping:
			return
		case <-ctx.Done():
			return
		}
	}
}
