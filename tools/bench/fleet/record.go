package fleet

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Result is what became of a request.
type Result int

// The results.
const (
	Pending Result = iota
	InTime         // answered within the deadline
	Late           // answered after the deadline
	Failed         // an error after an attempt, or no answer
	Refused        // refused without an attempt
)

// Entry is the record of one request.
type Entry struct {
	Request *Request
	Result  Result
	Took    time.Duration // until the caller heard
}

// Change is a change of the health state of a target.
type Change struct {
	Kind   owner.ActionKind
	Target int
	At     time.Duration
	Faulty bool // a fault was planned for the time
}

// Record collects the results of a run.
type Record struct {
	start     time.Time
	Entries   map[*Request]*Entry
	Changes   []Change
	ProbeTime time.Duration // slot time of probes
	SlotTime  time.Duration // of all slots
}

// faultMargin is how long after the end of a fault an ejection still counts as
// one of its consequences.
const faultMargin = 2 * time.Second

// NewRecord returns an empty record of a run that starts at the time.
func NewRecord(start time.Time) *Record {
	return &Record{start: start, Entries: map[*Request]*Entry{}}
}

// Offer notes an arrival.
func (r *Record) Offer(q *Request) { r.Entries[q] = &Entry{Request: q} }

// Open reports whether the caller waits.
func (r *Record) Open(q *Request) bool { return r.Entries[q].Result == Pending }

// Answer notes a response.
func (r *Record) Answer(q *Request, now time.Time) {
	if now.After(q.Deadline) {
		r.end(q, Late, now)
		return
	}
	r.end(q, InTime, now)
}

// Fail notes an error.
func (r *Record) Fail(q *Request, now time.Time) { r.end(q, Failed, now) }

// Refuse notes a refusal.
func (r *Record) Refuse(q *Request, now time.Time) { r.end(q, Refused, now) }

func (r *Record) end(q *Request, result Result, now time.Time) {
	e := r.Entries[q]
	if e.Result != Pending {
		return
	}
	e.Result = result
	e.Took = now.Sub(q.Arrived)
}

// Event notes a change of the health state of a target.
func (r *Record) Event(kind owner.ActionKind, target int, now time.Time, faults Faults) {
	at := now.Sub(r.start)
	r.Changes = append(r.Changes, Change{kind, target, at, faults.Within(target, at, faultMargin)})
}
