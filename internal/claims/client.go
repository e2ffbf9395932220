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

// Time limits of calls to the members of a group. Each round over the members
// doubles the call timeout and the backoff, up to the maximum.
const (
	initialCallTimeout = 250 * time.Millisecond
	maxCallTimeout     = 2 * time.Second
	initialBackoff     = 10 * time.Millisecond
	maxBackoff         = 200 * time.Millisecond
	longPollTimeout    = 500 * time.Millisecond // how long a member may block a wait call
)

// ClientConfig configures a GroupClient.
type ClientConfig struct {
	Groups []GroupSettings
	Self   string  // name of this entry
	Local  *Server // claim groups of this entry; nil if it has none
	// Transport sends the calls. It must add the fleet token.
	Transport http.RoundTripper
	Clock     sys.Clock
	Workers   *workerpool.Pool // runs the retries of pending calls
	Limits    Limits
}

// GroupClient implements Client and Leases by calls to the claim groups.
type GroupClient struct {
	cfg  ClientConfig
	http *http.Client

	mu           sync.Mutex
	leaders      map[string]string // last known leader, by group
	pending      map[string][]pendingCall
	pendingBytes int64 // total of the answers in pending
}

var (
	_ Client = (*GroupClient)(nil)
	_ Leases = (*GroupClient)(nil)
)

// NewClient returns a client and schedules the retries of its pending calls on the
// pool.
func NewClient(cfg ClientConfig) *GroupClient {
	if cfg.Transport == nil || cfg.Clock == nil || cfg.Workers == nil {
		panic("claims: client configuration lacks the transport, clock or worker pool")
	}
	if cfg.Local == nil {
		cfg.Local = NewServer()
	}
	c := &GroupClient{
		cfg:     cfg,
		http:    &http.Client{Transport: cfg.Transport},
		leaders: map[string]string{},
		pending: map[string][]pendingCall{},
	}
	cfg.Workers.SubmitEvery(cfg.Clock, retryInterval, c.retryPending)
	return c
}

// Claim implements Client.
func (c *GroupClient) Claim(ctx context.Context, r Request) (Result, error) {
	cmd, group, err := c.prepare(r, opClaim)
	if err != nil {
		return Result{}, err
	}
	o, err := c.call(ctx, group, callClaim, cmd)
	if err != nil {
		return Result{}, err
	}
	return o.result(), nil
}

// Wait implements Client.
func (c *GroupClient) Wait(ctx context.Context, r Request) (Result, error) {
	cmd, group, err := c.prepare(r, opClaim)
	if err != nil {
		return Result{}, err
	}
	last := Result{}
	for {
		o, err := c.call(ctx, group, callWait, cmd)
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
	cmd, group, err := c.prepare(r, opComplete)
	if err != nil {
		return err
	}
	cmd.Answer = newStoredAnswer(a)
	return c.finishAttempt(ctx, group, callComplete, cmd)
}

// Release implements Client.
func (c *GroupClient) Release(ctx context.Context, r Request) error {
	cmd, group, err := c.prepare(r, opRelease)
	if err != nil {
		return err
	}
	return c.finishAttempt(ctx, group, callRelease, cmd)
}

// MarkUnknown implements Client.
func (c *GroupClient) MarkUnknown(ctx context.Context, r Request) error {
	cmd, group, err := c.prepare(r, opMarkUnknown)
	if err != nil {
		return err
	}
	return c.finishAttempt(ctx, group, callMarkUnknown, cmd)
}

// Acquire implements Leases.
func (c *GroupClient) Acquire(ctx context.Context, region, name, holder string, ttl time.Duration) (time.Time, bool, error) {
	group, ok := groupForLease(c.cfg.Groups, region, name)
	if !ok {
		return time.Time{}, false, unavailable("no claim group of region " + region + " is configured")
	}
	begin := c.cfg.Clock.Now()
	cmd := command{Op: opLease, Lease: region + "/" + name, Holder: holder, TTLMS: ttl.Milliseconds()}
	o, err := c.call(ctx, group, callLease, cmd)
	if err != nil || !o.OK {
		return time.Time{}, false, err
	}
	return begin.Add(ttl), true, nil
}

func (c *GroupClient) prepare(r Request, kind op) (command, GroupSettings, error) {
	cmd, err := r.command(kind)
	if err != nil {
		return command{}, GroupSettings{}, err
	}
	group, ok := groupForKey(c.cfg.Groups, r.HomeRegion, r.Plan, Key{ID: cmd.Key})
	if !ok {
		return command{}, GroupSettings{}, unavailable("no claim group of region " + r.HomeRegion + " is configured")
	}
	return cmd, group, nil
}

// call calls the members of the group in turn until one of them returns the
// outcome or ctx ends. The command may be applied more than once.
func (c *GroupClient) call(ctx context.Context, group GroupSettings, callName string, call command) (outcome, error) {
	timeout, backoff := initialCallTimeout, initialBackoff
	for {
		for _, member := range c.membersToTry(group) {
			o, err := c.callWithRedirect(ctx, group, member, callName, call, timeout)
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
		timeout = min(2*timeout, maxCallTimeout)
		backoff = min(2*backoff, maxBackoff)
	}
}

// membersToTry returns the members of a group in the order in which they are
// called: the last known leader, then this entry, which needs no network call,
// then the others in random order.
func (c *GroupClient) membersToTry(group GroupSettings) []MemberSettings {
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

// callWithRedirect calls one member. If the call fails and the member names another
// one as the leader, that one is called as well.
func (c *GroupClient) callWithRedirect(ctx context.Context, group GroupSettings, member MemberSettings, callName string, cmd command, timeout time.Duration) (outcome, error) {
	o, leader, err := c.callMember(ctx, group, member, callName, cmd, timeout)
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
		o, _, err = c.callMember(ctx, group, other, callName, cmd, timeout)
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
