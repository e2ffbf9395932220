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

// spillPause is how long a region that rejected a spilled request gets no more
// of them for the service.
const spillPause = time.Second

// Runner runs requests on the owner of their service.
type Runner interface {
	Run(ctx context.Context, s dispatch.Scheduler, r dispatch.Request) dispatch.Result
}

// runLocal runs the request on the targets of this region. It spills the request
// to another region if it would be rejected here for want of capacity, or there is no
// target.
func (e *Entry) runLocal(ctx context.Context, q *request) (*Response, *errorResponse) {
	s := e.services.get(q.service)
	if s == nil || !s.hasTargets() {
		if resp, errResp := e.forwardToOtherOwner(ctx, q); resp != nil || errResp != nil {
			return resp, errResp
		}
		return e.spillOrFail(ctx, q, newErrorResponse(fault.New(fault.NoUpstream, "the service has no target in this region").WithRetryAfter(time.Second)))
	}
	req := e.dispatchRequest(q, s)
	if !s.service.HasCapacity(ownerRequest(req)) {
		if resp, errResp := e.spill(ctx, q); resp != nil || errResp != nil {
			return resp, errResp
		}
	}
	req.ID = e.ids.acquire(q.id, q.fingerprint())
	result := e.runner.Run(ctx, dispatch.NewScheduler(s.service), req)
	countRequest(sideLocal, resultOutcome(result))
	resp, errResp := e.toResponse(ctx, q, result)
	if resp == nil {
		e.ids.release(req.ID)
		return nil, errResp
	}
	closeBody := resp.Close
	resp.Close = func() {
		closeBody()
		e.ids.release(req.ID)
	}
	return resp, nil
}

// forwardToOtherOwner forwards a request of another entry to the other entry
// that holds target records, if this entry has just started and may have none
// yet. The sender cannot do so once it has started to stream the body. Later, no
// records mean that the region has no targets; forwarding a streamed body would
// then prevent a spill to another region.
func (e *Entry) forwardToOtherOwner(ctx context.Context, q *request) (*Response, *errorResponse) {
	if q.mode != modeRun || !e.justStarted() {
		return nil, nil
	}
	ranked := e.ranker.Rank(q.service, e.self.Region)
	for _, m := range ranked[:min(maxOwnersTried, len(ranked))] {
		if m.Name == e.self.Name {
			continue
		}
		resp, errResp, peerErr := e.forward(ctx, m, q, modeRunOnly, "")
		if peerErr != nil && peerErr.sent {
			return nil, newErrorResponse(ownerUnreachable(true))
		}
		if peerErr != nil || (errResp != nil && errResp.err.Kind == fault.NoUpstream) {
			continue
		}
		return resp, errResp
	}
	return nil, nil
}

// justStarted reports whether this entry has been ready for less than one
// announcement lease, so that announcements may be missing.
func (e *Entry) justStarted() bool {
	return e.clock.Now().UnixNano()-e.readyAt.Load() < upstream.LeaseDuration.Nanoseconds()
}

// toResponse converts a dispatch result to a response or an error.
func (e *Entry) toResponse(ctx context.Context, q *request, result dispatch.Result) (*Response, *errorResponse) {
	if result.Err != nil {
		if readErr := q.body.streamError(ctx); readErr != nil && !result.ClaimChecked {
			return nil, newErrorResponse(readErr)
		}
		return nil, &errorResponse{err: result.Err, claimChecked: result.ClaimChecked}
	}
	httpResp := result.Response
	resp := &Response{
		Status: httpResp.StatusCode,
		Header: httpResp.Header,
		Length: httpResp.ContentLength,
		Body:   httpResp.Body,
		Close:  func() { _ = httpResp.Body.Close() },
	}
	return resp, nil
}

func (e *Entry) dispatchRequest(q *request, s *serviceState) dispatch.Request {
	unescaped, err := url.PathUnescape(q.path)
	if err != nil {
		unescaped = q.path
	}
	route, idempotent := s.service.Route(q.method, unescaped)
	body := io.NopCloser(q.body.reader())
	if q.body.length == 0 {
		body = http.NoBody
	}
	return dispatch.Request{
		Service:           q.service,
		Method:            q.method,
		URL:               &url.URL{Path: unescaped, RawPath: q.path, RawQuery: q.query},
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

// spillOrFail spills the request to another region, or returns fallback if that
// is not possible.
func (e *Entry) spillOrFail(ctx context.Context, q *request, fallback *errorResponse) (*Response, *errorResponse) {
	if resp, errResp := e.spill(ctx, q); resp != nil || errResp != nil {
		return resp, errResp
	}
	return nil, fallback
}

// spill forwards the request to the owner of the service in another region. It
// returns nil and nil if no region accepts it. A request that was spilled from
// another region is not spilled again.
func (e *Entry) spill(ctx context.Context, q *request) (*Response, *errorResponse) {
	if q.mode == modeRunOnly || !q.body.replayable() {
		return nil, nil
	}
	region, ok := e.chooseSpillRegion(q.service)
	if !ok {
		return nil, nil
	}
	to := e.ranker.Rank(q.service, region)[0]
	resp, errResp, peerErr := e.forward(ctx, to, q, modeRunOnly, "")
	if peerErr == nil && resp != nil {
		spilledRequests.Inc()
		return resp, nil
	}
	if peerErr != nil && peerErr.callerLeft {
		return nil, newErrorResponse(ownerUnreachable(true))
	}
	e.spillPauses.pause(q.service, region, e.clock.Now().Add(spillPause))
	if peerErr != nil && peerErr.sent {
		return nil, newErrorResponse(ownerUnreachable(true))
	}
	if errResp != nil && errResp.err.Effect != fault.NotRun {
		return nil, errResp
	}
	return nil, nil
}

func (e *Entry) chooseSpillRegion(service string) (string, bool) {
	now := e.clock.Now()
	for _, region := range e.ranker.Regions() {
		if region != e.self.Region && !e.spillPauses.paused(service, region, now) && len(e.ranker.Rank(service, region)) > 0 {
			return region, true
		}
	}
	return "", false
}

// relayTo forwards a request of another entry to the entry named in q.target.
func (e *Entry) relayTo(ctx context.Context, q *request) (*Response, *errorResponse) {
	to, ok := e.table.Member(q.relayTo)
	if !ok || to.State == membership.Dead || to.State == membership.Left {
		return nil, newErrorResponse(ownerUnreachable(false))
	}
	if to.Name == e.self.Name {
		return e.runLocal(ctx, q)
	}
	resp, errResp, peerErr := e.forward(ctx, to, q, modeRun, "")
	if peerErr != nil {
		if readErr := q.body.streamError(ctx); readErr != nil {
			return nil, newErrorResponse(readErr)
		}
		return nil, newErrorResponse(ownerUnreachable(peerErr.sent))
	}
	return resp, errResp
}
