// Package owner schedules the requests of one service in one region. It holds
// the targets, their health, the queue and the slots. The entry that owns the
// service decides for all requests to the service in the region. It is used by
// sequoialane-entry; package pool does this in sequoialane-platform.
package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Request holds the properties of a request that scheduling depends on.
type Request struct {
	ID                string
	Plan              string
	Route             string // method and route prefix; request times are learned per route
	Weight            int    // weight of the plan
	Concurrency       int    // concurrency limit of the entitlement; 0: none
	RequestsPerSecond float64
	Deadline          time.Time
	Idempotent        bool
}

// Grant is the right to send one attempt to a target.
type Grant struct {
	Target    upstream.Target
	AttemptID uint64
	Trial     bool // the attempt is a trial of an ejected target
}

// OutcomeKind is how an attempt ended.
type OutcomeKind string

// The kinds of outcome.
const (
	OK            OutcomeKind = "ok"
	UpstreamError OutcomeKind = "upstream_error" // complete response with status 500 or above that is not Shed
	Shed          OutcomeKind = "shed"           // the target rejected the request because it is full
	ConnectFailed OutcomeKind = "connect_failed" // no byte of the request was sent
	Timeout       OutcomeKind = "timeout"        // no complete response within the time limit
	Truncated     OutcomeKind = "truncated"      // the response ended early
	WrongID       OutcomeKind = "wrong_id"       // the response belongs to another request
	Canceled      OutcomeKind = "canceled"       // ended by the fleet; no evidence about the target
)

// Outcome is the result of an attempt.
type Outcome struct {
	Kind        OutcomeKind
	ServiceTime time.Duration // from the first byte sent to the last byte received
	BytesSent   bool          // at least one byte of the request may have reached the target
	NotRun      bool          // the target states that it did not run the request
	Leaving     bool          // the target states that it is about to stop
	RetryAfter  time.Duration // the target wants no request for so long; 0: not stated
}
