package peerhttp

import (
	"encoding/json"
	"io"
	"net/http"
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
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h["Date"] = nil
	_, _ = w.Write(encoded) // the peer has gone if this fails
}
