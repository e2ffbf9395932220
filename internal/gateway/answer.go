package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// pass writes the answer of a target to the caller. A long answer that breaks
// off ends the connection, so that it does not look whole.
func (g *Gateway) pass(w http.ResponseWriter, q *request, a *targetconn.Answer) {
	h := w.Header()
	closing := h.Get("Connection")
	for name, values := range a.Header {
		h[name] = values
	}
	dropConnectionHeaders(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if h["Date"] == nil {
		h["Date"] = nil // not added
	}
	switch {
	case a.Rest == nil && q.outgoing.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	case a.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if err == nil && a.Rest != nil {
		_, err = io.Copy(w, a.Rest)
	}
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
	if err != nil {
		g.options.Log.Info("answer broke off", zap.String("request_id", q.id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// writeFault answers with an error of the closed list. The time to come back is
// given with fractions of a second.
func writeFault(w http.ResponseWriter, requestID string, e *fault.Error) {
	answer := fault.AnswerOf(e.Kind)
	body, err := json.Marshal(fault.Body{
		Kind: e.Kind, Effect: e.Effect, Message: e.Detail, RequestID: requestID, RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		panic("gateway: body of an error cannot be encoded: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(fault.HeaderKind, string(e.Kind))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(body) // the caller has gone if this fails
}
