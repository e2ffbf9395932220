package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// forwardRetention is how long a leader remembers forwarded calls. A request
// whose stamp is older than that is refused, so a repeated request either finds
// the first one or is refused.
const forwardRetention = 4 * time.Second

// lead names one time of leadership. A process that restarts never has the same
// lead again, so calls need not be remembered over a restart.
type lead struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// forwardTable makes repeated requests share one call.
type forwardTable struct {
	mu    sync.Mutex
	calls map[uuid.UUID]*forwardedCall
	order []*forwardedCall // by arrival
}

type forwardedCall struct {
	id      uuid.UUID
	arrived time.Time
	done    chan struct{}
	result  []byte
	err     error
}

func newForwardTable() *forwardTable {
	return &forwardTable{calls: map[uuid.UUID]*forwardedCall{}}
}

// get returns the call with the ID and whether it is new.
func (f *forwardTable) get(id uuid.UUID, now time.Time) (call *forwardedCall, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(now)
	if call := f.calls[id]; call != nil {
		return call, false
	}
	call = &forwardedCall{id: id, arrived: now, done: make(chan struct{})}
	f.calls[id] = call
	f.order = append(f.order, call)
	return call, true
}

func (f *forwardTable) forget(now time.Time) {
	for len(f.order) > 0 && now.Sub(f.order[0].arrived) > forwardRetention {
		delete(f.calls, f.order[0].id)
		f.order[0] = nil
		f.order = f.order[1:]
	}
}

func (c *forwardedCall) wait(ctx context.Context) ([]byte, error) {
	select {
	case <-c.done:
		return c.result, c.err
	case <-ctx.Done():
		return nil, ErrUnknownOutcome
	}
}

// proposeForwarded proposes a command of another member, once for each ID. The
// first request carries the call; a repeated one waits for it.
func (g *Group) proposeForwarded(ctx context.Context, request proposeRequest) ([]byte, error) {
	call, first := g.forwarded.get(request.ID, g.config.Clock.Now())
	if !first {
		return call.wait(ctx)
	}
	p := newProposal(request.Command)
	p.forwarded = true
	p.lead = request.Lead
	p.stamp = request.Stamp
	go func() {
		defer close(call.done)
		// The call outlives the connection that it came on: the same request
		// may arrive again on another one.
		limited, cancel := context.WithTimeout(context.Background(), forwardRetention)
		defer cancel()
		call.result, call.err = g.submit(limited, p)
	}()
	return call.wait(ctx)
}
