package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON body of an error response.
type Body struct {
	Kind         Kind   `json:"kind"`
	Effect       Effect `json:"effect"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Headers of an error response. HeaderKind distinguishes an error of the fleet from
// an error response of an upstream.
const (
	HeaderKind      = "Sequoialane-Error"
	HeaderRequestID = "X-Request-Id"
)

// Write writes the error response for e. It must be called before anything else is
// written to w.
func Write(w http.ResponseWriter, requestID string, e *Error) {
	response := ResponseOf(e.Kind)
	body := Body{
		Kind:         e.Kind,
		Effect:       e.Effect,
		Message:      e.Detail,
		RequestID:    requestID,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("fault: encode error body: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(encoded)))
	h.Set(HeaderKind, string(e.Kind))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if response.Retryable && e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(e.RetryAfter), 10))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(encoded)
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// Decode decodes the body of an error response. A body that was not written by
// Write becomes an error of kind Internal.
func Decode(encoded []byte) *Error {
	var body Body
	if err := json.Unmarshal(encoded, &body); err != nil || !body.Kind.Valid() {
		return New(Internal, "peer sent an unreadable error body")
	}
	return &Error{
		Kind:       body.Kind,
		Effect:     body.Effect,
		Detail:     body.Message,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}
}
