package claims

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of calls that wait to be repeated.
const (
	repeatInterval  = 250 * time.Millisecond
	repeatTimeout   = 2 * time.Second
	maxPending      = 10_000   // calls of one group
	maxPendingBytes = 32 << 20 // bytes of answers of all groups
)

var (
	pendingCalls  = metrics.NewGauge("sequoialane_claims_pending_calls", nil)
	repeatedCalls = metrics.NewCounter("sequoialane_claims_repeated_calls_total")
	droppedCalls  = metrics.NewCounter("sequoialane_claims_dropped_calls_total")
)

// settlement is a call that ends an attempt and whose outcome is not known.
type settlement struct {
	group GroupSettings
	name  string
	call  command
}

// settle ends an attempt. Without a known outcome the call is kept and
// repeated until the key has expired.
func (c *GroupClient) settle(ctx context.Context, group GroupSettings, name string, call command) error {
	o, err := c.call(ctx, group, name, call)
	if err != nil {
		c.keep(settlement{group: group, name: name, call: call})
		return err
	}
	if !o.OK {
		return refusedBy(call, o)
	}
	return nil
}

// keep queues a call. If the queue is full, its answer or the call is dropped:
// the claim then stays running until it counts as unknown, and is never sent
// again.
func (c *GroupClient) keep(s settlement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending[s.group.Name]) >= maxPending {
		droppedCalls.Inc()
		return
	}
	size := s.call.Answer.size()
	if c.held+size > maxPendingBytes {
		s.call.Answer = &storedAnswer{Status: s.call.Answer.Status, Omitted: true}
		size = 0
	}
	c.held += size
	c.pending[s.group.Name] = append(c.pending[s.group.Name], s)
	pendingCalls.Inc()
}

// repeat tries the pending calls of each group in order. The first call of a
// group that fails ends its turn.
func (c *GroupClient) repeat(ctx context.Context) {
	for _, group := range c.cfg.Groups {
		for ctx.Err() == nil {
			next, ok := c.firstPending(group.Name)
			if !ok || !c.repeatOne(ctx, next) {
				break
			}
			c.removeFirst(group.Name)
		}
	}
}

func (c *GroupClient) repeatOne(ctx context.Context, s settlement) (settled bool) {
	if c.cfg.Limits.KeyState(Key{ID: s.call.Key}, c.cfg.Clock.Now()) == Expired {
		droppedCalls.Inc()
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, repeatTimeout)
	defer cancel()
	repeatedCalls.Inc()
	_, err := c.call(ctx, s.group, s.name, s.call)
	return err == nil
}

func (c *GroupClient) firstPending(group string) (settlement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending[group]) == 0 {
		return settlement{}, false
	}
	return c.pending[group][0], true
}

func (c *GroupClient) removeFirst(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.pending[group]
	c.held -= queue[0].call.Answer.size()
	pendingCalls.Dec()
	c.pending[group] = queue[1:]
	if len(queue) == 1 {
		delete(c.pending, group)
	}
}

// Pending returns the number of calls that wait to be repeated.
func (c *GroupClient) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, queue := range c.pending {
		count += len(queue)
	}
	return count
}
