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

// dice is a seeded random source for several goroutines.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{rng: rand.New(rand.NewPCG(seed, 0))} }

func (d *dice) roll(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// callTimeout bounds a call that outlives its caller.
const callTimeout = 3 * time.Second

// faultyClaims loses calls before and after they take effect, and delivers
// some of them late. A killed one makes no call any more.
type faultyClaims struct {
	claims.Client
	dice   *dice
	killed *atomic.Bool
	late   *sync.WaitGroup
}

func (f faultyClaims) around(call func() error) error {
	if f.killed.Load() {
		return errInjected
	}
	if f.dice == nil {
		return call()
	}
	switch f.dice.roll(14) {
	case 0:
		return errInjected
	case 1:
		_ = call()
		return errInjected
	case 2:
		delay := time.Duration(f.dice.roll(10)) * time.Millisecond
		f.late.Add(1)
		go func() {
			defer f.late.Done()
			time.Sleep(delay)
			_ = call()
		}()
	}
	return call()
}

func (f faultyClaims) Claim(ctx context.Context, r claims.Request) (claims.Result, error) {
	var last atomic.Pointer[claims.Result]
	err := f.around(func() error {
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

// detached lets a call go on after its caller has given up.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
}

// settle repeats a call as the real client does, unless the holder was killed.
func (f faultyClaims) settle(call func() error) error {
	for !f.killed.Load() {
		if err := f.around(call); !errors.Is(err, errInjected) {
			return err
		}
	}
	return errInjected
}

func (f faultyClaims) Complete(ctx context.Context, r claims.Request, a claims.Answer) error {
	return f.settle(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		return f.Client.Complete(ctx, r, a)
	})
}

func (f faultyClaims) Release(ctx context.Context, r claims.Request) error {
	return f.settle(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		return f.Client.Release(ctx, r)
	})
}

func (f faultyClaims) MarkUnknown(ctx context.Context, r claims.Request) error {
	return f.settle(func() error {
		ctx, cancel := detached(ctx)
		defer cancel()
		return f.Client.MarkUnknown(ctx, r)
	})
}

// killedSender is cut off when its process is killed.
type killedSender struct {
	sender Sender
	killed *atomic.Bool
	kill   chan struct{}
}

func (k killedSender) Send(ctx context.Context, t upstream.Target, r *http.Request, opt upstreamclient.Options) (*http.Response, owner.Outcome, error) {
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
