// Package upstreamclient sends one attempt of a request to a target. It reports
// whether any byte of the request was written, whether the response is complete
// and whether it belongs to the request. It is used by sequoialane-entry; package
// targetconn is the client of sequoialane-platform.
package upstreamclient

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// MaxBuffered is the size in bytes up to which a response is read completely
// before Send returns.
const MaxBuffered = 64 << 10

// unusedTargetTTL is how long the connections of a target without requests are
// kept.
const unusedTargetTTL = time.Minute

// Options are the options of an attempt.
type Options struct {
	RequestID      string
	Idempotent     bool
	Deadline       time.Time     // passed on to the target; zero: none
	SilenceTimeout time.Duration // idempotent only: how long a reused connection may be silent before a new one is tried; 0: off
	// Finished is called once with the outcome of a response that Send returned
	// before its end. It may be nil.
	Finished func(owner.Outcome)
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	clock sys.Clock

	mu          sync.Mutex
	targets     map[string]*connPools // by address
	lastSweepAt time.Time
}

// New returns a Client without connections.
func New(clock sys.Clock) *Client {
	return &Client{clock: clock, targets: map[string]*connPools{}, lastSweepAt: clock.Now()}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pools := range c.targets {
		pools.closeIdle()
	}
	c.targets = map[string]*connPools{}
}

func (c *Client) poolsFor(address string) *connPools {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.removeUnused(now)
	pools := c.targets[address]
	if pools == nil {
		pools = newConnPools(c.clock)
		c.targets[address] = pools
	}
	pools.lastUsedAt = now
	return pools
}

// removeUnused closes and drops the connections of targets that had no requests
// for unusedTargetTTL.
func (c *Client) removeUnused(now time.Time) {
	if now.Sub(c.lastSweepAt) < unusedTargetTTL {
		return
	}
	c.lastSweepAt = now
	for address, pools := range c.targets {
		if now.Sub(pools.lastUsedAt) > unusedTargetTTL {
			pools.closeIdle()
			delete(c.targets, address)
		}
	}
}

// exchange is one request to a target and its response. Send uses a second
// exchange to replace a silent or broken connection.
type exchange struct {
	client *Client
	target upstream.Target
	opt    Options
	pools  *connPools

	attempt         *attempt
	reused          atomic.Bool
	responseStarted atomic.Bool
	replaced        atomic.Bool // a second exchange replaces this one, which must not call Finished
	requireNewConn  bool        // pooled connections are refused
	body            *requestBody
	cancel          context.CancelCauseFunc // set before the request gets a connection
	windowDeadline  time.Time               // until when the target may leave a long body unread; zero: the body is not long
	restoreTimeout  func()                  // sets the user timeout of the connection again; nil: it is unchanged
}

// Send sends the request to the target and returns the response. URL.Path and
// URL.RawQuery of r name the resource; the address comes from the target. A body
// that can be replayed has GetBody set. The attempt ends when ctx ends.
//
// A response of up to MaxBuffered bytes is complete when Send returns, and the
// outcome is final. The outcome of a larger one has no kind yet: its body returns
// an error if the response is truncated, and Finished gets the outcome at its
// end. The body must be closed. If there is no valid response, the response is
// nil and the error gives the reason.
func (c *Client) Send(ctx context.Context, t upstream.Target, r *http.Request, opt Options) (*http.Response, owner.Outcome, error) {
	e := &exchange{client: c, target: t, opt: opt, pools: c.poolsFor(t.Address)}
	if !opt.Idempotent || opt.SilenceTimeout <= 0 || !replayable(r) {
		return e.send(ctx, r)
	}
	return e.sendWithReconnect(ctx, r)
}

func replayable(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.GetBody != nil
}

// send runs the exchange.
func (e *exchange) send(ctx context.Context, r *http.Request) (*http.Response, owner.Outcome, error) {
	e.attempt = &attempt{replayable: e.opt.Idempotent && replayable(r)}
	ctx, cancel := context.WithCancelCause(ctx)
	e.cancel = cancel
	out, err := e.newOutgoing(ctx, r)
	if err != nil {
		cancel(nil)
		return nil, owner.Outcome{Kind: owner.Canceled}, err
	}
	if deadline, ok := ctx.Deadline(); ok && isLong(out) {
		e.windowDeadline = deadline
	}
	resp, err := e.pools.transportFor(r, e.opt.Idempotent).RoundTrip(out)
	if e.restoreTimeout != nil {
		e.restoreTimeout()
	}
	if err == nil {
		err = e.checkHeader(r.Method, resp)
	}
	if err != nil {
		failed := e.failureOutcome(ctx, err)
		cancel(err)
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, failed, err
	}
	cleanResponseHeader(resp.Header)
	return e.receive(ctx, cancel, resp)
}

func (e *exchange) checkHeader(method string, resp *http.Response) error {
	if err := checkID(e.target, resp.Header, e.opt.RequestID); err != nil {
		return err
	}
	if !hasDefinedEnd(method, resp) {
		return ErrUndefinedEnd
	}
	return nil
}

func (e *exchange) failureOutcome(ctx context.Context, err error) owner.Outcome {
	sent := e.attempt.seal()
	o := owner.Outcome{BytesSent: sent, ServiceTime: e.serviceTime()}
	o.Kind = classifyError(ctx, err, sent, e.body.failed())
	return o
}

func (e *exchange) serviceTime() time.Duration {
	began := e.attempt.firstWriteAt.Load()
	if began == nil {
		return 0
	}
	return e.client.clock.Now().Sub(*began)
}
