package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/sequoialane/sequoialane/internal/address"
	"github.com/sequoialane/sequoialane/internal/announce"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/httpserver"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

func (e *Entry) callerRoutes() http.Handler {
	announceServer := e.announceServer()
	mux := http.NewServeMux()
	mux.Handle("GET "+address.Path, address.Handler(e.table, e.clock, e.self.Region, e.ttl))
	mux.Handle("POST "+announce.Path, requireToken(e.tokens.Upstream, announceServer.Handler()))
	mux.Handle("GET /admin/v1/members", requireToken(e.tokens.Operator, http.HandlerFunc(e.serveMembers)))
	mux.Handle("GET /admin/v1/upstreams", requireToken(e.tokens.Operator, http.HandlerFunc(e.serveUpstreams)))
	mux.Handle("GET /admin/v1/status", requireToken(e.tokens.Operator, http.HandlerFunc(e.serveStatus)))
	mux.HandleFunc("/", e.serveUnknown)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests to services bypass the mux, which redirects unclean paths.
		if len(r.URL.Path) >= len(servicePrefix) && r.URL.Path[:len(servicePrefix)] == servicePrefix {
			e.serveCaller(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Entry) announceServer() *announce.Server {
	return &announce.Server{Self: e.self.Name, Ranker: e.ranker, LocalRecords: e.services, Forwarder: e}
}

func (e *Entry) serveUnknown(w http.ResponseWriter, r *http.Request) {
	q := &request{id: newID(), keyed: len(r.Header.Values(headerKey)) > 0}
	writeError(w, q, newErrorResponse(fault.New(fault.UnknownService, "want a path /s/{service}/...")))
}

// requireToken rejects requests without the given bearer token. An empty token
// rejects all requests.
func requireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Hashing first hides the length of the expected token.
		got := sha256.Sum256([]byte(bearerToken(r.Header)))
		if token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			fault.Write(w, "", fault.New(fault.Unauthorized, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveCaller handles one request of a caller.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	started := time.Now()
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "entry.request")
	defer span.End()
	q, errResp := e.acceptCaller(w, r)
	defer func() { q.body.close() }()
	span.SetAttributes(attribute.String("request_id", q.id), attribute.String("service", q.service))
	var resp *Response
	if errResp == nil {
		ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(deadlineGrace))
		defer cancel()
		resp, errResp = e.route(ctx, q)
	}
	countRequest(sideCaller, outcomeOf(errResp))
	defer func() { requestDuration.Update(secondsSince(started)) }()
	writeResult(w, q, resp, errResp)
}

// writeResult writes the response or the error. If a response is truncated after
// its first bytes, it aborts the connection.
func writeResult(w http.ResponseWriter, q *request, resp *Response, errResp *errorResponse) {
	if errResp != nil {
		writeError(w, q, errResp)
		return
	}
	defer resp.close()
	if _, err := writeResponse(w, q, resp); err != nil {
		abortedResponses.Inc()
		panic(http.ErrAbortHandler)
	}
}

// acceptCaller reads and checks a request of a caller. The returned request has
// at least its id set, also if there is an error.
func (e *Entry) acceptCaller(w http.ResponseWriter, r *http.Request) (*request, *errorResponse) {
	id, err := requestID(r.Header)
	q := &request{
		id:       id,
		keyed:    len(r.Header.Values(headerKey)) > 0,
		method:   r.Method,
		query:    r.URL.RawQuery,
		header:   r.Header,
		received: e.clock.Now(),
	}
	if err != nil {
		limitUnreadBody(w, r)
		return q, newErrorResponse(err)
	}
	for _, check := range []func() *fault.Error{
		func() *fault.Error { return checkHead(r) },
		func() *fault.Error { return q.readHead(r, servicePrefix) },
		func() *fault.Error { return e.authorize(q, r) },
	} {
		if err := check(); err != nil {
			limitUnreadBody(w, r)
			return q, newErrorResponse(err)
		}
	}
	removeHopByHopHeaders(q.header)
	removeFleetHeaders(q.header)
	if q.body, err = readBody(w, r, q.keyed); err != nil {
		return q, newErrorResponse(err)
	}
	return q, nil
}

func checkHead(r *http.Request) *fault.Error {
	if headerBytes(r) > httpserver.MaxHeaderBytes {
		return fault.Newf(fault.HeaderTooLarge, "the headers have more than %d bytes", httpserver.MaxHeaderBytes)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return fault.New(fault.BadRequest, "the method is not supported")
	}
	return nil
}

// readHead sets the service, path, key and deadline from the request head.
func (q *request) readHead(r *http.Request, prefix string) *fault.Error {
	var err *fault.Error
	if q.service, q.path, err = splitPath(r, prefix); err != nil {
		return err
	}
	if q.key, err = idempotencyKey(r.Header); err != nil {
		return err
	}
	limit, err := requestTimeout(r.Header)
	if err != nil {
		return err
	}
	q.deadline = q.received.Add(limit)
	return nil
}

// authorize sets the plan that the token belongs to and its entitlement to the
// service.
func (e *Entry) authorize(q *request, r *http.Request) *fault.Error {
	if e.isolated() {
		return fault.New(fault.Isolated, "this entry cannot tell whether its plans are current").WithRetryAfter(time.Second)
	}
	snapshot := e.catalog.Current()
	if snapshot == nil {
		return fault.New(fault.Isolated, "this entry has no plans yet").WithRetryAfter(time.Second)
	}
	holder, ok := snapshot.Authenticate(bearerToken(r.Header))
	if !ok {
		return fault.New(fault.Unauthorized, "the bearer token belongs to no plan")
	}
	entitlement, ok := snapshot.Entitlement(holder.ID, q.service)
	if !ok {
		return fault.New(fault.NotEntitled, "the plan is not entitled to this service")
	}
	q.plan, q.entitlement = holder, entitlement
	q.header.Del("Authorization")
	return nil
}
