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
	terminateLimit = 20 * time.Second
	settleLimit    = 40 * time.Second
	settlePoll     = 50 * time.Millisecond
	modeTries      = 100
)

var errNotSettled = errors.New("the control members are not settled")

// injector carries out a schedule.
type injector struct {
	fleet *localfleet.Fleet
	begin time.Time
	locks sync.Map // *localfleet.Process to *sync.Mutex: one fault at a time

	// A member may lose its data only while the others are up and settled:
	// erasing holds this lock, other faults of control share it.
	controls sync.RWMutex

	mu      sync.Mutex
	errs    []error
	carried []string // faults with the time at which they began
}

func (i *injector) run(list [][]scheduled) {
	var wg sync.WaitGroup
	for _, faults := range list {
		wg.Go(func() {
			for _, f := range faults {
				time.Sleep(time.Until(i.begin.Add(f.at)))
				if time.Since(i.begin) > lastFault {
					return
				}
				i.note(i.inject(f))
			}
		})
	}
	wg.Wait()
}

func (i *injector) note(err error) {
	if err == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errs = append(i.errs, err)
}

func (i *injector) inject(f scheduled) error {
	switch {
	case f.kind == faultErase:
		i.controls.Lock()
		defer i.controls.Unlock()
		return i.erase(f)
	case f.part == partControl:
		i.controls.RLock()
		defer i.controls.RUnlock()
	}
	p := i.process(f)
	lock, _ := i.locks.LoadOrStore(p, &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	i.record(f)
	switch f.kind {
	case faultKill:
		p.Kill()
		time.Sleep(f.length)
		return p.Start()
	case faultFreeze:
		if err := p.Freeze(); err != nil {
			return err
		}
		time.Sleep(f.length)
		return p.Thaw()
	case faultTerminate:
		if _, err := p.Terminate(terminateLimit); err != nil {
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

// setMode repeats the switch while the control port of an upstream that has
// just restarted is not open yet.
func setMode(f *localfleet.Fleet, u *localfleet.Upstream, mode string) error {
	var err error
	for range modeTries {
		if err = f.SetMode(u, mode); err == nil {
			return nil
		}
		time.Sleep(settlePoll)
	}
	return err
}

func (i *injector) record(f scheduled) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.carried = append(i.carried, fmt.Sprintf("began %6dms, planned %s", time.Since(i.begin).Milliseconds(), f))
}

func (i *injector) process(f scheduled) *localfleet.Process {
	switch f.part {
	case partControl:
		return i.fleet.Controls[f.index].Process
	case partEntry:
		return i.fleet.Entries[f.index].Process
	default:
		return i.fleet.Upstreams[f.index].Process
	}
}

// erase restarts a control member with an empty data folder and waits until
// it votes again.
func (i *injector) erase(f scheduled) error {
	c := i.fleet.Controls[f.index]
	before, err := waitSettled(i.fleet, c.Name, 0)
	if err != nil {
		return err
	}
	i.record(f)
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

// waitSettled waits until all control members are up and caught up, and the
// named one votes with another incarnation than before. It returns that
// incarnation.
func waitSettled(f *localfleet.Fleet, name string, before uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	for ctx.Err() == nil {
		if now, ok := settledIncarnation(f, name); ok && now != before {
			return now, nil
		}
		time.Sleep(settlePoll)
	}
	return 0, errNotSettled
}

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
