package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Limits of a request.
const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = 60 * time.Second
	maxRequestID   = 128 // bytes
	servicePrefix  = "/s/"
)

// request is a request that this entry handles.
type request struct {
	id          string
	service     string
	path        string // path after the service name; starts with "/"
	query       string
	method      string
	header      http.Header
	key         string
	keyed       bool // the caller sent an idempotency key, valid or not
	plan        plan.Plan
	entitlement plan.Entitlement
	deadline    time.Time
	received    time.Time
	body        *body
	mode        mode   // empty if the request came from a caller
	relayTo     string // name of the entry to relay to; set with modeRelay
}

// planHeader is the content of headerPlan: the plan of a request, as the entry
// that accepted it read it from the catalog.
type planHeader struct {
	Plan        plan.Plan        `json:"plan"`
	Entitlement plan.Entitlement `json:"entitlement"`
}

// requestID returns the request id of the caller, or a new one if there is none.
// If the id is invalid, it returns a new one and an error.
func requestID(h http.Header) (string, *fault.Error) {
	given := h.Get(headerRequestID)
	if given == "" {
		return newID(), nil
	}
	if len(given) > maxRequestID || strings.ContainsFunc(given, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return newID(), fault.New(fault.BadRequest, "X-Request-Id: want at most 128 printable ASCII characters without spaces")
	}
	return given, nil
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// splitPath splits a request path after prefix into the service and the
// remaining path. The path stays escaped, so that the upstream sees what the
// caller sent.
func splitPath(r *http.Request, prefix string) (service, path string, err *fault.Error) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), prefix)
	if !ok {
		return "", "", fault.New(fault.UnknownService, "want a path /s/{service}/...")
	}
	service, path, _ = strings.Cut(rest, "/")
	if !plan.ValidName(service) {
		return "", "", fault.New(fault.UnknownService, "no service of this name")
	}
	return service, "/" + path, nil
}

// requestTimeout parses the header Request-Timeout.
func requestTimeout(h http.Header) (time.Duration, *fault.Error) {
	text := h.Get(headerTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, fault.New(fault.BadRequest, `Request-Timeout: want a duration up to 60s, such as "1500ms"`)
	}
	return d, nil
}

// idempotencyKey parses the header Idempotency-Key. No entry accepts a malformed
// key, so the effect of the error is not-run.
func idempotencyKey(h http.Header) (string, *fault.Error) {
	values := h.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", fault.New(fault.KeyInvalid, "Idempotency-Key: want one value")
	}
	parsed, err := uuid.Parse(values[0])
	if err != nil || len(values[0]) != 36 || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 {
		return "", fault.New(fault.KeyInvalid, "Idempotency-Key: want a UUID version 7")
	}
	return parsed.String(), nil
}

// bearerToken returns the bearer token of the Authorization header, or "".
func bearerToken(h http.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// peerHeader returns the headers to forward the request to another entry with.
func (q *request) peerHeader(m mode, relayTo string, now time.Time) http.Header {
	h := q.header.Clone()
	described, err := json.Marshal(planHeader{q.plan, q.entitlement})
	if err != nil {
		panic("entry: cannot encode plan header: " + err.Error())
	}
	h.Set(headerPlan, string(described))
	h.Set(headerMode, string(m))
	if relayTo != "" {
		h.Set(headerRelayTo, relayTo)
	}
	h.Set(headerRequestID, q.id)
	h.Set(headerTimeout, max(q.deadline.Sub(now), time.Millisecond).String())
	return h
}

// readPeerHeader sets the plan, mode and relayTo of a request that another entry
// forwarded.
func (q *request) readPeerHeader(h http.Header) *fault.Error {
	var p planHeader
	if err := json.Unmarshal([]byte(h.Get(headerPlan)), &p); err != nil || p.Plan.ID == "" {
		return fault.New(fault.BadRequest, "peer request without a plan")
	}
	q.plan, q.entitlement = p.Plan, p.Entitlement
	q.mode = mode(h.Get(headerMode))
	q.relayTo = h.Get(headerRelayTo)
	switch q.mode {
	case modeRun, modeRunOnly:
		return nil
	case modeRelay:
		if q.relayTo != "" {
			return nil
		}
	}
	return fault.New(fault.BadRequest, "peer request with an unknown mode")
}
