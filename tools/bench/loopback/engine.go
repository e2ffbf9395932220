// Package loopback runs a policy against stub upstreams over HTTP on the loopback
// interface, in real time.
package loopback

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Engine implements fleet.Environment in real time. Its lock serialises the
// calls to and from the policy.
type Engine struct {
	spec            fleet.Spec
	faults          fleet.Faults
	policy          fleet.Policy
	start           time.Time
	policyRand      *rand.Rand
	servers         []*server
	keepAliveClient *http.Client // reuses connections; used for attempts
	newConnClient   *http.Client // opens a connection for each request; used for probes
	cancel          context.CancelFunc
	ctx             context.Context

	mu     sync.Mutex
	record *fleet.Record
	ended  bool // no calls are made after the end of the run
}

// Run sends the load through the policy and returns the record of the run.
func Run(spec fleet.Spec, faults fleet.Faults, load fleet.Load, p fleet.Policy, seed uint64) *fleet.Record {
	e := &Engine{
		spec:            spec,
		faults:          faults,
		policy:          p,
		policyRand:      rand.New(rand.NewPCG(seed, 3)),
		keepAliveClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		newConnClient:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.start = time.Now()
	e.record = fleet.NewRecord(e.start)
	for i := range spec.Targets {
		e.servers = append(e.servers, startServer(e, i, seed))
	}
	defer e.close()
	e.withLock(func() { p.Start(e) })
	e.sendLoad(load)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for _, s := range e.servers {
		e.record.ProbeTime += time.Duration(s.probeTime.Load())
	}
	e.record.TotalSlotTime = load.Duration() * time.Duration(spec.Targets*spec.Slots)
	return e.record
}

// sendLoad passes each request to the policy at its arrival time, whether or not
// earlier ones have been answered.
func (e *Engine) sendLoad(load fleet.Load) {
	for r := load.Next(); r != nil; r = load.Next() {
		time.Sleep(time.Until(e.start.Add(r.Offset)))
		r.Arrived = e.start.Add(r.Offset)
		r.Deadline = r.Arrived.Add(r.Timeout)
		e.withLock(func() {
			e.record.AddRequest(r)
			e.policy.OnArrival(r)
		})
		e.After(time.Until(r.Deadline), func() {
			if e.record.IsPending(r) {
				e.policy.OnDeadline(r)
			}
		})
	}
	time.Sleep(time.Until(e.start.Add(load.Duration())))
}

func (e *Engine) close() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.http.Close()
	}
	e.keepAliveClient.CloseIdleConnections()
}

// withLock calls f with the lock held, unless the run has ended.
func (e *Engine) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		f()
	}
}

// Now implements fleet.Environment.
func (e *Engine) Now() time.Time { return time.Now() }

// Rand implements fleet.Environment.
func (e *Engine) Rand() *rand.Rand { return e.policyRand }

// Spec implements fleet.Environment.
func (e *Engine) Spec() fleet.Spec { return e.spec }

// After implements fleet.Environment.
func (e *Engine) After(d time.Duration, f func()) {
	time.AfterFunc(d, func() { e.withLock(f) })
}

// Respond implements fleet.Environment.
func (e *Engine) Respond(r *fleet.Request) { e.record.Respond(r, time.Now()) }

// Fail implements fleet.Environment.
func (e *Engine) Fail(r *fleet.Request) { e.record.Fail(r, time.Now()) }

// Reject implements fleet.Environment.
func (e *Engine) Reject(r *fleet.Request) { e.record.Reject(r, time.Now()) }

// RecordAction implements fleet.Environment.
func (e *Engine) RecordAction(kind owner.ActionKind, target int) {
	e.record.AddAction(kind, target, time.Now(), e.faults)
}

// Send implements fleet.Environment.
func (e *Engine) Send(r *fleet.Request, target int, done func(owner.Outcome)) (cancel func()) {
	return e.send(e.keepAliveClient, call{target: target, serviceTime: r.ServiceTime}, done)
}

// Probe implements fleet.Environment.
func (e *Engine) Probe(target int, peer bool, timeout time.Duration, done func(owner.Outcome)) {
	ended := false
	cancel := e.send(e.newConnClient, call{target: target, serviceTime: e.spec.ProbeServiceTime, probe: true, peer: peer}, func(o owner.Outcome) {
		ended = true
		done(o)
	})
	e.After(timeout, func() {
		if !ended {
			cancel()
			done(owner.Outcome{Kind: owner.Timeout, ServiceTime: timeout, BytesSent: true})
		}
	})
}
