package peerhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// MaxRequestBytes is the maximum size of the body of a call.
const MaxRequestBytes = 16 << 20

// Decode decodes the JSON body of a call. If that fails, it responds with 400 and
// returns false.
func Decode(w http.ResponseWriter, r *http.Request, target any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err == nil {
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
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
	h.Set("Content-Type", "application/json")
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
