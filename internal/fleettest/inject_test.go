package fleettest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/localfleet"
)

const (
	terminateTimeout = 20 * time.Second
	settleTimeout    = 40 * time.Second
	settlePoll       = 50 * time.Millisecond
	setModeAttempts  = 100
)

var errNotSettled = errors.New("the control members did not settle in time")

// injector injects the faults of a schedule.
type injector struct {
	fleet        *localfleet.Fleet
	start        time.Time
	processLocks sync.Map // *localfleet.Process to *sync.Mutex; a process has one fault at a time

	// A control member may lose its data only while the others are up and settled.
	// Erasing holds this lock for writing, other faults of control for reading.
	eraseLock sync.RWMutex

	mu       sync.Mutex
	errs     []error
	injected []string // faults with the time at which they began
}

// run injects the faults of each lane in its own goroutine. It starts none after
// lastFaultUntil.
func (i *injector) run(schedule [][]scheduledFault) {
	var wg sync.WaitGroup
	for _, faults := range schedule {
		wg.Go(func() {
			for _, f := range faults {
				time.Sleep(time.Until(i.start.Add(f.at)))
				if time.Since(i.start) > lastFaultUntil {
					return
				}
				i.addError(i.inject(f))
			}
		})
	}
	wg.Wait()
}

func (i *injector) addError(err error) {
	if err == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errs = append(i.errs, err)
}

// inject starts a fault and ends it after its length.
func (i *injector) inject(f scheduledFault) error {
	switch {
	case f.kind == faultErase:
		i.eraseLock.Lock()
		defer i.eraseLock.Unlock()
		return i.erase(f)
	case f.role == roleControl:
		i.eraseLock.RLock()
		defer i.eraseLock.RUnlock()
	}
	p := i.process(f)
	lock, _ := i.processLocks.LoadOrStore(p, &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	i.recordInjected(f)
	switch f.kind {
	case faultKill:
		p.Kill()
		time.Sleep(f.length)
		return p.Start()
	case faultFreeze:
		if err := p.Suspend(); err != nil {
			return err
		}
		time.Sleep(f.length)
		return p.Resume()
	case faultTerminate:
		if _, err := p.Terminate(terminateTimeout); err != nil {
			return err
		}
		time.Sleep(f.length)
		return p.Start()
	default:
		u := i.fleet.Upstreams[f.index]
		if err := setMode(i.fleet, u, f.mode); err != nil {
			return err
		}
		time.Sleep(f.length)
		return setMode(i.fleet, u, `{"mode":"normal"}`)
	}
}

// setMode sets the mode of an upstream. It tries again on errors, because the
// control port of an upstream that has just restarted may not be open yet.
func setMode(f *localfleet.Fleet, u *localfleet.Upstream, mode string) error {
	var err error
	for range setModeAttempts {
		if err = f.SetMode(u, mode); err == nil {
			return nil
		}
		time.Sleep(settlePoll)
	}
	return err
}

func (i *injector) recordInjected(f scheduledFault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.injected = append(i.injected, fmt.Sprintf("began %6dms, planned %s", time.Since(i.start).Milliseconds(), f))
}

func (i *injector) process(f scheduledFault) *localfleet.Process {
	switch f.role {
	case roleControl:
		return i.fleet.Controls[f.index].Process
	case roleEntry:
		return i.fleet.Entries[f.index].Process
	default:
		return i.fleet.Upstreams[f.index].Process
	}
}

// erase restarts a control member with an empty data folder and waits until it is
// a voter again.
func (i *injector) erase(f scheduledFault) error {
	c := i.fleet.Controls[f.index]
	before, err := waitSettled(i.fleet, c.Name, 0)
	if err != nil {
		return err
	}
	i.recordInjected(f)
	if err := c.KillAndEraseData(); err != nil {
		return err
	}
	time.Sleep(f.length)
	if err := c.Start(); err != nil {
		return err
	}
	_, err = waitSettled(i.fleet, c.Name, before)
	return err
}

// waitSettled waits until all control members are up and have caught up, and the
// named member is a voter with another incarnation than before. It returns that
// incarnation.
func waitSettled(f *localfleet.Fleet, name string, before uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if now, ok := settledIncarnation(f, name); ok && now != before {
			return now, nil
		}
		time.Sleep(settlePoll)
	}
	return 0, errNotSettled
}

// settledIncarnation returns the incarnation of the named control member, and
// whether all members are voters in contact that have caught up.
func settledIncarnation(f *localfleet.Fleet, name string) (uint64, bool) {
	var leader *controlapi.Status
	for _, c := range f.Controls {
		s, err := f.ControlStatus(c)
		if err != nil || !s.InContact {
			return 0, false
		}
		if s.Member == s.Leader {
			leader = &s
		}
	}
	if leader == nil || !leader.Settled {
		return 0, false
	}
	var incarnation uint64
	for _, m := range leader.Members {
		if m.Learner != 0 || m.Incarnation == 0 || m.Match < leader.CommitIndex {
			return 0, false
		}
		if m.Name == name {
			incarnation = m.Incarnation
		}
	}
	return incarnation, true
}
