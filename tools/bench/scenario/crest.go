package scenario

import (
	"math"
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

// tally sums up the requests that arrived during the crests of several runs.
type tally struct {
	offered, served, due          map[string]float64 // slot time in seconds by plan
	capacity                      float64            // slot time of the healthy slots in seconds
	all, inTime, refusals, prompt int
	failed                        int
}

// RunCrest measures the crest, summed up over the seeds: one run of 10 s has
// only a few stragglers of a small plan, each as long as 20 requests.
func RunCrest(engine Engine, spec fleet.Spec, short time.Duration, idempotent float64, name string, seeds uint64) Crest {
	m := mix(short, idempotent, 0.01)
	var faults fleet.Faults
	broken := spec.Targets / 3
	kinds := []fleet.FaultKind{fleet.HalfErrors, fleet.Slow}
	for i := range broken {
		faults = append(faults, fleet.Fault{Target: i * 3, Kind: kinds[i%2], From: crestFaultsAt, To: time.Hour})
	}
	swing := fleet.Surge(crestLow, crestHigh, crestAt, crestLength)
	healthy := float64((spec.Targets - broken) * spec.Slots)
	work := func(at time.Duration) float64 { return swing(at) * float64(spec.Targets*spec.Slots) }
	t := tally{offered: map[string]float64{}, served: map[string]float64{}, due: map[string]float64{}}
	for seed := range seeds {
		load := fleet.NewGenerator(spec, m, swing, crestAt+crestLength+crestTail, seed+1)
		t.add(engine(spec, faults, load, Policies()[name](), seed+1))
		t.capacity += healthy * crestLength.Seconds()
		for plan, due := range crestDues(healthy, work) {
			t.due[plan] += due
		}
	}
	return t.crest(spec.Name, name)
}

func (t *tally) add(record *fleet.Record) {
	for q, e := range record.Requests {
		if q.Offset < crestAt || q.Offset >= crestAt+crestLength {
			continue
		}
		t.all++
		t.offered[q.Plan] += q.ServiceTime.Seconds()
		switch e.Result {
		case fleet.InTime:
			t.inTime++
			t.served[q.Plan] += q.ServiceTime.Seconds()
		case fleet.Refused:
			t.refusals++
			if e.Latency <= quickRefusal {
				t.prompt++
			}
		default:
			t.failed++
		}
	}
}

func (t *tally) crest(service, policy string) Crest {
	c := Crest{
		Service:        service,
		Policy:         policy,
		InTime:         float64(t.inTime) / float64(max(t.all, 1)),
		PlanOfDue:      map[string]float64{},
		WorstPlan:      math.Inf(1),
		RefusedQuickly: 1,
		Refusals:       t.refusals,
		Failed:         t.failed,
	}
	if t.refusals > 0 {
		c.RefusedQuickly = float64(t.prompt) / float64(t.refusals)
	}
	for plan, due := range t.due {
		c.OfCapacity += t.served[plan] / t.capacity
		c.PlanOfDue[plan] = t.served[plan] / min(due, t.offered[plan])
		c.WorstPlan = min(c.WorstPlan, c.PlanOfDue[plan])
	}
	return c
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
			offered[p.Plan] = p.Share * work(at)
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
