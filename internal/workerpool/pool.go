// Package workerpool runs background jobs on a bounded number of goroutines.
package workerpool

import (
	"context"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// Job is a background job. It must return soon after ctx ends.
type Job func(ctx context.Context)

// Pool runs jobs on a fixed number of workers. Jobs are rejected while all workers
// are busy and the queue is full, so that a slow job cannot build up a backlog.
type Pool struct {
	jobs   chan Job
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a pool with the given number of workers and queue capacity.
func New(workers, queueCapacity int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{jobs: make(chan Job, queueCapacity), ctx: ctx, cancel: cancel}
	for range workers {
		p.wg.Add(1)
		go p.runWorker()
	}
	return p
}

func (p *Pool) runWorker() {
	defer p.wg.Done()
	for {
		select {
		case <-p.ctx.Done():
			return
		case job := <-p.jobs:
			job(p.ctx)
		}
	}
}

// Submit queues a job. It returns false if the queue is full or the pool is
// stopped.
func (p *Pool) Submit(job Job) bool {
	if p.ctx.Err() != nil {
		return false
	}
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// SubmitEvery submits the job once per period until the pool stops. A run is
// skipped while the queue is full or the previous run has not ended.
func (p *Pool) SubmitEvery(clock sys.Clock, period time.Duration, job Job) {
	ticker := clock.NewTicker(period)
	pending := make(chan struct{}, 1)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer ticker.Stop()
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-ticker.C():
				p.submitUnlessPending(pending, job)
			}
		}
	}()
}

// submitUnlessPending submits the job unless its previous run is queued or
// running. pending has capacity 1 and holds a token for that run.
func (p *Pool) submitUnlessPending(pending chan struct{}, job Job) {
	select {
	case pending <- struct{}{}:
	default:
		return
	}
	submitted := p.Submit(func(ctx context.Context) {
		defer func() { <-pending }()
		job(ctx)
	})
	if !submitted {
		<-pending
	}
}

// Stop cancels the context of running jobs and waits for them to return. Queued
// jobs are dropped.
func (p *Pool) Stop() {
	p.cancel()
	p.wg.Wait()
}
