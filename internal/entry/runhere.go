package entry

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sequoialane/sequoialane/internal/dispatch"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// spillPause is how long a region that refused overflow is left alone.
const spillPause = time.Second

// Runner runs requests at their owner.
type Runner interface {
	Run(ctx context.Context, s dispatch.Scheduler, r dispatch.Request) dispatch.Result
}

// runHere runs the request on the targets of this region, or passes it to
// another region if it would miss its deadline here.
func (e *Entry) runHere(ctx context.Context, q *request) (*Answer, *refusal) {
	s := e.services.get(q.service)
	if s == nil || !s.hasTargets() {
		if answer, refused := e.askOther(ctx, q); answer != nil || refused != nil {
			return answer, refused
		}
		return e.spillOr(ctx, q, refuse(fault.New(fault.NoUpstream, "the service has no target in this region").WithRetryAfter(time.Second)))
	}
	job := e.job(q, s)
	wait := s.service.ExpectedWait(ownerRequest(job))
	if e.clock.Now().Add(wait).After(q.deadline) {
		if answer, refused := e.spill(ctx, q); answer != nil || refused != nil {
			return answer, refused
		}
	}
	job.ID = e.ids.take(q.id, q.subject())
	result := e.runner.Run(ctx, dispatch.Owned(s.service), job)
	countRequest(sideLocal, resultOutcome(result))
	answer, refused := e.settled(q, result)
	if answer == nil {
		e.ids.release(job.ID)
		return nil, refused
	}
	closeBody := answer.Close
	answer.Close = func() {
		closeBody()
		e.ids.release(job.ID)
	}
	return answer, nil
}

// askOther passes a request of another entry to the other entry that holds
// target records, if this one may have none yet because it has just started.
// The sender cannot do so itself once it has begun to stream the body. Later,
// no records mean that the region has no targets, and a body that was offered
// to the other entry could not be passed to another region.
func (e *Entry) askOther(ctx context.Context, q *request) (*Answer, *refusal) {
	if q.mode != modeRun || !e.justStarted() {
		return nil, nil
	}
	ranked := e.ranker.Rank(q.service, e.self.Region)
	for _, m := range ranked[:min(ownersTried, len(ranked))] {
		if m.Name == e.self.Name {
			continue
		}
		answer, refused, failed := e.forward(ctx, m, q, modeLast, "")
		if failed != nil && failed.sent {
			return nil, refuse(unreachable(true))
		}
		if failed != nil || (refused != nil && refused.err.Kind == fault.NoUpstream) {
			continue
		}
		return answer, refused
	}
	return nil, nil
}

// justStarted reports whether announcements may still be on their way to this
// entry.
func (e *Entry) justStarted() bool {
	return e.clock.Now().UnixNano()-e.readyAt.Load() < upstream.Lease.Nanoseconds()
}

// settled turns the result of dispatch into an answer.
func (e *Entry) settled(q *request, result dispatch.Result) (*Answer, *refusal) {
	if result.Err != nil {
		if broke := q.body.failed.Load(); broke != nil && !result.ClaimChecked {
			return nil, refuse(broke)
		}
		return nil, &refusal{err: result.Err, checked: result.ClaimChecked}
	}
	response := result.Response
	answer := &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Body:   response.Body,
		Close:  func() { _ = response.Body.Close() },
	}
	return answer, nil
}

func (e *Entry) job(q *request, s *slot) dispatch.Request {
	plain, err := url.PathUnescape(q.path)
	if err != nil {
		plain = q.path
	}
	route, idempotent := s.service.Route(q.method, plain)
	body := io.NopCloser(q.body.reader())
	if q.body.length == 0 {
		body = http.NoBody
	}
	return dispatch.Request{
		Service:           q.service,
		Method:            q.method,
		URL:               &url.URL{Path: plain, RawPath: q.path, RawQuery: q.query},
		Header:            q.header,
		Body:              body,
		ContentLength:     q.body.length,
		Plan:              q.plan.ID,
		HomeRegion:        q.plan.HomeRegion,
		Weight:            q.plan.Weight,
		Concurrency:       q.entitlement.Concurrency,
		RequestsPerSecond: q.entitlement.RequestsPerSecond,
		Route:             route,
		Idempotent:        idempotent,
		Key:               q.key,
		Deadline:          q.deadline,
	}
}

func ownerRequest(r dispatch.Request) owner.Request {
	return owner.Request{
		ID: r.ID, Plan: r.Plan, Route: r.Route, Weight: r.Weight, Concurrency: r.Concurrency,
		RequestsPerSecond: r.RequestsPerSecond, Deadline: r.Deadline, Idempotent: r.Idempotent,
	}
}

func resultOutcome(r dispatch.Result) string {
	if r.Err != nil {
		return string(r.Err.Kind)
	}
	return "ok"
}

// spillOr passes the request to another region, or else returns the refusal.
func (e *Entry) spillOr(ctx context.Context, q *request, otherwise *refusal) (*Answer, *refusal) {
	if answer, refused := e.spill(ctx, q); answer != nil || refused != nil {
		return answer, refused
	}
	return nil, otherwise
}

// spill passes the request to the owner of the service in another region. It
// returns nothing if no region takes it. A request that came as overflow from
// a region is not passed on again.
func (e *Entry) spill(ctx context.Context, q *request) (*Answer, *refusal) {
	if q.mode == modeLast || !q.body.replayable() {
		return nil, nil
	}
	region, ok := e.spillRegion(q.service)
	if !ok {
		return nil, nil
	}
	to := e.ranker.Rank(q.service, region)[0]
	answer, refused, failed := e.forward(ctx, to, q, modeLast, "")
	if failed == nil && answer != nil {
		spilled.Inc()
		return answer, nil
	}
	e.spills.pause(q.service, region, e.clock.Now().Add(spillPause))
	if failed != nil && failed.sent {
		return nil, refuse(unreachable(true))
	}
	if refused != nil && refused.err.Effect != fault.NotRun {
		return nil, refused
	}
	return nil, nil
}

func (e *Entry) spillRegion(service string) (string, bool) {
	now := e.clock.Now()
	for _, region := range e.ranker.Regions() {
		if region != e.self.Region && !e.spills.paused(service, region, now) && len(e.ranker.Rank(service, region)) > 0 {
			return region, true
		}
	}
	return "", false
}

// relayTo passes a request of another entry on to the named one.
func (e *Entry) relayTo(ctx context.Context, q *request) (*Answer, *refusal) {
	to, ok := e.table.Member(q.target)
	if !ok || to.State == membership.Dead || to.State == membership.Left {
		return nil, refuse(unreachable(false))
	}
	if to.Name == e.self.Name {
		return e.runHere(ctx, q)
	}
	answer, refused, failed := e.forward(ctx, to, q, modeRun, "")
	if failed != nil {
		if broke := q.body.failed.Load(); broke != nil {
			return nil, refuse(broke)
		}
		return nil, refuse(unreachable(failed.sent))
	}
	return answer, refused
}
