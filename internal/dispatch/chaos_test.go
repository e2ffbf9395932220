package dispatch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
)

var chaosSeeds = flag.Int("dispatch.seeds", 12, "number of seeds of TestRandomFaults")

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

// process is one entry of the randomised test.
type process struct {
	*Dispatcher
	holder string
	killed atomic.Bool
	kill   chan struct{}
	owned  *owner.Service // nil: a fakeScheduler for each request
}

type chaos struct {
	t         *testing.T
	dice      *dice
	memory    *claims.Memory // nil: client asks real groups
	client    func(process int) claims.Client
	limits    claims.Limits
	slack     time.Duration // added to each deadline
	processes []*process
	upstreams []*fakeUpstream
	addresses []string
	late      sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // results by kind
}

func (c *chaos) tally(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[kind]++
}

// serveRandomly answers in all ways that a target may, and counts the runs.
func (c *chaos) serveRandomly(u *fakeUpstream) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		body := "ran " + r.Header.Get("Idempotency-Key")
		roll := c.dice.roll(20)
		switch roll {
		case 0: // closed without running
			panic(http.ErrAbortHandler)
		case 1: // shed, not run
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		u.count(r)
		switch roll {
		case 2:
			panic(http.ErrAbortHandler)
		case 3:
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "ran")
			panic(http.ErrAbortHandler)
		case 4:
			w.Header().Set("X-Request-Id", "other")
		case 5:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 6:
			w.WriteHeader(http.StatusInternalServerError)
		case 7, 8, 9:
			time.Sleep(time.Duration(c.dice.roll(30)) * time.Millisecond)
		case 10:
			body += string(make([]byte, 100<<10))
		}
		_, _ = io.WriteString(w, body)
	}
}

// newMemoryChaos returns three processes on claims in memory.
func newMemoryChaos(t *testing.T, seed uint64) *chaos {
	limits := claims.DefaultLimits()
	limits.ClockError = 5 * time.Millisecond // keys soon become newer than a fence
	memory := claims.NewMemory(sys.RealClock{}, limits)
	c := newChaos(t, seed, limits, func(int) claims.Client { return memory })
	c.memory = memory
	return c
}

func newChaos(t *testing.T, seed uint64, limits claims.Limits, client func(process int) claims.Client) *chaos {
	c := &chaos{t: t, dice: newDice(seed), limits: limits, client: client}
	for range 2 {
		u := newUpstream(t, nil)
		u.serve = c.serveRandomly(u)
		c.upstreams = append(c.upstreams, u)
		c.addresses = append(c.addresses, u.address())
	}
	c.addresses = append(c.addresses, refusingAddress(t))
	for n := range 3 {
		c.addProcess(fmt.Sprintf("entry-%d/1", n))
	}
	return c
}

func (c *chaos) addProcess(holder string) {
	p := &process{holder: holder, kill: make(chan struct{})}
	sender := upstreamclient.New(sys.RealClock{})
	c.t.Cleanup(sender.Close)
	p.Dispatcher = New(Config{
		Claims:      faultyClaims{Client: c.client(len(c.processes)), dice: c.dice, killed: &p.killed, late: &c.late},
		Sender:      killedSender{sender: sender, killed: &p.killed, kill: p.kill},
		Clock:       sys.RealClock{},
		Holder:      holder,
		HolderDead:  c.holderDead,
		NewAttempt:  func() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) },
		Limits:      c.limits,
		HolderCheck: 2 * time.Millisecond,
	})
	c.processes = append(c.processes, p)
}

func (c *chaos) holderDead(holder string) bool {
	for _, p := range c.processes {
		if p.holder == holder {
			return p.killed.Load()
		}
	}
	return false
}

func (c *chaos) runsOf(key string) (runs int) {
	for _, u := range c.upstreams {
		runs += u.runsOf(key)
	}
	return runs
}

// send sends the request once and checks what the caller is told.
func (c *chaos) send(key string) {
	p := c.processes[c.dice.roll(len(c.processes))]
	r := post(key)
	r.ID = fmt.Sprintf("request-%d", attempts.Add(1))
	r.Deadline = time.Now().Add(c.slack + time.Duration(1+c.dice.roll(150))*time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if c.dice.roll(5) == 0 {
		timer := time.AfterFunc(time.Duration(c.dice.roll(20))*time.Millisecond, leave)
		defer timer.Stop()
	}
	before := c.runsOf(key)
	result := p.Run(ctx, c.scheduler(p), r)
	if p.killed.Load() {
		closeBody(result)
		return
	}
	if result.Err != nil {
		c.tally(fmt.Sprintf("%s %s", result.Err.Kind, result.Err.Effect))
		notRun := result.Err.Effect == fault.NotRun
		assert.False(c.t, notRun && before > 0, "%v after the request ran", result.Err)
		assert.Equal(c.t, notRun, result.ClaimChecked, "%v", result.Err)
		return
	}
	c.tally("answered")
	if result.Response.Header.Get("X-Not-Run") == "" {
		assert.Equal(c.t, 1, c.runsOf(key), "answered without a run")
	}
	closeBody(result)
}

func (c *chaos) scheduler(p *process) Scheduler {
	if p.owned != nil {
		return Owned(p.owned)
	}
	s := &fakeScheduler{targets: c.addresses, next: c.dice.roll(3), retries: c.dice.roll(3)}
	if c.dice.roll(10) == 0 {
		s.refuse = fault.New(fault.Overloaded, "full")
	}
	return s
}

// own gives each process an owner aggregate with few slots.
func (c *chaos) own() {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	for _, p := range c.processes {
		p.owned = owner.New(owner.Config{Service: "consents", Region: "r", Clock: sys.RealClock{}, Rand: rand.New(rand.NewPCG(1, 1))})
		go func() {
			for n := uint64(1); ctx.Err() == nil; n++ {
				for _, address := range c.addresses {
					p.owned.Announce(upstream.Announcement{
						Service: "consents", Region: "r", Address: address, Slots: 2, State: upstream.Serving,
						Incarnation: 1, Sequence: n, EchoesRequestID: true,
					})
				}
				p.owned.Tick(time.Now())
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}

// assertSlotsFree checks that each grant was given back.
func (c *chaos) assertSlotsFree() {
	for _, p := range c.processes {
		for _, target := range p.owned.Snapshot().Targets {
			assert.Zero(c.t, target.InFlight, target.Address)
		}
	}
}

func closeBody(result Result) {
	if result.Response != nil {
		_, _ = io.Copy(io.Discard, result.Response.Body)
		_ = result.Response.Body.Close()
	}
}

func (c *chaos) disturb() {
	switch c.dice.roll(3) {
	case 0:
		p := c.processes[0]
		if p.killed.CompareAndSwap(false, true) {
			close(p.kill)
		}
	case 1:
		c.memory.SetOffline(true)
		time.Sleep(2 * time.Millisecond)
		c.memory.SetOffline(false)
	case 2:
		c.memory.Fence(time.Now())
	}
}

// Guards against a key that runs twice, and against a not-run answer to a
// request that ran, under faults of targets, claims, callers and entries.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*chaosSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newMemoryChaos(t, seed)
			if seed%2 == 0 {
				c.load(40, 10, c.disturb)
				return
			}
			c.own()
			c.load(40, 10, c.disturb)
			c.assertSlotsFree()
		})
	}
}

// load sends keys, each several times, and calls disturb after each so many.
func (c *chaos) load(keys, every int, disturb func()) {
	var wait sync.WaitGroup
	var sent []string
	for n := range keys {
		key := newKey(0)
		sent = append(sent, key)
		for range 1 + c.dice.roll(3) {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for range 1 + c.dice.roll(3) {
					c.send(key)
				}
			}()
		}
		if n%every == every-1 {
			disturb()
		}
		time.Sleep(time.Duration(c.dice.roll(8)) * time.Millisecond)
	}
	wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for _, p := range c.processes {
		require.NoError(c.t, p.Drain(ctx))
	}
	c.late.Wait()
	c.t.Logf("results: %v", c.counts)
	assert.Positive(c.t, c.counts["answered"])
	for _, key := range sent {
		assert.LessOrEqual(c.t, c.runsOf(key), 1, "key %s", key)
	}
}
