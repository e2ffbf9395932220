// Package upstreamclient sends one attempt of a request to a target. It tells
// whether any byte of the request was written, whether the answer is whole and
// whether it belongs to the request.
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

// MaxBuffered is the size in bytes up to which an answer is read whole before
// Send returns.
const MaxBuffered = 64 << 10

// unusedLimit is how long the connections of a target that gets no requests
// are kept.
const unusedLimit = time.Minute

// Options of an attempt.
type Options struct {
	RequestID  string
	Idempotent bool
	Deadline   time.Time     // passed on to the target; zero: none
	Quiet      time.Duration // idempotent only: silence on a reused connection after which a new one is tried; 0: off
	// Finished is called once at the end of an answer that Send returned
	// before its end. It may be nil.
	Finished func(owner.Outcome)
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	clock sys.Clock

	mu      sync.Mutex
	targets map[string]*connections // by address
	swept   time.Time
}

// New returns a client without connections.
func New(clock sys.Clock) *Client {
	return &Client{clock: clock, targets: map[string]*connections{}, swept: clock.Now()}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.targets {
		conns.closeIdle()
	}
	c.targets = map[string]*connections{}
}

func (c *Client) connections(address string) *connections {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.sweep(now)
	conns := c.targets[address]
	if conns == nil {
		conns = newConnections(c.clock)
		c.targets[address] = conns
	}
	conns.lastUsed = now
	return conns
}

// sweep forgets targets that got no request for a while.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < unusedLimit {
		return
	}
	c.swept = now
	for address, conns := range c.targets {
		if now.Sub(conns.lastUsed) > unusedLimit {
			conns.closeIdle()
			delete(c.targets, address)
		}
	}
}

// sending is the state of one Send.
type sending struct {
	client *Client
	target upstream.Target
	opt    Options
	conns  *connections

	attempt   *attempt
	reused    atomic.Bool
	answering atomic.Bool
	replaced  atomic.Bool // a new connection takes over; this exchange reports nothing
	fresh     bool        // only a new connection will do
	body      *requestBody
	cancel    context.CancelCauseFunc // set before the request gets a connection
}

// Send sends the request to the target and returns its answer. URL.Path and
// URL.RawQuery of r name the resource; the address comes from the target. A
// body that can be replayed has GetBody set. ctx ends the attempt.
//
// An answer of up to MaxBuffered bytes is whole when Send returns, and the
// outcome is final. For a larger one the outcome has no kind yet: its body
// returns an error if it breaks off, and Finished gets the outcome at its end.
// The body must be closed. Without a whole answer, the response is nil and
// the error tells why.
func (c *Client) Send(ctx context.Context, t upstream.Target, r *http.Request, opt Options) (*http.Response, owner.Outcome, error) {
	s := &sending{client: c, target: t, opt: opt, conns: c.connections(t.Address)}
	if !opt.Idempotent || opt.Quiet <= 0 || !replayable(r) {
		return s.try(ctx, r)
	}
	return s.tryQuiet(ctx, r)
}

func replayable(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.GetBody != nil
}

// try runs one exchange.
func (s *sending) try(ctx context.Context, r *http.Request) (*http.Response, owner.Outcome, error) {
	s.attempt = &attempt{replayable: s.opt.Idempotent && replayable(r)}
	ctx, cancel := context.WithCancelCause(ctx)
	s.cancel = cancel
	out, err := s.outgoing(ctx, r)
	if err != nil {
		cancel(nil)
		return nil, owner.Outcome{Kind: owner.Canceled}, err
	}
	resp, err := s.conns.pool(r, s.opt.Idempotent).RoundTrip(out)
	if err == nil {
		err = s.checkHeader(r.Method, resp)
	}
	if err != nil {
		failed := s.failure(ctx, err)
		cancel(err)
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, failed, err
	}
	inbound(resp.Header)
	return s.receive(ctx, cancel, resp)
}

func (s *sending) checkHeader(method string, resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errUpgrade
	}
	if err := checkID(s.target, resp.Header, s.opt.RequestID); err != nil {
		return err
	}
	if !sized(method, resp) {
		return ErrUnsized
	}
	return nil
}

func (s *sending) failure(ctx context.Context, err error) owner.Outcome {
	sent := s.attempt.seal()
	o := owner.Outcome{BytesSent: sent, ServiceTime: s.serviceTime()}
	o.Kind = classifyError(ctx, err, sent, s.body.failed())
	return o
}

func (s *sending) serviceTime() time.Duration {
	began := s.attempt.began.Load()
	if began == nil {
		return 0
	}
	return s.client.clock.Now().Sub(*began)
}
