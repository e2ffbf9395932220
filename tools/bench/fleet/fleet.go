// Package fleet holds the types that the engines and the policies of the bench
// share: requests, faults and the interface between an engine and a policy.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Request is one request of the load.
type Request struct {
	ID         int
	Plan       string
	Weight     int
	Route      string
	Long       bool          // of a route of long work
	Straggler  bool          // takes many times longer than the other requests of its route
	Size       time.Duration // service time on a healthy target
	Idempotent bool
	Entry      int           // entry that receives it
	Offset     time.Duration // of the arrival from the start of the run
	Patience   time.Duration // from arrival to deadline
	Arrived    time.Time
	Deadline   time.Time
}

// FaultKind names a fault of a target.
type FaultKind string

// The faults.
const (
	NoFault    FaultKind = ""
	Slow       FaultKind = "slow_10x"
	HalfErrors FaultKind = "half_errors"
	Silent     FaultKind = "silent"
	Flapping   FaultKind = "flapping" // silent and healthy in turns of FlapPeriod
	OneWay     FaultKind = "one_way"  // answers to this owner are lost; other entries get theirs
)

// Parameters of the faults.
const (
	SlowFactor = 10
	ErrorRate  = 0.5
	ErrorTime  = 0.1 // an error comes after this part of the service time
	FlapPeriod = 3 * time.Second
)

// Fault is a fault of one target for a time, counted from the start of a run.
type Fault struct {
	Target   int
	Kind     FaultKind
	From, To time.Duration
}

// Faults is the fault plan of a run.
type Faults []Fault

// At returns the fault of the target at the time. A flapping target is either
// silent or healthy.
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

// Ends returns when the fault that the target has at the time is over: the end
// of the current period if it flaps.
func (f Faults) Ends(target int, at time.Duration) time.Duration {
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

// Within reports whether a fault of the target is planned for the time, with a
// margin after its end.
func (f Faults) Within(target int, at, margin time.Duration) bool {
	for _, fault := range f {
		if fault.Target == target && at >= fault.From && at < fault.To+margin {
			return true
		}
	}
	return false
}

// Spec describes the service under load.
type Spec struct {
	Name    string
	Targets int
	Slots   int // of each target
	Entries int
	Probe   time.Duration // slot time of a probe
	// ProbeBeside tells that targets answer probes without using a slot.
	ProbeBeside bool
}

// Host is the engine as a policy sees it. All calls in both directions are
// serialised, and no call of the host calls back before it returns.
type Host interface {
	Now() time.Time
	Rand() *rand.Rand
	Spec() Spec
	// Send starts an attempt. Done is called once, unless cancel was called.
	Send(r *Request, target int, done func(owner.Outcome)) (cancel func())
	// Probe probes a target, from another entry if peer is set.
	Probe(target int, peer bool, timeout time.Duration, done func(owner.Outcome))
	After(d time.Duration, f func())
	Answer(r *Request) // the caller gets its response
	Fail(r *Request)   // the caller gets an error after an attempt
	Refuse(r *Request) // the caller gets a refusal without an attempt
	Event(kind owner.ActionKind, target int)
}

// Policy decides where requests go.
type Policy interface {
	Start(h Host)
	Arrive(r *Request)
	// Expire tells that the deadline of a request without an answer has passed.
	Expire(r *Request)
}
