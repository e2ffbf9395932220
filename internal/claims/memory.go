package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// MemoryClient implements Client and Leases on a table in this process. It
// replaces the claim groups in tests and in a fleet with one entry.
type MemoryClient struct {
	table   *Table
	clock   sys.Clock
	start   time.Time
	offline atomic.Bool
	mu      sync.Mutex // no command is applied while ResetWithFence replaces the state
}

var (
	_ Client = (*MemoryClient)(nil)
	_ Leases = (*MemoryClient)(nil)
)

// NewMemoryClient returns a MemoryClient without claims. If an earlier run of
// the process may have made claims, ResetWithFence must be called with the
// current time before any claim is made.
func NewMemoryClient(clock sys.Clock, limits Limits) *MemoryClient {
	return &MemoryClient{table: NewTable(limits), clock: clock, start: clock.Now()}
}

// SetOffline sets whether all calls fail, as if no member of the group responded.
func (m *MemoryClient) SetOffline(offline bool) { m.offline.Store(offline) }

// ResetWithFence drops all claims and sets the fence, like a group that has
// re-formed without its state.
func (m *MemoryClient) ResetWithFence(fence time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.table.Restore(nil); err != nil {
		panic("claims: cannot reset the table: " + err.Error())
	}
	m.table.SetFence(fence)
}

func (m *MemoryClient) timestamp() timestamp {
	now := m.clock.Now()
	return timestamp{WallMS: now.UnixMilli(), MonoMS: now.Sub(m.start).Milliseconds(), ClockSource: "memory"}
}

func (m *MemoryClient) call(ctx context.Context, c command) (outcome, error) {
	if err := ctx.Err(); err != nil {
		return outcome{}, unavailable(err.Error())
	}
	if m.offline.Load() {
		return outcome{}, unavailable("claims are offline")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.At = m.timestamp()
	return decodeOutcome(m.table.Apply(0, encode(c)))
}

// Claim implements Client.
func (m *MemoryClient) Claim(ctx context.Context, r Request) (Result, error) {
	return m.result(ctx, r, opClaim)
}

// Complete implements Client.
func (m *MemoryClient) Complete(ctx context.Context, r Request, a Answer) error {
	c, err := r.command(opComplete)
	if err != nil {
		return err
	}
	c.Answer = newStoredAnswer(a)
	return m.finishAttempt(ctx, c)
}

// Release implements Client.
func (m *MemoryClient) Release(ctx context.Context, r Request) error {
	c, err := r.command(opRelease)
	if err != nil {
		return err
	}
	return m.finishAttempt(ctx, c)
}

// MarkUnknown implements Client.
func (m *MemoryClient) MarkUnknown(ctx context.Context, r Request) error {
	c, err := r.command(opMarkUnknown)
	if err != nil {
		return err
	}
	return m.finishAttempt(ctx, c)
}

func (m *MemoryClient) finishAttempt(ctx context.Context, c command) error {
	o, err := m.call(ctx, c)
	if err != nil {
		return err
	}
	if !o.OK {
		return notHolderError(c, o)
	}
	return nil
}

// Wait implements Client.
func (m *MemoryClient) Wait(ctx context.Context, r Request) (Result, error) {
	c, err := r.command(opClaim)
	if err != nil {
		return Result{}, err
	}
	for {
		changed, stop := m.table.watch(c.claimID())
		if m.offline.Load() {
			stop()
			return Result{}, unavailable("claims are offline")
		}
		c.At = m.timestamp()
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

func (m *MemoryClient) result(ctx context.Context, r Request, kind op) (Result, error) {
	c, err := r.command(kind)
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
func (m *MemoryClient) Acquire(ctx context.Context, region, name, holder string, ttl time.Duration) (time.Time, bool, error) {
	begin := m.clock.Now()
	c := command{Op: opLease, Lease: region + "/" + name, Holder: holder, TTLMS: ttl.Milliseconds()}
	o, err := m.call(ctx, c)
	if err != nil || !o.OK {
		return time.Time{}, false, err
	}
	return begin.Add(ttl), true, nil
}

func (r Request) command(kind op) (command, error) {
	key, err := ParseKey(r.Key)
	if err != nil {
		return command{}, err
	}
	return command{
		Op:      kind,
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
