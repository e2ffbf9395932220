// Package schedule decides which queued request gets a slot next, on which target,
// and which requests are rejected on arrival. Its types do no I/O and are not safe
// for concurrent use.
package schedule

import (
	"sort"
	"time"
)

// Class is the class of a request by its expected service time.
type Class int

// The classes.
const (
	Short Class = iota
	Long
)

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
	Concurrency int           // maximum number of requests of the plan in flight; 0: no limit
	Class       Class         // expected when the job was queued
	Cost        time.Duration // expected slot time
	Deadline    time.Time
}

// planQueue holds the queued work of a plan.
type planQueue struct {
	id          string
	weight      float64
	concurrency int
	inFlight    int
	finishTime  float64       // virtual time up to which the plan has been served
	backlog     time.Duration // expected slot time of the queued jobs
	jobs        [2][]*Job     // by class, in order of arrival
}

func (p *planQueue) empty() bool { return len(p.jobs[Short]) == 0 && len(p.jobs[Long]) == 0 }

// FairQueue is a weighted fair queue of the jobs of all plans, measured in slot
// time (start-time fair queueing). A plan without work accumulates no credit.
type FairQueue struct {
	plans       map[string]*planQueue
	virtualTime float64
	length      int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{plans: map[string]*planQueue{}}
}

// Push appends the job to the queue of its plan.
func (q *FairQueue) Push(j *Job) {
	p := q.prepareQueue(j)
	p.jobs[j.Class] = append(p.jobs[j.Class], j)
}

// PushFront puts the job before the other jobs of its plan and class. It is used
// for retries, which have already waited.
func (q *FairQueue) PushFront(j *Job) {
	p := q.prepareQueue(j)
	p.jobs[j.Class] = append([]*Job{j}, p.jobs[j.Class]...)
}

func (q *FairQueue) prepareQueue(j *Job) *planQueue {
	p := q.plan(j.Plan)
	p.weight = float64(max(j.Weight, 1))
	p.concurrency = j.Concurrency
	if p.empty() && p.inFlight == 0 {
		p.finishTime = max(p.finishTime, q.virtualTime)
	}
	p.backlog += j.Cost
	q.length++
	return p
}

// Remove removes the job from the queue. It reports whether the job was queued.
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
			q.removeIfIdle(p)
			return true
		}
	}
	return false
}

// Next removes and returns the next job, or nil if no job may run: the oldest
// allowed job of the plan that has been served least in relation to its weight.
// Long jobs are returned only if allowLong is set. The expected slot time is
// charged to the plan, and the job counts as in flight until Finish is called.
func (q *FairQueue) Next(allowLong bool) *Job {
	var best *planQueue
	for _, p := range q.plans {
		if p.head(allowLong) == nil || p.atLimit() {
			p.finishTime = max(p.finishTime, q.virtualTime) // no credit for work that could not run
			continue
		}
		if best == nil || p.finishTime < best.finishTime || (p.finishTime == best.finishTime && p.id < best.id) {
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
	q.virtualTime = max(q.virtualTime, best.finishTime)
	best.finishTime += j.Cost.Seconds() / best.weight
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

// Finish ends a job in flight and corrects its charge to the slot time used. The
// correction is applied at once: spread over later jobs, it would deny other plans
// their share until then.
func (q *FairQueue) Finish(plan string, charged, used time.Duration) {
	p, ok := q.plans[plan]
	if !ok || p.inFlight < 1 {
		panic("schedule: finished a job that is not in flight, plan " + plan)
	}
	p.inFlight--
	p.finishTime += (used - charged).Seconds() / p.weight
	q.removeIfIdle(p)
}

// Charge charges slot time to a plan for an attempt that was not queued.
func (q *FairQueue) Charge(plan string, used time.Duration) {
	if p, ok := q.plans[plan]; ok {
		p.finishTime += used.Seconds() / p.weight
	}
}

// removeIfIdle removes a plan that has no work and has used no more than its share.
func (q *FairQueue) removeIfIdle(p *planQueue) {
	if p.empty() && p.inFlight == 0 && p.finishTime <= q.virtualTime {
		delete(q.plans, p.id)
	}
}

// Prune removes the plans without work that have used no more than their share, or
// all plans without work if the queue is empty.
func (q *FairQueue) Prune() {
	for _, p := range q.plans {
		if p.empty() && p.inFlight == 0 && (q.length == 0 || p.finishTime <= q.virtualTime) {
			delete(q.plans, p.id)
		}
	}
}

// Len returns the number of queued jobs.
func (q *FairQueue) Len() int { return q.length }

// InFlight returns the number of jobs of the plan in flight.
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

// Backlogs returns the queued work of each plan, in no particular order.
func (q *FairQueue) Backlogs() []Backlog {
	backlogs := make([]Backlog, 0, len(q.plans))
	for _, p := range q.plans {
		queued := len(p.jobs[Short]) + len(p.jobs[Long])
		backlogs = append(backlogs, Backlog{p.id, p.weight, queued, p.inFlight, p.backlog})
	}
	return backlogs
}

// Overdue returns the queued jobs whose deadline has passed, ordered by ID.
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
		p = &planQueue{id: id, weight: 1, finishTime: q.virtualTime}
		q.plans[id] = p
	}
	return p
}
