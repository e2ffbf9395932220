package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/announce"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

func (e *Entry) peerRoutes(extra map[string]http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+announce.PeerPath, e.RequireFleet(e.announceServer().PeerHandler()))
	mux.Handle("POST "+peerProbePath, e.RequireFleet(http.HandlerFunc(e.serveProbe)))
	mux.Handle("POST "+membership.ExchangePath, e.RequireFleet(membership.ExchangeHandler(e.table, e.clock)))
	for pattern, handler := range extra {
		mux.Handle(pattern, handler)
	}
	mux.HandleFunc("/", e.serveUnknown)
	requests := e.RequireFleet(http.HandlerFunc(e.servePeer))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.URL.Path) >= len(peerRequestPath) && r.URL.Path[:len(peerRequestPath)] == peerRequestPath {
			requests.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// RequireFleet rejects requests without the fleet token.
func (e *Entry) RequireFleet(next http.Handler) http.Handler { return requireToken(e.fleetToken, next) }

// servePeer handles a request that another entry forwarded.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	beat := startHeartbeat(w)
	defer beat.stop()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "entry.peer")
	defer span.End()
	q, errResp := e.acceptPeer(w, r)
	defer func() { q.body.close() }()
	var resp *Response
	if errResp == nil {
		ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(deadlineGrace))
		defer cancel()
		resp, errResp = e.runForPeer(ctx, q)
	}
	countRequest(sidePeerIn, outcomeOf(errResp))
	beat.stop()
	writeResult(w, q, resp, errResp)
}

func (e *Entry) runForPeer(ctx context.Context, q *request) (*Response, *errorResponse) {
	if q.mode == modeRelay {
		return e.relayTo(ctx, q)
	}
	return e.runLocal(ctx, q)
}

func (e *Entry) acceptPeer(w http.ResponseWriter, r *http.Request) (*request, *errorResponse) {
	q := &request{
		id:       r.Header.Get(headerRequestID),
		keyed:    len(r.Header.Values(headerKey)) > 0,
		method:   r.Method,
		query:    r.URL.RawQuery,
		header:   r.Header,
		received: e.clock.Now(),
	}
	if err := q.readHead(r, peerRequestPath); err != nil {
		return q, newErrorResponse(err)
	}
	if err := q.readPeerHeader(r.Header); err != nil {
		return q, newErrorResponse(err)
	}
	q.header.Del("Authorization")
	removeHopByHopHeaders(q.header)
	removeFleetHeaders(q.header)
	var err *fault.Error
	if q.body, err = e.peerBody(w, r, q.keyed); err != nil {
		return q, newErrorResponse(err)
	}
	return q, nil
}

// peerBody buffers a body that is small enough to be sent again, within the memory for
// bodies. It returns a larger one as a stream, unread.
func (e *Entry) peerBody(w http.ResponseWriter, r *http.Request, keyed bool) (*body, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	// MaxBytesReader gets no ResponseWriter, since it would set a header while
	// the heartbeat writes one concurrently.
	source := &timeoutReader{source: http.MaxBytesReader(nil, r.Body, maxStreamBody), control: http.NewResponseController(w)}
	if r.ContentLength < 0 || r.ContentLength > bufferLimit(keyed) {
		enableFullDuplex(source.control)
		return &body{stream: source, length: r.ContentLength}, nil
	}
	size := r.ContentLength + bytes.MinRead // bytes.Buffer reads to the end without growing
	if !e.guard.TakePeerBody(size) {
		// The sender may not read the response before it has sent the whole body.
		_, _ = io.Copy(io.Discard, source)
		return nil, fault.New(fault.Overloaded, "the owner holds too many bodies").WithRetryAfter(time.Second)
	}
	b := &body{length: r.ContentLength, release: func() { e.guard.GivePeerBody(size) }}
	whole := bytes.NewBuffer(make([]byte, 0, size))
	if _, err := whole.ReadFrom(source); err != nil {
		b.close()
		return nil, bodyError(err)
	}
	b.buffered = whole.Bytes()
	return b, nil
}

// heartbeat acknowledges a peer's request with 102 (Processing) on arrival and
// every heartbeatPeriod while it runs, so that the sender notices a dead
// connection or a frozen process.
type heartbeat struct {
	w http.ResponseWriter

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

func startHeartbeat(w http.ResponseWriter) *heartbeat {
	b := &heartbeat{w: w}
	b.mu.Lock()
	defer b.mu.Unlock()
	w.WriteHeader(http.StatusProcessing)
	b.timer = time.AfterFunc(heartbeatPeriod, b.beat)
	return b
}

func (b *heartbeat) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.w.WriteHeader(http.StatusProcessing)
	b.timer.Reset(heartbeatPeriod)
}

// stop ends the heartbeat. It must be called before the response is written.
func (b *heartbeat) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
}

// ForwardAnnouncement forwards an announcement to another entry. It implements
// announce.Forwarder.
func (e *Entry) ForwardAnnouncement(ctx context.Context, to membership.Member, a upstream.Announcement) (upstream.ApplyResult, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return "", trace.Wrap(err)
	}
	var reply announce.Reply
	if err := e.postPeer(ctx, to, announce.PeerPath, body, &reply); err != nil {
		return "", trace.Wrap(err)
	}
	return reply.Result, nil
}

// postPeer sends a JSON request to another entry and decodes its reply.
func (e *Entry) postPeer(ctx context.Context, to membership.Member, path string, body []byte, reply any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+e.fleetToken)
	r.Header.Set("Content-Type", "application/json")
	p := e.peers.get(to.PeerAddress)
	transport := p.transport.Load()
	response, err := transport.RoundTrip(r)
	if err != nil {
		if ctx.Err() != nil {
			p.replaceTransport(transport)
		}
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return fault.Decode(raw)
	}
	return trace.Wrap(json.Unmarshal(raw, reply))
}
