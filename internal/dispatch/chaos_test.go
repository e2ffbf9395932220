package dispatch

import (
	"context"
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
			for n := uint64(100); ctx.Err() == nil; n++ { // not a cold start
				for _, address := range c.addresses {
					p.owned.Announce(upstream.Announcement{
						Service: "consents", Region: "r", Address: address, Slots: 8, State: upstream.Serving,
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
	answered.Store(0)
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(*chaosSeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
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
	})
	assert.Greater(t, answered.Load(), int64(5**chaosSeeds), "the faults leave too little that works")
}

// answered counts the requests that got an answer.
var answered atomic.Int64

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
	answered.Add(int64(c.counts["answered"]))
	for _, key := range sent {
		assert.LessOrEqual(c.t, c.runsOf(key), 1, "key %s", key)
	}
}
