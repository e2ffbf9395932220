package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// forwardRetention is the time for which a leader keeps forwarded calls. A
// request whose LeaderSent is older is rejected, so a retried request either
// finds the first call or is rejected.
const forwardRetention = 4 * time.Second

// leadership identifies one term of a leader. A restarted process never gets the
// same leadership again, so calls need not be kept across a restart.
type leadership struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// forwardTable deduplicates forwarded calls: requests with the same ID share
// one call.
type forwardTable struct {
	mu        sync.Mutex
	calls     map[uuid.UUID]*forwardedCall
	byArrival []*forwardedCall // oldest first
}

type forwardedCall struct {
	id        uuid.UUID
	arrivedAt time.Time
	done      chan struct{}
	response  proposeResponse
	err       error
}

func newForwardTable() *forwardTable {
	return &forwardTable{calls: map[uuid.UUID]*forwardedCall{}}
}

// getOrCreate returns the call with the ID, and whether it was created.
func (f *forwardTable) getOrCreate(id uuid.UUID, now time.Time) (call *forwardedCall, created bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeExpired(now)
	if call := f.calls[id]; call != nil {
		return call, false
	}
	call = &forwardedCall{id: id, arrivedAt: now, done: make(chan struct{})}
	f.calls[id] = call
	f.byArrival = append(f.byArrival, call)
	return call, true
}

func (f *forwardTable) removeExpired(now time.Time) {
	for len(f.byArrival) > 0 && now.Sub(f.byArrival[0].arrivedAt) > forwardRetention {
		delete(f.calls, f.byArrival[0].id)
		f.byArrival[0] = nil
		f.byArrival = f.byArrival[1:]
	}
}

func (c *forwardedCall) wait(ctx context.Context) (proposeResponse, error) {
	select {
	case <-c.done:
		return c.response, c.err
	case <-ctx.Done():
		return proposeResponse{}, ErrUnknownOutcome
	}
}

// proposeForwarded proposes a command of another member, once for each ID. The
// first request starts the call; a retried one waits for its result.
func (g *Group) proposeForwarded(ctx context.Context, request proposeRequest) (proposeResponse, error) {
	call, created := g.forwarded.getOrCreate(request.ID, g.config.Clock.Now())
	if !created {
		return call.wait(ctx)
	}
	p := newProposal(request.Command)
	p.forwarded = true
	p.leadership = request.Leadership
	p.leaderSent = request.LeaderSent
	go func() {
		defer close(call.done)
		// The call outlives the connection that it arrived on, because the same
		// request may arrive again on another connection.
		submitCtx, cancel := context.WithTimeout(context.Background(), forwardRetention)
		defer cancel()
		call.response.Result, call.err = g.submitProposal(submitCtx, p)
		if call.err == nil {
			call.response.Epoch, call.response.Index = p.epoch, p.index
		}
	}()
	return call.wait(ctx)
}
