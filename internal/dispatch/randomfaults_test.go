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

var faultSeeds = flag.Int("dispatch.seeds", 12, "number of seeds of TestRandomFaults")

// testEntry is one entry of the randomised test.
type testEntry struct {
	*Dispatcher
	holder  string
	killed  atomic.Bool
	kill    chan struct{}
	service *owner.Service // nil: a fakeScheduler for each request
}

// faultTest runs requests through several entries with injected faults.
type faultTest struct {
	t            *testing.T
	random       *seededRand
	memory       *claims.MemoryClient // nil: client calls real claim groups
	client       func(entry int) claims.Client
	limits       claims.Limits
	extraTime    time.Duration // added to each deadline
	entries      []*testEntry
	upstreams    []*fakeUpstream
	addresses    []string
	delayedCalls sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // results by kind
}

func (c *faultTest) countResult(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[kind]++
}

// serveRandomly responds in every way that a target may, and counts the runs.
func (c *faultTest) serveRandomly(u *fakeUpstream) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		body := "ran " + r.Header.Get("Idempotency-Key")
		roll := c.random.intN(20)
		switch roll {
		case 0: // connection closed without running the request
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
			time.Sleep(time.Duration(c.random.intN(30)) * time.Millisecond)
		case 10:
			body += string(make([]byte, 100<<10))
		}
		_, _ = io.WriteString(w, body)
	}
}

// newMemoryFaultTest returns a faultTest with three entries and claims in memory.
func newMemoryFaultTest(t *testing.T, seed uint64) *faultTest {
	limits := claims.DefaultLimits()
	limits.ClockError = 5 * time.Millisecond // keys soon become newer than a fence
	memory := claims.NewMemoryClient(sys.RealClock{}, limits)
	c := newFaultTest(t, seed, limits, func(int) claims.Client { return memory })
	c.memory = memory
	return c
}

func newFaultTest(t *testing.T, seed uint64, limits claims.Limits, client func(entry int) claims.Client) *faultTest {
	c := &faultTest{t: t, random: newSeededRand(seed), limits: limits, client: client}
	for range 2 {
		u := newUpstream(t, nil)
		u.serve = c.serveRandomly(u)
		c.upstreams = append(c.upstreams, u)
		c.addresses = append(c.addresses, u.address())
	}
	c.addresses = append(c.addresses, refusingAddress(t))
	for n := range 3 {
		c.addEntry(fmt.Sprintf("entry-%d/1", n))
	}
	return c
}

func (c *faultTest) addEntry(holder string) {
	p := &testEntry{holder: holder, kill: make(chan struct{})}
	sender := upstreamclient.New(sys.RealClock{})
	c.t.Cleanup(sender.Close)
	p.Dispatcher = New(Config{
		Claims:              faultyClaims{Client: c.client(len(c.entries)), random: c.random, killed: &p.killed, delayedCalls: &c.delayedCalls},
		Sender:              killableSender{sender: sender, killed: &p.killed, kill: p.kill},
		Clock:               sys.RealClock{},
		Holder:              holder,
		HolderDead:          c.holderDead,
		NewAttemptID:        func() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) },
		Limits:              c.limits,
		HolderCheckInterval: 2 * time.Millisecond,
	})
	c.entries = append(c.entries, p)
}

func (c *faultTest) holderDead(holder string) bool {
	for _, p := range c.entries {
		if p.holder == holder {
			return p.killed.Load()
		}
	}
	return false
}

func (c *faultTest) runsOf(key string) (runs int) {
	for _, u := range c.upstreams {
		runs += u.runsOf(key)
	}
	return runs
}

// send sends the request once and checks the result for the caller.
func (c *faultTest) send(key string) {
	p := c.entries[c.random.intN(len(c.entries))]
	r := post(key)
	r.ID = fmt.Sprintf("request-%d", attempts.Add(1))
	r.Deadline = time.Now().Add(c.extraTime + time.Duration(1+c.random.intN(150))*time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if c.random.intN(5) == 0 {
		timer := time.AfterFunc(time.Duration(c.random.intN(20))*time.Millisecond, leave)
		defer timer.Stop()
	}
	before := c.runsOf(key)
	result := p.Run(ctx, c.scheduler(p), r)
	if p.killed.Load() {
		closeBody(result)
		return
	}
	if result.Err != nil {
		c.countResult(fmt.Sprintf("%s %s", result.Err.Kind, result.Err.Effect))
		notRun := result.Err.Effect == fault.NotRun
		assert.False(c.t, notRun && before > 0, "%v after the request ran", result.Err)
		assert.Equal(c.t, notRun, result.ClaimChecked, "%v", result.Err)
		return
	}
	c.countResult("answered")
	if result.Response.Header.Get("X-Not-Run") == "" {
		assert.Equal(c.t, 1, c.runsOf(key), "answered without a run")
	}
	closeBody(result)
}

func (c *faultTest) scheduler(p *testEntry) Scheduler {
	if p.service != nil {
		return NewScheduler(p.service)
	}
	s := &fakeScheduler{targets: c.addresses, next: c.random.intN(3), retries: c.random.intN(3)}
	if c.random.intN(10) == 0 {
		s.rejection = fault.New(fault.Overloaded, "full")
	}
	return s
}

// useOwners gives each entry an owner.Service with few slots.
func (c *faultTest) useOwners() {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	for _, p := range c.entries {
		p.service = owner.New(owner.Config{Service: "consents", Region: "r", Clock: sys.RealClock{}, Rand: rand.New(rand.NewPCG(1, 1))})
		go func() {
			for n := uint64(100); ctx.Err() == nil; n++ { // not a cold start
				for _, address := range c.addresses {
					p.service.ApplyAnnouncement(upstream.Announcement{
						Service: "consents", Region: "r", Address: address, Slots: 8, State: upstream.Serving,
						Incarnation: 1, Sequence: n, EchoesRequestID: true,
					})
				}
				p.service.Tick(time.Now())
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}

// assertSlotsFree checks that each grant was released.
func (c *faultTest) assertSlotsFree() {
	for _, p := range c.entries {
		for _, target := range p.service.Snapshot().Targets {
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

// injectFault kills an entry, interrupts the claims or fences them.
func (c *faultTest) injectFault() {
	switch c.random.intN(3) {
	case 0:
		p := c.entries[0]
		if p.killed.CompareAndSwap(false, true) {
			close(p.kill)
		}
	case 1:
		c.memory.SetOffline(true)
		time.Sleep(2 * time.Millisecond)
		c.memory.SetOffline(false)
	case 2:
		c.memory.ResetWithFence(time.Now())
	}
}

// Guards against a request that runs twice under one key, and against a not-run
// rejection of a request that ran, under faults of targets, claims, callers and
// entries.
func TestRandomFaults(t *testing.T) {
	answeredRequests.Store(0)
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(*faultSeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				c := newMemoryFaultTest(t, seed)
				if seed%2 == 0 {
					c.sendKeys(40, 10, c.injectFault)
					return
				}
				c.useOwners()
				c.sendKeys(40, 10, c.injectFault)
				c.assertSlotsFree()
			})
		}
	})
	assert.Greater(t, answeredRequests.Load(), int64(5**faultSeeds), "the faults leave too few requests answered")
}

// answeredRequests counts the requests that got a response.
var answeredRequests atomic.Int64

// sendKeys sends each of the given number of keys several times, and calls
// injectFault after every so many keys.
func (c *faultTest) sendKeys(keys, every int, injectFault func()) {
	var wait sync.WaitGroup
	var sent []string
	for n := range keys {
		key := newKey(0)
		sent = append(sent, key)
		for range 1 + c.random.intN(3) {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for range 1 + c.random.intN(3) {
					c.send(key)
				}
			}()
		}
		if n%every == every-1 {
			injectFault()
		}
		time.Sleep(time.Duration(c.random.intN(8)) * time.Millisecond)
	}
	wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for _, p := range c.entries {
		require.NoError(c.t, p.Drain(ctx))
	}
	c.delayedCalls.Wait()
	c.t.Logf("results: %v", c.counts)
	answeredRequests.Add(int64(c.counts["answered"]))
	for _, key := range sent {
		assert.LessOrEqual(c.t, c.runsOf(key), 1, "key %s", key)
	}
}
