// Package schedule decides which request gets a slot next, on which target,
// and which requests are refused at once. Its types work on values only and
// are not safe for concurrent use.
package schedule

import (
	"sort"
	"time"
)

// Class is the size class of a request.
type Class int

// The size classes.
const (
	Short Class = iota
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Job is a queued request.
type Job struct {
	ID          uint64
	Plan        string
	Weight      int
	Concurrency int           // requests of the plan in flight; 0: no limit
	Class       Class         // class expected when it was queued
	Cost        time.Duration // expected slot time
	Deadline    time.Time
}

// planQueue holds the queued work of a plan.
type planQueue struct {
	id          string
	weight      float64
	concurrency int
	inFlight    int
	finish      float64       // virtual time up to which the plan has been served
	backlog     time.Duration // expected slot time of the queued jobs
	jobs        [2][]*Job     // by class, in order of arrival
}

func (p *planQueue) empty() bool { return len(p.jobs[Short]) == 0 && len(p.jobs[Long]) == 0 }

// FairQueue is a weighted fair queue over plans, measured in slot time
// (start-time fair queueing). A plan without work does not collect credit.
type FairQueue struct {
	plans   map[string]*planQueue
	virtual float64
	length  int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{plans: map[string]*planQueue{}}
}

// Push appends the job to the work of its plan.
func (q *FairQueue) Push(j *Job) {
	p := q.prepare(j)
	p.jobs[j.Class] = append(p.jobs[j.Class], j)
}

// PushFront puts the job before the other work of its plan and class. It is
// meant for retries, which have waited before.
func (q *FairQueue) PushFront(j *Job) {
	p := q.prepare(j)
	p.jobs[j.Class] = append([]*Job{j}, p.jobs[j.Class]...)
}

func (q *FairQueue) prepare(j *Job) *planQueue {
	p := q.plan(j.Plan)
	p.weight = float64(max(j.Weight, 1))
	p.concurrency = j.Concurrency
	if p.empty() && p.inFlight == 0 {
		p.finish = max(p.finish, q.virtual)
	}
	p.backlog += j.Cost
	q.length++
	return p
}

// Remove takes the job out of the queue. It reports whether it was queued.
func (q *FairQueue) Remove(j *Job) bool {
	p, ok := q.plans[j.Plan]
	if !ok {
		return false
	}
	for i, queued := range p.jobs[j.Class] {
		if queued == j {
			p.jobs[j.Class] = append(p.jobs[j.Class][:i], p.jobs[j.Class][i+1:]...)
			p.backlog -= j.Cost
			q.length--
			q.forgetIdle(p)
			return true
		}
	}
	return false
}

// Next takes out the next job of an allowed class: the oldest allowed job of
// the plan that has been served least for its weight. The expected slot time
// is charged to the plan, which counts the job as in flight until Finished.
func (q *FairQueue) Next(allowLong bool) *Job {
	var best *planQueue
	for _, p := range q.plans {
		if p.head(allowLong) == nil || p.atLimit() {
			p.finish = max(p.finish, q.virtual) // no credit for work that could not run
			continue
		}
		if best == nil || p.finish < best.finish || (p.finish == best.finish && p.id < best.id) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	j := best.head(allowLong)
	best.jobs[j.Class] = best.jobs[j.Class][1:]
	best.backlog -= j.Cost
	q.length--
	q.virtual = max(q.virtual, best.finish)
	best.finish += j.Cost.Seconds() / best.weight
	best.inFlight++
	return j
}

func (p *planQueue) atLimit() bool { return p.concurrency > 0 && p.inFlight >= p.concurrency }

func (p *planQueue) head(allowLong bool) *Job {
	var head *Job
	if len(p.jobs[Short]) > 0 {
		head = p.jobs[Short][0]
	}
	if allowLong && len(p.jobs[Long]) > 0 && (head == nil || p.jobs[Long][0].ID < head.ID) {
		head = p.jobs[Long][0]
	}
	return head
}

// Finished ends a job in flight and corrects its charge to the slot time that
// it used. The whole correction counts at once: spread over later jobs, it would
// leave other plans short of their due for as long.
func (q *FairQueue) Finished(plan string, charged, used time.Duration) {
	p, ok := q.plans[plan]
	if !ok || p.inFlight < 1 {
		panic("schedule: finished a job that is not in flight, plan " + plan)
	}
	p.inFlight--
	p.finish += (used - charged).Seconds() / p.weight
	q.forgetIdle(p)
}

// Charge adds slot time to a plan for an attempt that was not queued.
func (q *FairQueue) Charge(plan string, used time.Duration) {
	if p, ok := q.plans[plan]; ok {
		p.finish += used.Seconds() / p.weight
	}
}

// forgetIdle drops a plan that has no work and has used no more than its due.
func (q *FairQueue) forgetIdle(p *planQueue) {
	if p.empty() && p.inFlight == 0 && p.finish <= q.virtual {
		delete(q.plans, p.id)
	}
}

// Prune drops plans without work that are not ahead of the others, and all of
// them if the queue is empty.
func (q *FairQueue) Prune() {
	for _, p := range q.plans {
		if p.empty() && p.inFlight == 0 && (q.length == 0 || p.finish <= q.virtual) {
			delete(q.plans, p.id)
		}
	}
}

// Len returns the number of queued jobs.
func (q *FairQueue) Len() int { return q.length }

// InFlight returns the jobs in flight of the plan.
func (q *FairQueue) InFlight(plan string) int {
	if p, ok := q.plans[plan]; ok {
		return p.inFlight
	}
	return 0
}

// Backlog is the queued work of a plan.
type Backlog struct {
	Plan     string
	Weight   float64
	Queued   int
	InFlight int
	Work     time.Duration // expected slot time of the queued jobs
}

// Backlogs returns the queued work by plan, in no order.
func (q *FairQueue) Backlogs() []Backlog {
	backlogs := make([]Backlog, 0, len(q.plans))
	for _, p := range q.plans {
		queued := len(p.jobs[Short]) + len(p.jobs[Long])
		backlogs = append(backlogs, Backlog{p.id, p.weight, queued, p.inFlight, p.backlog})
	}
	return backlogs
}

// Overdue returns the queued jobs whose deadline has passed.
func (q *FairQueue) Overdue(now time.Time) []*Job {
	var overdue []*Job
	for _, p := range q.plans {
		for _, jobs := range p.jobs {
			for _, j := range jobs {
				if !now.Before(j.Deadline) {
					overdue = append(overdue, j)
				}
			}
		}
	}
	sort.Slice(overdue, func(i, k int) bool { return overdue[i].ID < overdue[k].ID })
	return overdue
}

func (q *FairQueue) plan(id string) *planQueue {
	p, ok := q.plans[id]
	if !ok {
		p = &planQueue{id: id, weight: 1, finish: q.virtual}
		q.plans[id] = p
	}
	return p
}
