// Package pool decides which target of a service runs a request. A pool is the
// aggregate of one service in one region. It estimates for each target how
// likely the next request on it fails, from the outcomes of the requests that
// it granted, and gives each request the target with the lowest expected cost.
package pool

import (
	"errors"
	"time"
)

// ErrBusy says that no target could take the request in time. It was sent to
// none by this grant.
var ErrBusy = errors.New("pool: all targets are busy")

// ErrNoTarget says that the pool knows no target that may get the request.
var ErrNoTarget = errors.New("pool: no target")

// ErrBudget says that the share of repeated requests is used up.
var ErrBudget = errors.New("pool: the budget for repeated requests is used up")

// Sender is the process that sends a request to its target.
type Sender struct {
	Entry       string `json:"entry"` // name
	Incarnation uint64 `json:"incarnation"`
}

// Request is what the pool knows of a request.
type Request struct {
	ID         string        `json:"id"`
	Class      string        `json:"class"`       // route, for which durations are learned
	Repeatable bool          `json:"repeatable"`  // after a failure it may go to another target
	Priority   int           `json:"priority"`    // 0 is the most urgent
	Bytes      int           `json:"bytes"`       // of the body
	Objective  time.Duration `json:"objective"`   // time left in which an answer is good
	TimeLeft   time.Duration `json:"time_left"`   // until the final answer is due
	DataCentre string        `json:"data_centre"` // of the entry that sends it
	Sender     Sender        `json:"sender"`
	Tried      []string      `json:"tried,omitempty"`  // ids of targets that it was sent to
	Settle     bool          `json:"settle,omitempty"` // its wait ends: any free target is better than none
	Repeat     bool          `json:"repeat,omitempty"` // a target was reached before, so the retry budget applies
}

// Grant allows to send the request to a target once.
type Grant struct {
	Lease   uint64 `json:"lease"`
	Target  string `json:"target"` // id
	Address string `json:"address"`
	// HedgeAfter is the time without an answer after which a repeatable request
	// should also be sent to another target.
	HedgeAfter time.Duration `json:"hedge_after"`
	Risk       float64       `json:"risk"` // estimated chance of failure
}

// OutcomeKind says how an attempt ended.
type OutcomeKind string

// The kinds of outcomes.
const (
	OK            OutcomeKind = "ok"
	Failed        OutcomeKind = "failed"         // the target answered that it failed
	Reset         OutcomeKind = "reset"          // the connection ended without an answer
	NoAnswer      OutcomeKind = "no_answer"      // the time ran out
	Broken        OutcomeKind = "broken"         // the answer was incomplete or not one to this request
	ConnectFailed OutcomeKind = "connect_failed" // no connection, so nothing was sent
	Shed          OutcomeKind = "shed"           // the target did not run it since it is full
	Misdirected   OutcomeKind = "misdirected"    // another target has the address
	Canceled      OutcomeKind = "canceled"       // given up by the sender
	Unsent        OutcomeKind = "unsent"         // the grant was not used
)

// Outcome is what the sender learned from an attempt.
type Outcome struct {
	Kind OutcomeKind   `json:"kind"`
	Took time.Duration `json:"took"`
	Load *Load         `json:"load,omitempty"` // nil: the target did not tell
}

// Load is what a target says of itself with an answer.
type Load struct {
	Running int `json:"running"` // requests, from all senders
	Waiting int `json:"waiting"`
}

// Settings of a pool.
type Settings struct {
	// RetryRatio is the share of requests that may be sent once more, and
	// RetrySlack the number on top of it, in each window of RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// FloorShare is the share of sound targets that get requests while many fail.
	FloorShare float64
}

// DefaultSettings returns the settings of a pool that stands alone.
func DefaultSettings() Settings {
	return Settings{RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * time.Second, FloorShare: 0.5}
}
