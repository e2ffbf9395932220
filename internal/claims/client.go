package claims

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

// Time limits of calls to the members of a group.
const (
	firstTryTimeout = 250 * time.Millisecond
	maxTryTimeout   = 2 * time.Second
	firstBackoff    = 10 * time.Millisecond
	maxBackoff      = 200 * time.Millisecond
	waitTurn        = 500 * time.Millisecond // how long a member holds a wait
)

// ClientConfig holds what a GroupClient needs from outside.
type ClientConfig struct {
	Groups []GroupSettings
	Self   string  // name of this entry
	Local  *Server // groups of this entry; nil: none
	// Transport sends the calls. It adds the fleet token.
	Transport http.RoundTripper
	Clock     sys.Clock
	Pool      *workerpool.Pool // repeats calls that failed
	Limits    Limits
}

// GroupClient makes claims at the claim groups.
type GroupClient struct {
	cfg  ClientConfig
	http *http.Client

	mu      sync.Mutex
	leaders map[string]string // last known leader, by group
	pending map[string][]settlement
	held    int64 // bytes of answers in pending
}

var (
	_ Client = (*GroupClient)(nil)
	_ Leases = (*GroupClient)(nil)
)

// NewClient returns a client, and starts its repetitions on the pool.
func NewClient(cfg ClientConfig) *GroupClient {
	if cfg.Transport == nil || cfg.Clock == nil || cfg.Pool == nil {
		panic("claims: incomplete configuration")
	}
	if cfg.Local == nil {
		cfg.Local = NewServer()
	}
	c := &GroupClient{
		cfg:     cfg,
		http:    &http.Client{Transport: cfg.Transport},
		leaders: map[string]string{},
		pending: map[string][]settlement{},
	}
	cfg.Pool.Every(cfg.Clock, repeatInterval, c.repeat)
	return c
}

// Claim implements Client.
func (c *GroupClient) Claim(ctx context.Context, r Request) (Result, error) {
	call, group, err := c.prepare(r, opClaim)
	if err != nil {
		return Result{}, err
	}
	o, err := c.call(ctx, group, callClaim, call)
	if err != nil {
		return Result{}, err
	}
	return o.result(), nil
}

// Wait implements Client.
func (c *GroupClient) Wait(ctx context.Context, r Request) (Result, error) {
	call, group, err := c.prepare(r, opClaim)
	if err != nil {
		return Result{}, err
	}
	last := Result{}
	for {
		o, err := c.call(ctx, group, callWait, call)
		if err != nil && last.State == Running && ctx.Err() != nil {
			return last, nil
		}
		if err != nil {
			return Result{}, err
		}
		last = o.result()
		if last.State != Running || ctx.Err() != nil {
			return last, nil
		}
	}
}

// Complete implements Client.
func (c *GroupClient) Complete(ctx context.Context, r Request, a Answer) error {
	call, group, err := c.prepare(r, opComplete)
	if err != nil {
		return err
	}
	call.Answer = storeAnswer(a)
	return c.settle(ctx, group, callComplete, call)
}

// Release implements Client.
func (c *GroupClient) Release(ctx context.Context, r Request) error {
	call, group, err := c.prepare(r, opRelease)
	if err != nil {
		return err
	}
	return c.settle(ctx, group, callRelease, call)
}

// MarkUnknown implements Client.
func (c *GroupClient) MarkUnknown(ctx context.Context, r Request) error {
	call, group, err := c.prepare(r, opUnknown)
	if err != nil {
		return err
	}
	return c.settle(ctx, group, callUnknown, call)
}

// Acquire implements Leases.
func (c *GroupClient) Acquire(ctx context.Context, region, name, holder string, ttl time.Duration) (time.Time, bool, error) {
	group, ok := groupOfLease(c.cfg.Groups, region, name)
	if !ok {
		return time.Time{}, false, unavailable("no claim group of region " + region + " is configured")
	}
	begin := c.cfg.Clock.Now()
	call := command{Op: opLease, Lease: region + "/" + name, Holder: holder, TTLMS: ttl.Milliseconds()}
	o, err := c.call(ctx, group, callLease, call)
	if err != nil || !o.OK {
		return time.Time{}, false, err
	}
	return begin.Add(ttl), true, nil
}

func (c *GroupClient) prepare(r Request, what op) (command, GroupSettings, error) {
	call, err := r.command(what)
	if err != nil {
		return command{}, GroupSettings{}, err
	}
	group, ok := groupOfKey(c.cfg.Groups, r.HomeRegion, r.Plan, Key{ID: call.Key})
	if !ok {
		return command{}, GroupSettings{}, unavailable("no claim group of region " + r.HomeRegion + " is configured")
	}
	return call, group, nil
}

// call asks the members of the group by turns until one of them knows the
// outcome or ctx ends. Each command may be applied more than once.
func (c *GroupClient) call(ctx context.Context, group GroupSettings, name string, call command) (outcome, error) {
	timeout, backoff := firstTryTimeout, firstBackoff
	for {
		for _, member := range c.order(group) {
			o, err := c.ask(ctx, group, member, name, call, timeout)
			if err == nil {
				return o, nil
			}
			if ctx.Err() != nil {
				return outcome{}, unavailable("no member of claim group " + group.Name + " answered in time")
			}
		}
		jitter := time.Duration(rand.Int64N(int64(backoff)))
		if c.cfg.Clock.Sleep(ctx, backoff+jitter) != nil {
			return outcome{}, unavailable("no member of claim group " + group.Name + " answered in time")
		}
		timeout = min(2*timeout, maxTryTimeout)
		backoff = min(2*backoff, maxBackoff)
	}
}

// order lists the members of a group: its last known leader, then this entry,
// which need not ask over the network, then the others in random order.
func (c *GroupClient) order(group GroupSettings) []MemberSettings {
	c.mu.Lock()
	leader := c.leaders[group.Name]
	c.mu.Unlock()
	members := slices.Clone(group.Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b MemberSettings) int {
		return cmp.Compare(c.rank(a.Name, leader), c.rank(b.Name, leader))
	})
	return members
}

func (c *GroupClient) rank(member, leader string) int {
	switch member {
	case leader:
		return 0
	case c.cfg.Self:
		return 1
	default:
		return 2
	}
}

// ask calls one member. If it names another one as the leader, that one is
// asked as well.
func (c *GroupClient) ask(ctx context.Context, group GroupSettings, member MemberSettings, name string, call command, timeout time.Duration) (outcome, error) {
	o, leader, err := c.askOne(ctx, group, member, name, call, timeout)
	if err == nil {
		c.setLeader(group.Name, member.Name)
		return o, nil
	}
	if ctx.Err() == nil {
		c.forgetLeader(group.Name, member.Name)
	}
	for _, other := range group.Members {
		if other.Name != leader || other.Name == member.Name {
			continue
		}
		o, _, err = c.askOne(ctx, group, other, name, call, timeout)
		if err == nil {
			c.setLeader(group.Name, other.Name)
		}
	}
	return o, err
}

func (c *GroupClient) setLeader(group, member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = member
}

func (c *GroupClient) forgetLeader(group, member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] == member {
		delete(c.leaders, group)
	}
}
