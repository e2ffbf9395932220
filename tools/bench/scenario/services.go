// Package scenario defines the measurements of the bench: the load and the faults
// of each, and the figures computed from the record of the run.
package scenario

import (
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
	"github.com/sequoialane/sequoialane/tools/bench/policy"
)

// Services that the bench can measure.
var (
	Consents = fleet.Spec{Name: "consents", Targets: 13, Slots: 2, Entries: 44, ProbeServiceTime: 25 * time.Millisecond}
	Register = fleet.Spec{Name: "register", Targets: 12, Slots: 2, Entries: 44, ProbeServiceTime: 25 * time.Millisecond}
	Arrivals = fleet.Spec{Name: "arrivals", Targets: 12, Slots: 6, Entries: 44, ProbeServiceTime: 25 * time.Millisecond}
	Ledger   = fleet.Spec{Name: "ledger", Targets: 20, Slots: 6, Entries: 44, ProbeServiceTime: 25 * time.Millisecond}
)

// plans are the plans of the load. The plan greedy offers half of the load, more
// than its fair share.
var plans = []fleet.PlanLoad{
	{Plan: "large", Weight: 4, Share: 0.30},
	{Plan: "middle", Weight: 2, Share: 0.15},
	{Plan: "small", Weight: 1, Share: 0.05},
	{Plan: "greedy", Weight: 1, Share: 0.50},
}

// mix returns the requests of a service, with stragglers that take 20 times as
// long as other requests.
func mix(serviceTime time.Duration, idempotentShare, stragglerShare float64) fleet.Mix {
	return fleet.Mix{
		ServiceTime:     serviceTime,
		LogStdDev:       0.4,
		StragglerShare:  stragglerShare,
		StragglerFactor: 20,
		IdempotentShare: idempotentShare,
		Timeout:         time.Second,
		Plans:           plans,
	}
}

// Engine runs a policy under a load, in virtual time or over loopback HTTP, with
// the given seed.
type Engine func(fleet.Spec, fleet.Faults, fleet.Load, fleet.Policy, uint64) *fleet.Record

// Policies returns the constructors of the policies by name.
func Policies() map[string]func() fleet.Policy {
	return map[string]func() fleet.Policy{
		"sequoialane":  func() fleet.Policy { return &policy.Owner{HoldsEjectionLease: true} },
		"no_ejection":  func() fleet.Policy { return &policy.Owner{} },
		"round_robin":  func() fleet.Policy { return policy.NewDirect(policy.RoundRobin) },
		"least":        func() fleet.Policy { return policy.NewDirect(policy.LeastRequests) },
		"power_of_two": func() fleet.Policy { return policy.NewDirect(policy.PowerOfTwo) },
		"ideal_queue":  func() fleet.Policy { return &policy.IdealQueue{} },
	}
}
