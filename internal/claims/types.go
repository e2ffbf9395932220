// Package claims ensures that at most one attempt at a time sends a
// non-idempotent request. An attempt claims the idempotency key of the request
// before it sends. A claim is committed by a majority of the members of a claim
// group, so a resend of the request through any entry finds it.
package claims

import (
	"context"
	"net/http"
	"time"
)

// State is the result of a claim call.
type State string

// States of a claim call.
const (
	Granted   State = "granted"   // this attempt holds the claim and may send the request
	Running   State = "running"   // another attempt holds the claim
	Completed State = "completed" // the request ran; its answer is stored unless Answer.BodyOmitted is set
	Unknown   State = "unknown"   // the request may have run and must not be sent again
	Conflict  State = "conflict"  // the key was used for a request with different content
	Expired   State = "expired"   // the key is older than the retention time
	TooNew    State = "too_new"   // the key was created further in the future than the clock error allows
	Released  State = "released"  // no attempt holds the claim, or this attempt has released it
)

// Request identifies a claim and the attempt that makes it.
type Request struct {
	Plan       string
	HomeRegion string // home region of the plan; if empty, all groups are eligible
	Service    string
	Key        string   // idempotency key, a UUID version 7
	Digest     [32]byte // SHA-256 of the method, path and body of the request
	Attempt    string   // unique ID of the attempt
	Holder     string   // entry name and incarnation that run the attempt; see HolderName
	Deadline   time.Time
}

// Result is the outcome of a claim call.
type Result struct {
	State  State
	Holder string  // holder of a running claim
	Answer *Answer // set if State is Completed
}

// Answer is the HTTP response of an upstream, stored for resends.
type Answer struct {
	Status      int
	Header      http.Header
	Body        []byte
	BodyOmitted bool // the body was not stored, or was dropped later, because of a size limit
}

// Client makes claims. All methods return an error if the outcome of the call
// is not known; the caller must then treat the request as unknown. Calls of
// Complete, Release and MarkUnknown whose outcome is not known are retried in
// the background. After Release was called for an attempt, the attempt is never
// granted the claim, in whatever order its calls arrive.
type Client interface {
	// Claim requests the right to send. It never changes an existing claim.
	Claim(ctx context.Context, r Request) (Result, error)
	// Complete stores the answer of the attempt that holds the claim. It is
	// accepted for a running or unknown claim of the same attempt.
	Complete(ctx context.Context, r Request, a Answer) error
	// Release frees the key after an attempt that is known to have sent no byte.
	Release(ctx context.Context, r Request) error
	// MarkUnknown records that a byte was sent but no complete response was
	// received. With an empty Attempt it applies to the running claim of Holder,
	// which membership reports as dead.
	MarkUnknown(ctx context.Context, r Request) error
	// Wait blocks until the claim is no longer running. If ctx ends first, it
	// returns the running claim. It never takes a claim: if the key is free,
	// the state is Released.
	Wait(ctx context.Context, r Request) (Result, error)
}

// Leases grants named, time-limited leases, each to at most one holder.
type Leases interface {
	// Acquire acquires or renews the lease. The returned expiry is on the
	// caller's monotonic clock and is never later than the expiry that the group
	// applies. ok is false if the group refused the lease.
	Acquire(ctx context.Context, region, name, holder string, ttl time.Duration) (until time.Time, ok bool, err error)
}
