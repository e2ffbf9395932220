package scenario

import (
	"sort"
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Crest is the result of a swing to twice the capacity while a third of the
// targets is half broken.
type Crest struct {
	Service        string             `json:"service"`
	Policy         string             `json:"policy"`
	OfCapacity     float64            `json:"in_time_of_healthy_capacity"` // slot time answered in time by that of healthy slots
	InTime         float64            `json:"in_time_of_offered"`
	PlanOfDue      map[string]float64 `json:"plan_of_due"` // slot time answered in time by the plan's due
	WorstPlan      float64            `json:"worst_plan_of_due"`
	RefusedQuickly float64            `json:"refused_within_50ms"` // of refusals
	Refusals       int                `json:"refusals"`
	Failed         int                `json:"failed"`
}

// Times of the crest. Faults start before the swing.
const (
	crestFaultsAt = 5 * time.Second
	crestAt       = 10 * time.Second
	crestLength   = 10 * time.Second
	crestTail     = 2 * time.Second
	quickRefusal  = 50 * time.Millisecond
	crestLow      = 0.5
	crestHigh     = 2
)

// RunCrest measures the crest.
func RunCrest(engine Engine, spec fleet.Spec, short time.Duration, idempotent float64, name string, seed uint64) Crest {
	m := mix(short, idempotent, 0.01)
	var faults fleet.Faults
	broken := spec.Targets / 3
	kinds := []fleet.FaultKind{fleet.HalfErrors, fleet.Slow}
	for i := range broken {
		faults = append(faults, fleet.Fault{Target: i * 3, Kind: kinds[i%2], From: crestFaultsAt, To: time.Hour})
	}
	length := crestAt + crestLength + crestTail
	swing := fleet.Swing(crestLow, crestHigh, crestAt, crestLength)
	load := fleet.NewGenerator(spec, m, swing, length, seed)
	record := engine(spec, faults, load, Policies()[name](), seed)
	c := Crest{Service: spec.Name, Policy: name}
	healthy := float64((spec.Targets - broken) * spec.Slots)
	c.measure(record, healthy, func(at time.Duration) float64 { return swing(at) * float64(spec.Targets*spec.Slots) })
	return c
}

// measure takes the figures from the requests that arrived during the crest,
// given the healthy slots and the slots that the offered work would keep busy.
func (c *Crest) measure(record *fleet.Record, healthy float64, work func(time.Duration) float64) {
	offered := map[string]float64{}
	served := map[string]float64{}
	all, inTime, quick := 0, 0, 0
	total := 0.0
	for q, e := range record.Entries {
		if q.Offset < crestAt || q.Offset >= crestAt+crestLength {
			continue
		}
		all++
		offered[q.Plan] += q.Size.Seconds()
		switch e.Result {
		case fleet.InTime:
			inTime++
			served[q.Plan] += q.Size.Seconds()
			total += q.Size.Seconds()
		case fleet.Refused:
			c.Refusals++
			if e.Took <= quickRefusal {
				quick++
			}
		default:
			c.Failed++
		}
	}
	c.OfCapacity = total / (healthy * crestLength.Seconds())
	c.InTime = float64(inTime) / float64(max(all, 1))
	c.RefusedQuickly = 1
	if c.Refusals > 0 {
		c.RefusedQuickly = float64(quick) / float64(c.Refusals)
	}
	c.PlanOfDue = map[string]float64{}
	c.WorstPlan = 10
	for plan, due := range crestDues(healthy, work) {
		c.PlanOfDue[plan] = served[plan] / min(due, offered[plan])
		c.WorstPlan = min(c.WorstPlan, c.PlanOfDue[plan])
	}
}

// crestDues returns the slot time in seconds that each plan is due over the
// crest. It is summed up over short steps, since a plan that offers less than
// its share during the rise cannot get more later.
func crestDues(healthy float64, work func(time.Duration) float64) map[string]float64 {
	const step = 10 * time.Millisecond
	sum := map[string]float64{}
	for at := crestAt; at < crestAt+crestLength; at += step {
		offered := map[string]float64{}
		for _, p := range plans {
			offered[p.Plan] = p.Part * work(at)
		}
		for plan, slots := range dues(offered, healthy) {
			sum[plan] += slots * step.Seconds()
		}
	}
	return sum
}

// dues shares the capacity by weight, up to the work that each plan offers.
func dues(offered map[string]float64, capacity float64) map[string]float64 {
	order := make([]fleet.PlanLoad, len(plans))
	copy(order, plans)
	sort.Slice(order, func(i, j int) bool {
		return offered[order[i].Plan]/float64(order[i].Weight) < offered[order[j].Plan]/float64(order[j].Weight)
	})
	weights := 0
	for _, p := range order {
		weights += p.Weight
	}
	due := map[string]float64{}
	for _, p := range order {
		due[p.Plan] = min(offered[p.Plan], capacity*float64(p.Weight)/float64(weights))
		capacity -= due[p.Plan]
		weights -= p.Weight
	}
	return due
}
