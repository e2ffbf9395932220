package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// callerReadTime is how long a caller may take to read a response.
const callerReadTime = 30 * time.Second

// restBuffer is the size in bytes of the buffer through which the rest of a response
// is passed on. It is part of what callerconn counts for each request.
const restBuffer = 8 << 10

// writeResponse writes the response of a target to the caller. If a streamed body
// ends early, the connection is aborted, so that the caller cannot take the
// response for a complete one.
func (g *Gateway) writeResponse(w http.ResponseWriter, req *request, resp *targetconn.Response) {
	defer resp.Close()
	g.limitWriting(w, req)
	h := w.Header()
	connection := h.Get("Connection")
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	g.closeWhenDraining(h)
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding one
	}
	switch {
	case resp.Rest == nil && req.outgoing.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	case resp.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	w.WriteHeader(resp.Status)
	_, err := w.Write(resp.Body)
	if err == nil && resp.Rest != nil {
		// The writer hides ReadFrom of net/http, whose buffer is four times as large.
		_, err = io.CopyBuffer(struct{ io.Writer }{w}, resp.Rest, make([]byte, restBuffer))
	}
	if err != nil {
		g.options.Log.Info("response to the caller truncated", zap.String("request_id", req.id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// limitWriting bounds the time in which the caller must read the response.
func (g *Gateway) limitWriting(w http.ResponseWriter, req *request) {
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerReadTime))
	if err != nil {
		g.options.Log.Warn("response is written without a deadline", zap.String("request_id", req.id), zap.Error(err))
	}
}

// writeError writes an error response. Retry-After carries fractions of a
// second.
func writeError(w http.ResponseWriter, requestID string, e *fault.Error) {
	kind := fault.ResponseOf(e.Kind)
	body, err := json.Marshal(fault.Body{
		Kind: e.Kind, Effect: e.Effect, Message: e.Detail, RequestID: requestID, RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		panic("gateway: body of a fault cannot be encoded: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(fault.HeaderKind, string(e.Kind))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(kind.Status)
	_, _ = w.Write(body) // fails only if the caller has left
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	source io.Reader
	count  int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.count += int64(n)
	return n, err
}
