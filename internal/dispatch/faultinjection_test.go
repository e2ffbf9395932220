package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/upstream"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
)

var errInjected = errors.New("injected fault")

// seededRand is a seeded random source that is safe for concurrent use.
type seededRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSeededRand(seed uint64) *seededRand { return &seededRand{rng: rand.New(rand.NewPCG(seed, 0))} }

func (d *seededRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// callTimeout bounds a call that outlives its caller.
const callTimeout = 3 * time.Second

// faultyClaims loses calls before or after they take effect, and retries some of
// them later. When it is killed, it makes no further calls.
type faultyClaims struct {
	claims.Client
	random       *seededRand
	killed       *atomic.Bool
	delayedCalls *sync.WaitGroup
}

// inject makes the call with a random fault.
func (f faultyClaims) inject(call func() error) error {
	if f.killed.Load() {
		return errInjected
	}
	if f.random == nil {
		return call()
	}
	switch f.random.intN(14) {
	case 0:
		return errInjected
	case 1:
		_ = call()
		return errInjected
	case 2:
		delay := time.Duration(f.random.intN(10)) * time.Millisecond
		f.delayedCalls.Add(1)
		go func() {
			defer f.delayedCalls.Done()
			time.Sleep(delay)
			_ = call()
		}()
	}
	return call()
}

func (f faultyClaims) Claim(ctx context.Context, r claims.Request) (claims.Result, error) {
	var last atomic.Pointer[claims.Result]
	err := f.inject(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		result, err := f.Client.Claim(ctx, r)
		last.CompareAndSwap(nil, &result)
		return err
	})
	if err != nil {
		return claims.Result{}, err
	}
	return *last.Load(), nil
}

// detached returns a context that lets a call continue after its caller has given
// up.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
}

// repeat retries a call as the real client does, until the holder is killed.
func (f faultyClaims) repeat(call func() error) error {
	for !f.killed.Load() {
		if err := f.inject(call); !errors.Is(err, errInjected) {
			return err
		}
	}
	return errInjected
}

func (f faultyClaims) Complete(ctx context.Context, r claims.Request, a claims.Answer) error {
	return f.repeat(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		return f.Client.Complete(ctx, r, a)
	})
}

func (f faultyClaims) Release(ctx context.Context, r claims.Request) error {
	return f.repeat(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		return f.Client.Release(ctx, r)
	})
}

func (f faultyClaims) MarkUnknown(ctx context.Context, r claims.Request) error {
	return f.repeat(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		return f.Client.MarkUnknown(ctx, r)
	})
}

// killableSender cancels its calls when its entry is killed.
type killableSender struct {
	sender Sender
	killed *atomic.Bool
	kill   chan struct{}
}

func (k killableSender) Send(ctx context.Context, t upstream.Target, r *http.Request, opt upstreamclient.Options) (*http.Response, owner.Outcome, error) {
	if k.killed.Load() {
		return nil, owner.Outcome{Kind: owner.Canceled}, errInjected
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-k.kill:
			cancel()
		case <-ctx.Done():
		}
	}()
	finished := opt.Finished
	opt.Finished = func(o owner.Outcome) {
		cancel()
		finished(o)
	}
	resp, o, err := k.sender.Send(ctx, t, r, opt)
	if o.Kind != "" {
		cancel()
	}
	return resp, o, err
}
