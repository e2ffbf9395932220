// Package dispatch runs one request at the owner of its service: it claims the
// key of a non-idempotent request, waits for a slot, sends the request and
// decides what the caller is told.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/upstream"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
)

// Limits of request bodies, in bytes.
const (
	MaxKeyedBody    = 1 << 20  // body of a non-idempotent request
	MaxReplayedBody = 64 << 10 // body of an idempotent request that is kept for a retry
)

// Request is a request that has reached the owner of its service.
type Request struct {
	ID            string // X-Request-Id; the answer of the target must carry it
	Service       string
	Method        string
	URL           *url.URL // path below the service, and query
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // -1: unknown

	Plan              string
	HomeRegion        string // home region of the plan
	Weight            int
	Concurrency       int // 0: no limit
	RequestsPerSecond float64

	Route      string // as owner.Request.Route
	Idempotent bool
	Key        string // Idempotency-Key, as received
	Deadline   time.Time
}

func (r Request) ownerRequest() owner.Request {
	return owner.Request{
		ID:                r.ID,
		Plan:              r.Plan,
		Route:             r.Route,
		Weight:            r.Weight,
		Concurrency:       r.Concurrency,
		RequestsPerSecond: r.RequestsPerSecond,
		Deadline:          r.Deadline,
		Idempotent:        r.Idempotent,
	}
}

// Result is what the caller is told: a response of the target or a refusal.
type Result struct {
	Response     *http.Response // nil if Err is set; its body must be closed
	Err          *fault.Error
	ClaimChecked bool // Err says not-run, and the claim was held: Sequoialane-Claim-Checked
}

// Scheduler decides when and where attempts of a service run. It is
// implemented by Owned on top of owner.Service.
type Scheduler interface {
	// Submit queues a request, or refuses it at once.
	Submit(r owner.Request) (Ticket, *fault.Error)
	// Done ends an attempt. It must be called once for each grant.
	Done(g owner.Grant, o owner.Outcome)
	// Retry decides, after Done, whether one more grant will come.
	Retry(t Ticket, o owner.Outcome) bool
	// Hedge grants a second attempt if that harms nobody.
	Hedge(t Ticket) (owner.Grant, bool)
	// HedgeDelay returns how long an attempt may hear nothing before a new
	// connection or a hedge is tried.
	HedgeDelay(r owner.Request) time.Duration
}

// Ticket is a submitted request.
type Ticket interface {
	// Granted delivers grants. It is closed if the request is refused.
	Granted() <-chan owner.Grant
	// Err returns why the request was refused.
	Err() *fault.Error
	// Cancel drops the request if it is still queued, and gives back a grant
	// that was not received.
	Cancel()
}

// Sender sends one attempt; see upstreamclient.Client.
type Sender interface {
	Send(ctx context.Context, t upstream.Target, r *http.Request, opt upstreamclient.Options) (*http.Response, owner.Outcome, error)
}

var _ Sender = (*upstreamclient.Client)(nil)

func (r Request) claimRequest(digest [32]byte, attempt, holder string) claims.Request {
	return claims.Request{
		Plan:       r.Plan,
		HomeRegion: r.HomeRegion,
		Service:    r.Service,
		Key:        r.Key,
		Digest:     digest,
		Attempt:    attempt,
		Holder:     holder,
		Deadline:   r.Deadline,
	}
}
