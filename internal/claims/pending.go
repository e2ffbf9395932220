package claims

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of calls that are queued for a retry.
const (
	retryInterval   = 250 * time.Millisecond
	retryTimeout    = 2 * time.Second
	maxPending      = 10_000   // per group
	maxPendingBytes = 32 << 20 // total of the answers in all groups
)

var (
	pendingCalls  = metrics.NewGauge("sequoialane_claims_pending_calls", nil)
	repeatedCalls = metrics.NewCounter("sequoialane_claims_repeated_calls_total")
	droppedCalls  = metrics.NewCounter("sequoialane_claims_dropped_calls_total")
)

// pendingCall is a call that ends an attempt, queued because its outcome is not
// known.
type pendingCall struct {
	group    GroupSettings
	callName string
	cmd      command
}

// finishAttempt calls the group to end an attempt. A call whose outcome is not
// known is queued and retried until the key has expired.
func (c *GroupClient) finishAttempt(ctx context.Context, group GroupSettings, callName string, cmd command) error {
	o, err := c.call(ctx, group, callName, cmd)
	if err != nil {
		c.enqueue(pendingCall{group: group, callName: callName, cmd: cmd})
		return err
	}
	if !o.OK {
		return notHolderError(cmd, o)
	}
	return nil
}

// enqueue queues a call for a retry. If the queue is full, the call is dropped;
// if the answers take too much memory, the answer is dropped. The claim of a
// dropped call stays running until it counts as unknown, so the request is never
// sent again.
func (c *GroupClient) enqueue(p pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending[p.group.Name]) >= maxPending {
		droppedCalls.Inc()
		return
	}
	size := p.cmd.Answer.size()
	if c.pendingBytes+size > maxPendingBytes {
		p.cmd.Answer = &storedAnswer{Status: p.cmd.Answer.Status, Omitted: true}
		size = 0
	}
	c.pendingBytes += size
	c.pending[p.group.Name] = append(c.pending[p.group.Name], p)
	pendingCalls.Inc()
}

// retryPending retries the queued calls of each group in order. It stops at the
// first call of a group that fails.
func (c *GroupClient) retryPending(ctx context.Context) {
	for _, group := range c.cfg.Groups {
		for ctx.Err() == nil {
			next, ok := c.firstPending(group.Name)
			if !ok || !c.retryCall(ctx, next) {
				break
			}
			c.removeFirstPending(group.Name)
		}
	}
}

// retryCall reports whether the call is done with: its outcome is known or its
// key has expired.
func (c *GroupClient) retryCall(ctx context.Context, p pendingCall) (done bool) {
	if c.cfg.Limits.KeyState(Key{ID: p.cmd.Key}, c.cfg.Clock.Now()) == Expired {
		droppedCalls.Inc()
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	repeatedCalls.Inc()
	_, err := c.call(ctx, p.group, p.callName, p.cmd)
	return err == nil
}

func (c *GroupClient) firstPending(group string) (pendingCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending[group]) == 0 {
		return pendingCall{}, false
	}
	return c.pending[group][0], true
}

func (c *GroupClient) removeFirstPending(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.pending[group]
	c.pendingBytes -= queue[0].cmd.Answer.size()
	pendingCalls.Dec()
	c.pending[group] = queue[1:]
	if len(queue) == 1 {
		delete(c.pending, group)
	}
}

// PendingCalls returns the number of calls that are queued for a retry.
func (c *GroupClient) PendingCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, queue := range c.pending {
		count += len(queue)
	}
	return count
}
