package peerhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// MaxRequestBytes is the maximum size of the body of a call.
const MaxRequestBytes = 16 << 20

// Call is a call of another process that is being served. Its response is encoded
// as its request was.
type Call struct {
	w      http.ResponseWriter
	format format
}

// Decode decodes the body of a call. If that fails, it responds with 400 and
// returns false.
func Decode(w http.ResponseWriter, r *http.Request, target any) (Call, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	call := Call{w: w, format: formatOf(raw)}
	if err == nil {
		err = call.format.unmarshal(raw, target)
	}
	if err != nil {
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
		return call, false
	}
	return call, true
}

// Respond writes the response to the call.
func (c Call) Respond(response any) {
	encoded, err := c.format.marshal(response)
	if err != nil {
		http.Error(c.w, "the answer cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	c.RespondEncoded(encoded)
}

// RespondEncoded writes a response that consists of parts that are already
// encoded, in either format.
func (c Call) RespondEncoded(parts ...[]byte) {
	if c.format == formatCBOR {
		c.w.Header()["Content-Type"] = nil // keeps net/http from adding one; the caller does not need it
	}
	WriteEncoded(c.w, parts...)
}

// RespondEmpty confirms the call without a body.
func (c Call) RespondEmpty() {
	c.w.Header()["Date"] = nil
	c.w.WriteHeader(http.StatusNoContent)
}

// WriteJSON writes the response to a call as JSON.
func WriteJSON(w http.ResponseWriter, response any) {
	encoded, err := json.Marshal(response)
	if err != nil {
		http.Error(w, "the answer cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	WriteEncoded(w, encoded)
}

// WriteEncoded writes a response that consists of parts that are already
// encoded as JSON.
func WriteEncoded(w http.ResponseWriter, parts ...[]byte) {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	h := w.Header()
	if _, set := h["Content-Type"]; !set {
		h.Set("Content-Type", "application/json")
	}
	h.Set("Content-Length", strconv.Itoa(length))
	h["Date"] = nil
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return // the peer has closed the connection
		}
	}
}

// AcceptsGzip reports whether the caller accepts a compressed response.
func AcceptsGzip(r *http.Request) bool { return r.Header.Get("Accept-Encoding") == "gzip" }
