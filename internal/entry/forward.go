package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// deadlineGrace is added to the deadline while waiting for a peer, so that the
// peer's own deadline error, which is more specific, arrives first.
const deadlineGrace = 50 * time.Millisecond

// peerError is returned if a peer sent no complete response.
type peerError struct {
	cause      error
	sent       bool // the peer may have received the request
	connected  bool // a connection to the peer was established
	callerLeft bool // the caller ended the request, so the error says nothing about the peer
}

func (h *peerError) Error() string { return "entry: no response from peer: " + h.cause.Error() }

var (
	errWrongID       = errors.New("response carries another request ID")
	errTokenRejected = errors.New("peer rejected the fleet token")
)

// forward sends the request to a peer. If it fails on a reused connection, it
// retries on a new one, provided that the body can be sent again. The retry
// is safe: the claim keeps a request with a key from running twice, and a
// request without a key is run only if it is idempotent.
func (e *Entry) forward(ctx context.Context, to membership.Member, q *request, m mode, relayTo string) (*Response, *errorResponse, *peerError) {
	ctx, span := telemetry.StartSpan(ctx, "entry.forward")
	defer span.End()
	span.SetAttributes(attribute.String("peer", to.Name), attribute.String("mode", string(m)))
	started := time.Now()
	p := e.peers.get(to.PeerAddress)
	sent := false // in any attempt
	for {
		resp, errResp, peerErr, reused := e.forwardOnce(ctx, p, to, q, m, relayTo)
		if peerErr == nil {
			countRequest(sidePeerOut, outcomeOf(errResp))
			forwardDuration.Update(secondsSince(started))
			return resp, errResp, nil
		}
		sent = sent || peerErr.sent
		peerErr.sent = sent
		retry := reused && q.body.replayable() && ctx.Err() == nil
		if !retry {
			countRequest(sidePeerOut, "unreachable")
			return nil, nil, peerErr
		}
	}
}

func (e *Entry) forwardOnce(ctx context.Context, p *peer, to membership.Member, q *request, m mode, relayTo string) (*Response, *errorResponse, *peerError, bool) {
	ctx, stop := context.WithDeadline(ctx, q.deadline.Add(deadlineGrace))
	r := e.peerRequest(ctx, to, q, m, relayTo)
	result := p.roundTrip(ctx, r)
	if result.err != nil {
		stop()
		peerErr := &peerError{cause: result.err, sent: result.sent, connected: result.sent, callerLeft: result.callerLeft}
		return nil, nil, peerErr, result.reused
	}
	end := func() {
		_ = result.response.Body.Close()
		result.cancel(nil)
		stop()
	}
	resp, errResp, err := e.readResponse(result.response, q, end)
	if err != nil {
		result.cancel(err)
		end()
		return nil, nil, &peerError{cause: err, sent: true, connected: true}, result.reused
	}
	if resp != nil && to.Region != e.self.Region {
		resp.Body = countingReader{resp.Body, crossRegionReceived}
	}
	return resp, errResp, nil, result.reused
}

func (e *Entry) peerRequest(ctx context.Context, to membership.Member, q *request, m mode, relayTo string) *http.Request {
	h := q.peerHeader(m, relayTo, e.clock.Now())
	h.Set("Authorization", "Bearer "+e.fleetToken)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	telemetry.Inject(ctx, h)
	escaped := peerRequestPath + q.service + q.path
	unescaped, err := url.PathUnescape(escaped)
	if err != nil {
		unescaped = escaped
	}
	r := &http.Request{
		Method: q.method,
		URL:    &url.URL{Scheme: "http", Host: to.PeerAddress, Path: unescaped, RawPath: escaped, RawQuery: q.query},
		Host:   to.PeerAddress,
		Header: h,
		Body:   http.NoBody,
	}
	if q.body.length != 0 {
		content := q.body.reader()
		if to.Region != e.self.Region {
			content = countingReader{content, crossRegionSent}
		}
		r.Body = io.NopCloser(content)
		r.ContentLength = q.body.length
	}
	return r
}

// countingReader counts bytes sent between regions, since that traffic is billed.
type countingReader struct {
	source io.Reader
	count  *metrics.Counter
}

func (c countingReader) Read(b []byte) (int, error) {
	n, err := c.source.Read(b)
	c.count.Add(n)
	return n, err
}

// readResponse converts a peer's HTTP response to a Response or an
// errorResponse. It returns an error if the peer sent no complete response to
// this request.
func (e *Entry) readResponse(httpResp *http.Response, q *request, end func()) (*Response, *errorResponse, error) {
	if httpResp.Header.Get(headerRequestID) != q.id {
		wrongIDResponses.Inc()
		return nil, nil, errWrongID
	}
	if httpResp.Header.Get(fault.HeaderKind) != "" {
		defer end()
		raw, err := io.ReadAll(io.LimitReader(httpResp.Body, maxErrorBody))
		if err != nil {
			return nil, nil, err
		}
		errResp := &errorResponse{err: fault.Decode(raw), claimChecked: httpResp.Header.Get(headerClaimChecked) != ""}
		if errResp.err.Kind == fault.Unauthorized {
			return nil, nil, errTokenRejected
		}
		return nil, errResp, nil
	}
	resp := &Response{
		Status: httpResp.StatusCode,
		Header: httpResp.Header,
		Length: httpResp.ContentLength,
		Body:   httpResp.Body,
		Close:  end,
	}
	removeHopByHopHeaders(resp.Header)
	removeFleetHeaders(resp.Header)
	if q.method == http.MethodHead {
		resp.Buffered = true
		resp.Body = http.NoBody
		return resp, nil, nil
	}
	if err := bufferPrefix(resp); err != nil {
		return nil, nil, err
	}
	return resp, nil, nil
}

func outcomeOf(errResp *errorResponse) string {
	if errResp == nil {
		return "ok"
	}
	return string(errResp.err.Kind)
}
