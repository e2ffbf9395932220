// Package workerpool runs background jobs on a bounded number of goroutines.
package workerpool

import (
	"context"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// Job is one run of a background task. It must return soon after ctx ends.
type Job func(ctx context.Context)

// Pool runs jobs on a fixed number of workers. Jobs that find all workers and
// the queue busy are refused, so that a slow job cannot pile up work.
type Pool struct {
	jobs   chan Job
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a pool with the given number of workers and of queued jobs.
func New(workers, queue int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{jobs: make(chan Job, queue), ctx: ctx, cancel: cancel}
	for range workers {
		p.wg.Add(1)
		go p.work()
	}
	return p
}

func (p *Pool) work() {
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

// Submit queues a job. It reports false if the queue is full or the pool has
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

// Every submits the job each period until the pool stops. A run is skipped
// while the queue is full; runs of the same job never overlap.
func (p *Pool) Every(clock sys.Clock, period time.Duration, job Job) {
	ticker := clock.NewTicker(period)
	busy := make(chan struct{}, 1)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer ticker.Stop()
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-ticker.C():
				p.submitOnce(busy, job)
			}
		}
	}()
}

func (p *Pool) submitOnce(busy chan struct{}, job Job) {
	select {
	case busy <- struct{}{}:
	default:
		return
	}
	submitted := p.Submit(func(ctx context.Context) {
		defer func() { <-busy }()
		job(ctx)
	})
	if !submitted {
		<-busy
	}
}

// Stop ends the context of running jobs and waits for them. Queued jobs are
// dropped.
func (p *Pool) Stop() {
	p.cancel()
	p.wg.Wait()
}
