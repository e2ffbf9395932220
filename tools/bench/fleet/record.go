package fleet

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Result is the final state of a request, or Pending.
type Result int

// The results.
const (
	Pending  Result = iota
	InTime          // answered within the deadline
	Late            // answered after the deadline
	Failed          // error after an attempt, or no response by the deadline
	Rejected        // rejected without an attempt
)

// RequestRecord is the result of one request.
type RequestRecord struct {
	Request *Request
	Result  Result
	Latency time.Duration // from the arrival to the response or error
}

// Action is an action that the owner took on a target, such as a probe or an
// ejection.
type Action struct {
	Kind   owner.ActionKind
	Target int
	At     time.Duration
	Faulty bool // the target had a scheduled fault at that time or up to faultMargin before
}

// Record collects the results of a run.
type Record struct {
	start         time.Time
	Requests      map[*Request]*RequestRecord
	Actions       []Action
	ProbeTime     time.Duration // service time spent on probes
	TotalSlotTime time.Duration // duration of the run times the number of slots
}

// faultMargin is how long after the end of a fault an ejection still counts as
// caused by it.
const faultMargin = 2 * time.Second

// NewRecord returns an empty record of a run that starts at start.
func NewRecord(start time.Time) *Record {
	return &Record{start: start, Requests: map[*Request]*RequestRecord{}}
}

// AddRequest records an arrival.
func (r *Record) AddRequest(req *Request) { r.Requests[req] = &RequestRecord{Request: req} }

// IsPending reports whether the request has no result yet.
func (r *Record) IsPending(req *Request) bool { return r.Requests[req].Result == Pending }

// Respond records a response, as Late if it is after the deadline. Like Fail and
// Reject, it has no effect on a request that already has a result.
func (r *Record) Respond(req *Request, now time.Time) {
	if now.After(req.Deadline) {
		r.finish(req, Late, now)
		return
	}
	r.finish(req, InTime, now)
}

// Fail records an error.
func (r *Record) Fail(req *Request, now time.Time) { r.finish(req, Failed, now) }

// Reject records a rejection.
func (r *Record) Reject(req *Request, now time.Time) { r.finish(req, Rejected, now) }

func (r *Record) finish(req *Request, result Result, now time.Time) {
	e := r.Requests[req]
	if e.Result != Pending {
		return
	}
	e.Result = result
	e.Latency = now.Sub(req.Arrived)
}

// AddAction records an action that the owner took on a target.
func (r *Record) AddAction(kind owner.ActionKind, target int, now time.Time, faults Faults) {
	at := now.Sub(r.start)
	r.Actions = append(r.Actions, Action{kind, target, at, faults.ScheduledAt(target, at, faultMargin)})
}
