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

func (e *Entry) peerRoutes(further map[string]http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+announce.PeerPath, e.RequireFleet(e.announcements().PeerHandler()))
	mux.Handle("POST "+peerProbePath, e.RequireFleet(http.HandlerFunc(e.serveProbe)))
	mux.Handle("POST "+membership.ExchangePath, e.RequireFleet(membership.ExchangeHandler(e.table, e.clock)))
	for pattern, handler := range further {
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

// RequireFleet lets requests with the fleet token through.
func (e *Entry) RequireFleet(next http.Handler) http.Handler { return requireToken(e.token, next) }

// servePeer handles a request that another entry passed on.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	beat := startHeartbeat(w)
	defer beat.stop()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	ctx, span := telemetry.Start(telemetry.Extract(r.Context(), r.Header), "entry.peer")
	defer span.End()
	q, refused := e.acceptPeer(w, r)
	var answer *Answer
	if refused == nil {
		ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(deadlineGrace))
		defer cancel()
		answer, refused = e.runForPeer(ctx, q)
	}
	countRequest(sidePeerIn, outcomeOf(refused))
	beat.stop()
	finish(w, q, answer, refused)
}

func (e *Entry) runForPeer(ctx context.Context, q *request) (*Answer, *refusal) {
	if q.mode == modeRelay {
		return e.relayTo(ctx, q)
	}
	return e.runHere(ctx, q)
}

func (e *Entry) acceptPeer(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	q := &request{
		id:       r.Header.Get(headerRequestID),
		keyed:    len(r.Header.Values(headerKey)) > 0,
		method:   r.Method,
		query:    r.URL.RawQuery,
		header:   r.Header,
		received: e.clock.Now(),
	}
	if err := q.readHead(r, peerRequestPath); err != nil {
		return q, refuse(err)
	}
	if err := q.readPeerHeader(r.Header); err != nil {
		return q, refuse(err)
	}
	q.header.Del("Authorization")
	removeConnectionHeaders(q.header)
	removeFleetHeaders(q.header)
	var err *fault.Error
	if q.body, err = peerBody(w, r, q.keyed); err != nil {
		return q, refuse(err)
	}
	return q, nil
}

// peerBody buffers a body that is small enough to be sent again, and passes a
// larger one on unread.
func peerBody(w http.ResponseWriter, r *http.Request, keyed bool) (*body, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	// The reader gets no ResponseWriter, since it would set a header while the
	// heartbeat writes.
	source := &pacedReader{source: http.MaxBytesReader(nil, r.Body, maxStreamBody), control: http.NewResponseController(w)}
	if r.ContentLength < 0 || r.ContentLength > bufferLimit(keyed) {
		allowDuplex(source.control)
		return &body{stream: source, length: r.ContentLength}, nil
	}
	whole, err := io.ReadAll(source)
	if err != nil {
		return nil, bodyFault(err)
	}
	return &body{buffered: whole, length: r.ContentLength}, nil
}

// heartbeat acknowledges a peer's request at once, and again while it runs, so
// that the sender notices a silent connection or a frozen process.
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

// stop must be called before the answer is written.
func (b *heartbeat) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
}

// ForwardAnnouncement passes an announcement to another entry.
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

// postPeer sends a small JSON request to another entry.
func (e *Entry) postPeer(ctx context.Context, to membership.Member, path string, body []byte, reply any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+e.token)
	r.Header.Set("Content-Type", "application/json")
	p := e.peers.get(to.PeerAddress)
	transport := p.transport.Load()
	response, err := transport.RoundTrip(r)
	if err != nil {
		if ctx.Err() != nil {
			p.renew(transport)
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
