// Package claims lets one attempt at a time run a non-idempotent request. A
// claim is agreed on by a majority of a claim group before the request is
// sent, so that a resend through any entry finds it.
package claims

import (
	"context"
	"net/http"
	"time"
)

// State is the result of a claim call.
type State string

// The states.
const (
	Granted   State = "granted"   // this attempt now holds the claim and may send
	Running   State = "running"   // another attempt holds the claim
	Completed State = "completed" // the request ran; the answer is kept if Answer.BodyOmitted is false
	Undecided State = "unknown"   // the request may have run and is never sent again
	Conflict  State = "conflict"  // the key was used for a request with other content
	Expired   State = "expired"   // the key is older than the retention time
	TooNew    State = "too_new"   // the key was created later than the clock error allows
	Released  State = "released"  // no attempt holds the claim, or this attempt has given it up
)

// Request names a claim and the attempt that makes it.
type Request struct {
	Plan       string
	HomeRegion string // home region of the plan; empty: all groups
	Service    string
	Key        string   // idempotency key, a UUID version 7
	Digest     [32]byte // SHA-256 of method, path and body
	Attempt    string   // unique for each attempt
	Holder     string   // name and incarnation of the entry that runs the attempt
	Deadline   time.Time
}

// Result is the state of a claim after a call.
type Result struct {
	State  State
	Holder string  // holder of a running claim
	Answer *Answer // set if State is Completed
}

// Answer is the answer of an upstream, kept for resends.
type Answer struct {
	Status      int
	Header      http.Header
	Body        []byte
	BodyOmitted bool // the body was larger than the limit and is not kept
}

// Client makes claims. All methods return an error if nothing is known about
// the outcome of the call; the caller must then treat the request as unknown.
// Complete, Release and MarkUnknown that returned an error are retried in the
// background. Once Release was called for an attempt, the attempt never gets
// the claim, whatever the order in which its calls arrive.
type Client interface {
	// Claim asks for the right to send. It never changes an existing claim.
	Claim(ctx context.Context, r Request) (Result, error)
	// Complete stores the answer of the attempt that holds the claim. It is
	// accepted for a running or unknown claim of the same attempt.
	Complete(ctx context.Context, r Request, a Answer) error
	// Release frees the key after an attempt that provably sent no byte.
	Release(ctx context.Context, r Request) error
	// MarkUnknown records that a byte was sent and no whole answer came. With
	// an empty Attempt it names the holder that membership found dead.
	MarkUnknown(ctx context.Context, r Request) error
	// Wait returns once the claim is no longer running, or with the running
	// claim when ctx ends. It never takes a claim: if the key is free, the
	// state is Released.
	Wait(ctx context.Context, r Request) (Result, error)
}

// Leases grants named rights for a limited time, each to one holder at most.
type Leases interface {
	// Acquire gets or renews the lease. The returned time is on the caller's
	// monotonic clock and is never later than the group's own expiry.
	Acquire(ctx context.Context, region, name, holder string, ttl time.Duration) (until time.Time, ok bool, err error)
}
