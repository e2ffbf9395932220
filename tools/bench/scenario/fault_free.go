package scenario

import (
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// FaultFree is the result of a run without faults but with stragglers and
// overload.
type FaultFree struct {
	Service        string  `json:"service"`
	Minutes        float64 `json:"minutes"`
	FalseEjections int     `json:"false_ejections"`
	FalsePerHour   float64 `json:"false_ejections_per_hour"`
	ProbeShare     float64 `json:"probe_share"`
	Suspicions     int     `json:"suspicions"`
}

// RunFaultFree measures false ejections. The load rises from 85% to 200% of the
// capacity for 5 s in every 30 s.
func RunFaultFree(engine Engine, spec fleet.Spec, serviceTime time.Duration, idempotentShare float64, length time.Duration, p fleet.Policy, seed uint64) FaultFree {
	factor := func(at time.Duration) float64 {
		return fleet.Surge(0.85, 2, 20*time.Second, 5*time.Second)(at % (30 * time.Second))
	}
	load := fleet.NewGenerator(spec, mix(serviceTime, idempotentShare, 0.01), factor, length, seed)
	record := engine(spec, nil, load, p, seed)
	result := FaultFree{Service: spec.Name, Minutes: length.Minutes(), FalseEjections: countFalseEjections(record)}
	result.FalsePerHour = float64(result.FalseEjections) / length.Hours()
	result.ProbeShare = float64(record.ProbeTime) / float64(record.TotalSlotTime)
	for _, action := range record.Actions {
		if action.Kind == "suspected" {
			result.Suspicions++
		}
	}
	return result
}
