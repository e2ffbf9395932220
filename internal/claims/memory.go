package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Memory is a Client and Leases on one table in this process. It stands in for
// the claim groups in tests and in a fleet of one entry.
type Memory struct {
	table   *Table
	clock   sys.Clock
	start   time.Time
	offline atomic.Bool
	mu      sync.Mutex // keeps commands out while Fence replaces the state
}

var (
	_ Client = (*Memory)(nil)
	_ Leases = (*Memory)(nil)
)

// NewMemory returns an empty Memory. A process whose earlier run may have made
// claims must call Fence with the current time before it makes others.
func NewMemory(clock sys.Clock, limits Limits) *Memory {
	return &Memory{table: NewTable(limits), clock: clock, start: clock.Now()}
}

// SetOffline makes all calls fail, as if no member of the group answered.
func (m *Memory) SetOffline(offline bool) { m.offline.Store(offline) }

// Fence drops all claims, as a group does that formed anew.
func (m *Memory) Fence(fence time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.table.Restore(nil); err != nil {
		panic("claims: empty state refused: " + err.Error())
	}
	m.table.SetFence(fence)
}

func (m *Memory) stamp() stamp {
	now := m.clock.Now()
	return stamp{WallMS: now.UnixMilli(), MonoMS: now.Sub(m.start).Milliseconds(), Source: "memory"}
}

func (m *Memory) call(ctx context.Context, c command) (outcome, error) {
	if err := ctx.Err(); err != nil {
		return outcome{}, unavailable(err.Error())
	}
	if m.offline.Load() {
		return outcome{}, unavailable("claims are offline")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.At = m.stamp()
	return decodeOutcome(m.table.Apply(0, encode(c)))
}

// Claim implements Client.
func (m *Memory) Claim(ctx context.Context, r Request) (Result, error) {
	return m.result(ctx, r, opClaim)
}

// Complete implements Client.
func (m *Memory) Complete(ctx context.Context, r Request, a Answer) error {
	c, err := r.command(opComplete)
	if err != nil {
		return err
	}
	c.Answer = storeAnswer(a)
	return m.settle(ctx, c)
}

// Release implements Client.
func (m *Memory) Release(ctx context.Context, r Request) error {
	c, err := r.command(opRelease)
	if err != nil {
		return err
	}
	return m.settle(ctx, c)
}

// MarkUnknown implements Client.
func (m *Memory) MarkUnknown(ctx context.Context, r Request) error {
	c, err := r.command(opUnknown)
	if err != nil {
		return err
	}
	return m.settle(ctx, c)
}

func (m *Memory) settle(ctx context.Context, c command) error {
	o, err := m.call(ctx, c)
	if err != nil {
		return err
	}
	if !o.OK {
		return refusedBy(c, o)
	}
	return nil
}

// Wait implements Client.
func (m *Memory) Wait(ctx context.Context, r Request) (Result, error) {
	c, err := r.command(opClaim)
	if err != nil {
		return Result{}, err
	}
	for {
		changed, stop := m.table.watch(c.id())
		if m.offline.Load() {
			stop()
			return Result{}, unavailable("claims are offline")
		}
		c.At = m.stamp()
		o := m.table.lookup(c)
		if o.State != Running {
			stop()
			return o.result(), nil
		}
		select {
		case <-ctx.Done():
			stop()
			return o.result(), nil
		case <-changed:
		}
	}
}

func (m *Memory) result(ctx context.Context, r Request, what op) (Result, error) {
	c, err := r.command(what)
	if err != nil {
		return Result{}, err
	}
	o, err := m.call(ctx, c)
	if err != nil {
		return Result{}, err
	}
	return o.result(), nil
}

// Acquire implements Leases.
func (m *Memory) Acquire(ctx context.Context, region, name, holder string, ttl time.Duration) (time.Time, bool, error) {
	begin := m.clock.Now()
	c := command{Op: opLease, Lease: region + "/" + name, Holder: holder, TTLMS: ttl.Milliseconds()}
	o, err := m.call(ctx, c)
	if err != nil || !o.OK {
		return time.Time{}, false, err
	}
	return begin.Add(ttl), true, nil
}

func (r Request) command(what op) (command, error) {
	key, err := ParseKey(r.Key)
	if err != nil {
		return command{}, err
	}
	return command{
		Op:      what,
		Plan:    r.Plan,
		Key:     key.ID,
		Digest:  r.Digest,
		Attempt: r.Attempt,
		Holder:  r.Holder,
	}, nil
}

func (o outcome) result() Result {
	return Result{State: o.State, Holder: o.Holder, Answer: o.Answer.answer()}
}

func unavailable(detail string) *fault.Error {
	return fault.New(fault.ClaimsUnavailable, detail).WithRetryAfter(time.Second)
}
