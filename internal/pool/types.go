// Package pool selects the target of a service that runs a request. A pool serves
// the requests for one service from one region. It estimates the failure
// probability of each target from the outcomes of the requests it granted, and
// grants each request the target with the lowest expected cost. It is used by
// sequoialane-platform; package owner does this in sequoialane-entry.
package pool

import (
	"errors"
	"time"
)

// ErrBusy is returned when no target had capacity within the maximum wait. This
// attempt was not sent.
var ErrBusy = errors.New("pool: all targets are busy")

// ErrNoTarget is returned when the pool has no eligible target for the request.
var ErrNoTarget = errors.New("pool: no eligible target")

// ErrBudget is returned when the retry budget is exhausted.
var ErrBudget = errors.New("pool: the budget for repeated requests is used up")

// Sender identifies the entry process that sends a request to its target.
type Sender struct {
	Entry       string `json:"entry" cbor:"1,keyasint"` // name
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// Request holds the properties of a request that target selection depends on.
type Request struct {
	ID         string        `json:"id" cbor:"1,keyasint"`
	Route      string        `json:"class" cbor:"2,keyasint"`       // mean durations are kept per route
	Retryable  bool          `json:"repeatable" cbor:"3,keyasint"`  // may be sent to another target after a failure
	Priority   int           `json:"priority" cbor:"4,keyasint"`    // 0 is the most urgent
	Bytes      int           `json:"bytes" cbor:"5,keyasint"`       // of the body
	Objective  time.Duration `json:"objective" cbor:"6,keyasint"`   // time left until the latency objective
	TimeLeft   time.Duration `json:"time_left" cbor:"7,keyasint"`   // until the deadline of the final response
	DataCentre string        `json:"data_centre" cbor:"8,keyasint"` // of the sending entry
	Sender     Sender        `json:"sender" cbor:"9,keyasint"`
	Tried      []string      `json:"tried,omitempty" cbor:"10,keyasint,omitempty"`   // ids of targets of earlier attempts
	AcceptAny  bool          `json:"settle,omitempty" cbor:"11,keyasint,omitempty"`  // the wait is about to end: accept any target with capacity
	Avoid      []string      `json:"avoid,omitempty" cbor:"13,keyasint,omitempty"`   // ids of targets that want no request of the sender now
	IsRetry    bool          `json:"repeat,omitempty" cbor:"12,keyasint,omitempty"`  // an earlier attempt was sent, so the retry budget applies
	Call       uint64        `json:"call,omitempty" cbor:"14,keyasint,omitempty"`    // of the calls of the sender, the one for this grant; 0: it cannot be withdrawn
	Tenant     string        `json:"tenant,omitempty" cbor:"15,keyasint,omitempty"`  // empty: the request carries no key
	Charged    bool          `json:"charged,omitempty" cbor:"16,keyasint,omitempty"` // the request has had an earlier grant, which counts
	Path       uint32        `json:"path,omitempty" cbor:"17,keyasint,omitempty"`    // hash of the path segment after the prefix of the route; 0: none
	// Weight is the weight of the tenant in the order of waiting requests; 0 counts as
	// 1. It is not sent to other processes.
	Weight float64 `json:"-" cbor:"-"`
}

// LeaseTime returns for how long the grant of the request lasts at most.
func (r Request) LeaseTime() time.Duration { return min(r.TimeLeft, maxLeaseTime) + leaseGrace }

func (r Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// Grant permits one attempt of a request on a target.
type Grant struct {
	LeaseID uint64 `json:"lease" cbor:"1,keyasint"`
	Target  string `json:"target" cbor:"2,keyasint"` // id
	Address string `json:"address" cbor:"3,keyasint"`
	// HedgeDelay is the time without a response after which a retryable request
	// should be hedged on another target.
	HedgeDelay time.Duration `json:"hedge_after" cbor:"4,keyasint"`
	Risk       float64       `json:"risk" cbor:"5,keyasint"` // estimated failure probability
	// RunTime is the expected run time on the target; 0: not known.
	RunTime time.Duration `json:"run_time,omitempty" cbor:"6,keyasint,omitempty"`
}

// OutcomeKind classifies how an attempt ended.
type OutcomeKind string

// The kinds of outcomes.
const (
	OK              OutcomeKind = "ok"
	Failed          OutcomeKind = "failed"         // the target sent an error response
	Reset           OutcomeKind = "reset"          // the connection was closed without a response
	Timeout         OutcomeKind = "no_answer"      // timed out
	InvalidResponse OutcomeKind = "broken"         // the response was truncated or belongs to another request
	ConnectFailed   OutcomeKind = "connect_failed" // no connection was established, so nothing was sent
	Shed            OutcomeKind = "shed"           // the target rejected the request because it is full
	Postponed       OutcomeKind = "postponed"      // the target wants no request of the sender for some time
	Misdirected     OutcomeKind = "misdirected"    // a different target responds at the address
	Canceled        OutcomeKind = "canceled"       // cancelled by the sender
	Unsent          OutcomeKind = "unsent"         // the grant was not used
)

// Outcome is the result of an attempt as reported by its sender.
type Outcome struct {
	Kind    OutcomeKind   `json:"kind" cbor:"1,keyasint"`
	Took    time.Duration `json:"took" cbor:"2,keyasint"`
	Leaving bool          `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"` // the target is about to stop
	Load    *Load         `json:"load,omitempty" cbor:"3,keyasint,omitempty"`    // nil: not reported by the target
	Bytes   int64         `json:"bytes,omitempty" cbor:"5,keyasint,omitempty"`   // of the response body; 0: not known
}

// Load is the load that a target reports with a response.
type Load struct {
	Running int `json:"running" cbor:"1,keyasint"` // requests from all senders
	Waiting int `json:"waiting" cbor:"2,keyasint"`
}

// Settings of a pool.
type Settings struct {
	// RetryRatio is the ratio of retries to requests allowed in a sliding window of
	// RetryWindow, over all pools of the same requests. RetrySlack is the number of
	// retries allowed on top.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// FloorShare is the minimum share of healthy targets that keep receiving
	// requests, also while many targets fail.
	FloorShare float64
	// UniformCost makes the pool expect the same cost of all requests of a route,
	// and compare targets by the number of their requests.
	UniformCost bool
}

// DefaultSettings returns the settings of a pool that has no settings file.
func DefaultSettings() Settings {
	return Settings{RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * time.Second, FloorShare: 0.5}
}
