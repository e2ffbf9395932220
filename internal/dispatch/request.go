// Package dispatch runs requests on the entry that owns their service. It claims
// the idempotency key of a non-idempotent request, waits for a slot, sends the
// request to a target with retries and hedges, and determines the response or
// error for the caller. It is used by sequoialane-entry; package gateway does this
// in sequoialane-platform.
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
	MaxReplayedBody = 64 << 10 // body of an idempotent request that is buffered for retries
)

// Request is a request that has reached the owner of its service.
type Request struct {
	ID            string // X-Request-Id; the response of the target must carry it
	Service       string
	Method        string
	URL           *url.URL // path below that of the service, and query
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // -1: unknown

	Plan              string
	HomeRegion        string // home region of the plan
	Weight            int
	Concurrency       int // 0: no limit
	RequestsPerSecond float64

	Route      string // see owner.Request.Route
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

// Result is the response of a target, or the error, for the caller.
type Result struct {
	Response     *http.Response // nil if Err is set; its body must be closed
	Err          *fault.Error
	ClaimChecked bool // Err states not-run while the claim was held; sets the header Sequoialane-Claim-Checked
}

// Scheduler decides when and on which target the attempts of a service run.
// NewScheduler returns the implementation by owner.Service.
type Scheduler interface {
	// Submit queues a request, or rejects it immediately with an error.
	Submit(r owner.Request) (Ticket, *fault.Error)
	// EndAttempt ends an attempt. It must be called once for each grant.
	EndAttempt(g owner.Grant, o owner.Outcome)
	// Retry decides after EndAttempt whether the request gets another grant.
	Retry(t Ticket, o owner.Outcome) bool
	// Hedge grants a second attempt if no other request is delayed by it.
	Hedge(t Ticket) (owner.Grant, bool)
	// HedgeDelay returns how long an attempt may receive nothing before a new
	// connection or a hedge is tried.
	HedgeDelay(r owner.Request) time.Duration
}

// Ticket is a submitted request.
type Ticket interface {
	// Granted delivers the grants. It is closed if the request is rejected.
	Granted() <-chan owner.Grant
	// Err returns the reason why the request was rejected.
	Err() *fault.Error
	// Cancel removes the request from the queue and releases a grant that was
	// not received.
	Cancel()
}

// Sender sends one attempt to a target; see upstreamclient.Client.
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
