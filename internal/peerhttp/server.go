package peerhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// MaxRequestBytes bounds the body of a call.
const MaxRequestBytes = 16 << 20

// Decode reads the JSON body of a call. It answers 400 and returns false if
// the body cannot be read.
func Decode(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Answer writes the answer of a call as JSON.
func Answer(w http.ResponseWriter, answer any) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "the answer cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	Write(w, encoded)
}

// Write writes an answer that is encoded already, in parts.
func Write(w http.ResponseWriter, parts ...[]byte) {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(length))
	h["Date"] = nil
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return // the peer has gone
		}
	}
}

// AcceptsGzip reports whether the caller takes a compressed answer.
func AcceptsGzip(r *http.Request) bool { return r.Header.Get("Accept-Encoding") == "gzip" }
