// Package owner is the aggregate of one service in one region: its targets,
// their health, the queue and the slots. Its owner among the entries decides
// for all requests of the service in the region.
package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Request is what the aggregate needs to know of a request.
type Request struct {
	ID                string
	Plan              string
	Route             string // method and route prefix; size classes are learned for each
	Weight            int    // weight of the plan
	Concurrency       int    // limit of the entitlement; 0: none
	RequestsPerSecond float64
	Deadline          time.Time
	Idempotent        bool
}

// Grant is the right to send one attempt to a target.
type Grant struct {
	Target  upstream.Target
	Attempt uint64
	Trial   bool // the attempt tests a target that returns from ejection
}

// OutcomeKind tells how an attempt ended.
type OutcomeKind string

// The kinds of outcome.
const (
	OK            OutcomeKind = "ok"
	UpstreamError OutcomeKind = "upstream_error" // whole answer with status 500 or above, not a shed one
	Shed          OutcomeKind = "shed"           // the target refused for lack of capacity
	ConnectFailed OutcomeKind = "connect_failed" // no byte was sent
	Timeout       OutcomeKind = "timeout"        // no whole answer within the time limit
	Truncated     OutcomeKind = "truncated"      // the answer broke off
	WrongID       OutcomeKind = "wrong_id"       // the answer belongs to another request
	Canceled      OutcomeKind = "canceled"       // ended by us; says nothing about the target
)

// Outcome is the end of an attempt.
type Outcome struct {
	Kind        OutcomeKind
	ServiceTime time.Duration // from the first byte sent to the last byte received
	BytesSent   bool          // at least one byte of the request may have reached the target
	NotRun      bool          // the target says that the request did not run
}
