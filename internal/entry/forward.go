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

// deadlineGrace is added to the deadline while waiting for a peer, so that its
// own answer to the deadline, which says more, arrives first.
const deadlineGrace = 50 * time.Millisecond

// hopError says why an entry got no answer from another one.
type hopError struct {
	reason error
	sent   bool // the peer may have got the request
	reach  bool // the peer accepted a connection
}

func (h *hopError) Error() string { return "entry: no answer from the peer: " + h.reason.Error() }

var (
	errWrongID  = errors.New("the answer belongs to another request")
	errNotFleet = errors.New("the peer refused the fleet token")
)

// forward sends the request to a peer. On a reused connection that stays
// silent, it tries once more on a fresh one, if the body can be sent again:
// the resend of a request with a key is held back by its claim, and a request
// without a key is run only if it is idempotent.
func (e *Entry) forward(ctx context.Context, to membership.Member, q *request, m mode, target string) (*Answer, *refusal, *hopError) {
	ctx, span := telemetry.Start(ctx, "entry.forward")
	defer span.End()
	span.SetAttributes(attribute.String("peer", to.Name), attribute.String("mode", string(m)))
	started := time.Now()
	p := e.peers.get(to.PeerAddress)
	for {
		answer, refused, failed, reused := e.forwardOnce(ctx, p, to, q, m, target)
		if failed == nil {
			countRequest(sidePeerOut, outcomeOf(refused))
			forwardDuration.Update(since(started))
			return answer, refused, nil
		}
		again := reused && q.body.replayable() && ctx.Err() == nil
		if !again {
			countRequest(sidePeerOut, "unreachable")
			return nil, nil, failed
		}
	}
}

func (e *Entry) forwardOnce(ctx context.Context, p *peer, to membership.Member, q *request, m mode, target string) (*Answer, *refusal, *hopError, bool) {
	ctx, stop := context.WithDeadline(ctx, q.deadline.Add(deadlineGrace))
	r := e.peerRequest(ctx, to, q, m, target)
	got := p.roundTrip(ctx, r)
	if got.err != nil {
		stop()
		return nil, nil, &hopError{reason: got.err, sent: got.sent, reach: got.sent}, got.reused
	}
	end := func() {
		_ = got.response.Body.Close()
		got.cancel(nil)
		stop()
	}
	answer, refused, err := e.readAnswer(got.response, q, end)
	if err != nil {
		got.cancel(err)
		end()
		return nil, nil, &hopError{reason: err, sent: true, reach: true}, got.reused
	}
	if answer != nil && to.Region != e.self.Region {
		answer.Body = countedReader{answer.Body, crossedReceived}
	}
	return answer, refused, nil, got.reused
}

func (e *Entry) peerRequest(ctx context.Context, to membership.Member, q *request, m mode, target string) *http.Request {
	h := q.peerHeader(m, target, e.clock.Now())
	h.Set("Authorization", "Bearer "+e.token)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	telemetry.Inject(ctx, h)
	escaped := peerRequestPath + q.service + q.path
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		plain = escaped
	}
	r := &http.Request{
		Method: q.method,
		URL:    &url.URL{Scheme: "http", Host: to.PeerAddress, Path: plain, RawPath: escaped, RawQuery: q.query},
		Host:   to.PeerAddress,
		Header: h,
		Body:   http.NoBody,
	}
	if q.body.length != 0 {
		content := q.body.reader()
		if to.Region != e.self.Region {
			content = countedReader{content, crossedSent}
		}
		r.Body = io.NopCloser(content)
		r.ContentLength = q.body.length
	}
	return r
}

// countedReader counts the bytes that pass between regions, which are billed.
type countedReader struct {
	source io.Reader
	count  *metrics.Counter
}

func (c countedReader) Read(b []byte) (int, error) {
	n, err := c.source.Read(b)
	c.count.Add(n)
	return n, err
}

// readAnswer turns a peer's response into an answer or a refusal. An error
// means that no whole answer to this request came.
func (e *Entry) readAnswer(response *http.Response, q *request, end func()) (*Answer, *refusal, error) {
	if response.Header.Get(headerRequestID) != q.id {
		wrongID.Inc()
		return nil, nil, errWrongID
	}
	if response.Header.Get(fault.HeaderKind) != "" {
		defer end()
		raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		if err != nil {
			return nil, nil, err
		}
		refused := &refusal{err: fault.Decode(raw), checked: response.Header.Get(headerClaimChecked) != ""}
		if refused.err.Kind == fault.Unauthorized {
			return nil, nil, errNotFleet
		}
		return nil, refused, nil
	}
	answer := &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Body:   response.Body,
		Close:  end,
	}
	removeConnectionHeaders(answer.Header)
	removeFleetHeaders(answer.Header)
	if q.method == http.MethodHead {
		answer.Whole = true
		answer.Body = http.NoBody
		return answer, nil, nil
	}
	if err := settle(answer); err != nil {
		return nil, nil, err
	}
	return answer, nil, nil
}

func outcomeOf(refused *refusal) string {
	if refused == nil {
		return "ok"
	}
	return string(refused.err.Kind)
}
