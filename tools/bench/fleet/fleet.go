// Package fleet defines the types that the engines and the policies of the
// bench share: the load, the faults, the record of a run and the interface
// between an engine and a policy.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Request is one request of the generated load.
type Request struct {
	ID          int
	Plan        string
	Weight      int
	Route       string
	Long        bool          // sent to the route with long service times
	Straggler   bool          // takes many times longer than the other requests of its route
	ServiceTime time.Duration // on a healthy target
	Idempotent  bool
	Entry       int           // index of the entry that receives it
	Offset      time.Duration // from the start of the run to the arrival
	Timeout     time.Duration // from the arrival to the deadline
	Arrived     time.Time
	Deadline    time.Time
}

// FaultKind is the kind of a target fault.
type FaultKind string

// The kinds of fault.
const (
	NoFault    FaultKind = ""
	Slow       FaultKind = "slow_10x"
	HalfErrors FaultKind = "half_errors"
	Silent     FaultKind = "silent"
	Flapping   FaultKind = "flapping" // alternates between silent and healthy every FlapPeriod
	OneWay     FaultKind = "one_way"  // responses to the owner do not arrive while the fault lasts; other entries receive theirs
)

// Parameters of the faults.
const (
	SlowFactor      = 10
	ErrorRate       = 0.5
	ErrorTimeFactor = 0.1 // an error is returned after this fraction of the service time
	FlapPeriod      = 3 * time.Second
)

// Fault is a fault of one target from From until To, both counted from the start
// of the run.
type Fault struct {
	Target   int
	Kind     FaultKind
	From, To time.Duration
}

// Faults is the fault schedule of a run.
type Faults []Fault

// At returns the fault of the target at the given time. For a flapping target it
// returns Silent or NoFault, depending on the current period.
func (f Faults) At(target int, at time.Duration) FaultKind {
	for _, fault := range f {
		if fault.Target != target || at < fault.From || at >= fault.To {
			continue
		}
		if fault.Kind != Flapping {
			return fault.Kind
		}
		if (at-fault.From)/FlapPeriod%2 == 0 {
			return Silent
		}
		return NoFault
	}
	return NoFault
}

// EndsAt returns the end of the fault that the target has at the given time, which
// is the end of the current period for a flapping target. Without a fault it
// returns the given time.
func (f Faults) EndsAt(target int, at time.Duration) time.Duration {
	for _, fault := range f {
		if fault.Target != target || at < fault.From || at >= fault.To {
			continue
		}
		if fault.Kind != Flapping {
			return fault.To
		}
		period := (at-fault.From)/FlapPeriod + 1
		return min(fault.From+period*FlapPeriod, fault.To)
	}
	return at
}

// ScheduledAt reports whether the target has a scheduled fault at the given time,
// or had one that ended less than margin before.
func (f Faults) ScheduledAt(target int, at, margin time.Duration) bool {
	for _, fault := range f {
		if fault.Target == target && at >= fault.From && at < fault.To+margin {
			return true
		}
	}
	return false
}

// Spec describes the service under load.
type Spec struct {
	Name             string
	Targets          int
	Slots            int // per target
	Entries          int
	ProbeServiceTime time.Duration
	ProbeWithoutSlot bool // targets answer probes without using a slot
}

// Environment is the interface that an engine offers to a policy. Calls in both
// directions are serialised, and no method of Environment calls back into the
// policy before it returns.
type Environment interface {
	Now() time.Time
	Rand() *rand.Rand
	Spec() Spec
	// Send starts an attempt. It calls done once, unless the attempt is cancelled
	// or the run ends before.
	Send(r *Request, target int, done func(owner.Outcome)) (cancel func())
	// Probe sends a probe to the target, from another entry if peer is set. It calls
	// done once.
	Probe(target int, peer bool, timeout time.Duration, done func(owner.Outcome))
	After(d time.Duration, f func())
	Respond(r *Request) // sends the response to the caller
	Fail(r *Request)    // sends an error to the caller after an attempt or at the deadline
	Reject(r *Request)  // sends an error to the caller without an attempt
	// RecordAction adds an action of the owner to the record of the run.
	RecordAction(kind owner.ActionKind, target int)
}

// Policy decides which target each request is sent to, and when.
type Policy interface {
	Start(env Environment)
	OnArrival(r *Request)
	// OnDeadline is called when the deadline of an unanswered request has passed.
	OnDeadline(r *Request)
}
