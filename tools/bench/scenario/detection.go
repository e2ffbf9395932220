package scenario

import (
	"fmt"
	"sort"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Detection is the result of a run with consecutive faults of one kind.
type Detection struct {
	Service        string        `json:"service"`
	Fault          string        `json:"fault"`
	Faults         int           `json:"faults"`
	Missed         int           `json:"missed"`    // not detected before the fault ended
	Median         time.Duration `json:"median_ns"` // from the start of a fault to its detection
	Worst          time.Duration `json:"worst_ns"`
	FalseEjections int           `json:"false_ejections"`
	FalsePerHour   float64       `json:"false_ejections_per_hour"`
	Load           float64       `json:"load"`
	ProbeShare     float64       `json:"probe_share"`
	WorstProbe     float64       `json:"worst_target_probe_share"`
	AnsweredShare  float64       `json:"answered_in_time"`
}

// DetectionCase describes a run that measures detection.
type DetectionCase struct {
	Spec            fleet.Spec
	ServiceTime     time.Duration
	IdempotentShare float64
	Load            float64
	Kind            fleet.FaultKind
	Count           int
	Length          time.Duration // of each fault
	Gap             time.Duration // between faults
}

// Run runs the case with policy p and returns the result.
func (c DetectionCase) Run(engine Engine, p fleet.Policy, seed uint64) Detection {
	faults, duration := c.faults()
	load := fleet.NewGenerator(c.Spec, mix(c.ServiceTime, c.IdempotentShare, 0.01), fleet.Constant(c.Load), duration, seed)
	record := engine(c.Spec, faults, load, p, seed)
	d := Detection{Service: c.Spec.Name, Fault: string(c.Kind), Faults: len(faults), Load: c.Load}
	times := detectionTimes(faults, record)
	d.Missed = len(faults) - len(times)
	if len(times) > 0 {
		d.Median = times[len(times)/2]
		d.Worst = times[len(times)-1]
	}
	d.FalseEjections = countFalseEjections(record)
	d.FalsePerHour = float64(d.FalseEjections) / duration.Hours()
	d.ProbeShare = float64(record.ProbeTime) / float64(record.TotalSlotTime)
	d.AnsweredShare = inTimeShare(record, func(*fleet.RequestRecord) bool { return true })
	return d
}

func (c DetectionCase) faults() (fleet.Faults, time.Duration) {
	var faults fleet.Faults
	at := c.Gap
	for i := range c.Count {
		target := (i*5 + 3) % c.Spec.Targets
		faults = append(faults, fleet.Fault{Target: target, Kind: c.Kind, From: at, To: at + c.Length})
		at += c.Length + c.Gap
	}
	return faults, at
}

// detectionTimes returns, in ascending order, the times from the start of each
// detected fault to the first ejection or path fault of its target.
func detectionTimes(faults fleet.Faults, record *fleet.Record) []time.Duration {
	var times []time.Duration
	for _, fault := range faults {
		for _, action := range record.Actions {
			detected := action.Kind == owner.Ejected || action.Kind == owner.PathFault
			during := action.At >= fault.From && action.At < fault.To
			if detected && during && action.Target == fault.Target {
				times = append(times, action.At-fault.From)
				break
			}
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

// countFalseEjections counts the ejections of targets that had no fault.
func countFalseEjections(record *fleet.Record) int {
	count := 0
	for _, action := range record.Actions {
		if action.Kind == owner.Ejected && !action.Faulty {
			count++
		}
	}
	return count
}

// inTimeShare returns the share of finished requests accepted by filter that were
// answered in time.
func inTimeShare(record *fleet.Record, filter func(*fleet.RequestRecord) bool) float64 {
	inTime, finished := 0, 0
	for _, e := range record.Requests {
		if !filter(e) || e.Result == fleet.Pending {
			continue
		}
		finished++
		if e.Result == fleet.InTime {
			inTime++
		}
	}
	if finished == 0 {
		return 0
	}
	return float64(inTime) / float64(finished)
}

// String formats the result as one line of the printed report.
func (d Detection) String() string {
	return fmt.Sprintf("%-9s %-12s load %.2f  faults %3d missed %2d  median %6.2fs worst %6.2fs  false ejections %3d (%.1f/h)  probes %.3f%%  in time %.1f%%",
		d.Service, d.Fault, d.Load, d.Faults, d.Missed, d.Median.Seconds(), d.Worst.Seconds(),
		d.FalseEjections, d.FalsePerHour, 100*d.ProbeShare, 100*d.AnsweredShare)
}
