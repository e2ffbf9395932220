// Package fault defines the errors that callers and operators see: the closed list
// of error kinds, and the HTTP response for each kind.
package fault

import "net/http"

// Kind identifies an error. No kinds exist besides those in this file.
type Kind string

// The error kinds.
const (
	BadRequest         Kind = "bad_request"
	KeyRequired        Kind = "key_required"
	KeyInvalid         Kind = "key_invalid"
	Unauthorized       Kind = "unauthorized"
	NotEntitled        Kind = "not_entitled"
	UnknownService     Kind = "unknown_service"
	NotFound           Kind = "not_found"
	SlowSender         Kind = "slow_sender"
	VersionConflict    Kind = "version_conflict"
	StillRunning       Kind = "still_running"
	KeyExpired         Kind = "key_expired"
	AnswerNotKept      Kind = "answer_not_kept"
	BodyTooLarge       Kind = "body_too_large"
	KeyConflict        Kind = "key_conflict"
	InvalidChange      Kind = "invalid_change"
	HeaderTooLarge     Kind = "header_too_large"
	RateLimited        Kind = "rate_limited"
	Internal           Kind = "internal"
	UpstreamFailed     Kind = "upstream_failed"
	OutcomeUnknown     Kind = "outcome_unknown"
	Overloaded         Kind = "overloaded"
	NoUpstream         Kind = "no_upstream"
	Isolated           Kind = "isolated"
	Draining           Kind = "draining"
	OwnerUnreachable   Kind = "owner_unreachable"
	ControlUnavailable Kind = "control_unavailable"
	ClaimsUnavailable  Kind = "claims_unavailable"
	DeadlineExceeded   Kind = "deadline_exceeded"
	CommitUnknown      Kind = "commit_unknown"
)

// Effect states what is known about the effect of a request that got an error.
type Effect string

// The effects.
const (
	NotRun  Effect = "not-run" // the request did not and will not take effect
	Unknown Effect = "unknown" // the request may have taken effect
	Ran     Effect = "ran"     // the request took effect
)

// Response holds the properties of the HTTP response for a kind.
type Response struct {
	Status    int    // HTTP status code
	Effect    Effect // default effect; an Error may have a less certain one
	Retryable bool   // whether a later retry of the same request may succeed
}

var responses = map[Kind]Response{
	BadRequest:         {http.StatusBadRequest, NotRun, false},
	KeyRequired:        {http.StatusBadRequest, NotRun, false},
	KeyInvalid:         {http.StatusBadRequest, NotRun, false},
	Unauthorized:       {http.StatusUnauthorized, NotRun, false},
	NotEntitled:        {http.StatusForbidden, NotRun, false},
	UnknownService:     {http.StatusNotFound, NotRun, false},
	NotFound:           {http.StatusNotFound, NotRun, false},
	SlowSender:         {http.StatusRequestTimeout, NotRun, true},
	VersionConflict:    {http.StatusConflict, NotRun, false},
	StillRunning:       {http.StatusConflict, Unknown, true},
	KeyExpired:         {http.StatusConflict, Unknown, false},
	AnswerNotKept:      {http.StatusConflict, Ran, false},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, NotRun, false},
	KeyConflict:        {http.StatusUnprocessableEntity, NotRun, false},
	InvalidChange:      {http.StatusUnprocessableEntity, NotRun, false},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, NotRun, false},
	RateLimited:        {http.StatusTooManyRequests, NotRun, true},
	Internal:           {http.StatusInternalServerError, Unknown, false},
	UpstreamFailed:     {http.StatusBadGateway, Unknown, true},
	OutcomeUnknown:     {http.StatusBadGateway, Unknown, false},
	Overloaded:         {http.StatusServiceUnavailable, NotRun, true},
	NoUpstream:         {http.StatusServiceUnavailable, NotRun, true},
	Isolated:           {http.StatusServiceUnavailable, NotRun, true},
	Draining:           {http.StatusServiceUnavailable, NotRun, true},
	OwnerUnreachable:   {http.StatusServiceUnavailable, NotRun, true},
	ControlUnavailable: {http.StatusServiceUnavailable, NotRun, true},
	ClaimsUnavailable:  {http.StatusServiceUnavailable, Unknown, true},
	DeadlineExceeded:   {http.StatusGatewayTimeout, Unknown, true},
	CommitUnknown:      {http.StatusGatewayTimeout, Unknown, true},
}

// ResponseOf returns the response properties of a kind. It panics for an unknown
// kind, which is a programming error.
func ResponseOf(kind Kind) Response {
	r, ok := responses[kind]
	if !ok {
		panic("fault: unknown error kind: " + string(kind))
	}
	return r
}

// Valid reports whether the kind is one of the kinds of this package.
func (k Kind) Valid() bool {
	_, ok := responses[k]
	return ok
}
