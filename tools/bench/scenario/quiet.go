package scenario

import (
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Quiet is a run without faults, with stragglers and overload.
type Quiet struct {
	Service      string  `json:"service"`
	Minutes      float64 `json:"minutes"`
	False        int     `json:"false_ejections"`
	FalsePerHour float64 `json:"false_ejections_per_hour"`
	ProbeShare   float64 `json:"probe_share"`
	Suspected    int     `json:"suspicions"`
}

// RunQuiet measures false ejections. Load swings from 85% to 200% for 5 s in
// every 30 s.
func RunQuiet(engine Engine, spec fleet.Spec, short time.Duration, idempotent float64, length time.Duration, p fleet.Policy, seed uint64) Quiet {
	factor := func(at time.Duration) float64 {
		return fleet.Surge(0.85, 2, 20*time.Second, 5*time.Second)(at % (30 * time.Second))
	}
	load := fleet.NewGenerator(spec, mix(short, idempotent, 0.01), factor, length, seed)
	record := engine(spec, nil, load, p, seed)
	q := Quiet{Service: spec.Name, Minutes: length.Minutes(), False: FalseEjections(record)}
	q.FalsePerHour = float64(q.False) / length.Hours()
	q.ProbeShare = float64(record.ProbeTime) / float64(record.TotalSlotTime)
	for _, change := range record.Actions {
		if change.Kind == "suspected" {
			q.Suspected++
		}
	}
	return q
}
