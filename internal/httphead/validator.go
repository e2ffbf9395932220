package httphead

import (
	"io"
	"sync"
)

// Validator validates the responses that package net/http reads from a connection.
// The zero value is a new connection. It is safe for concurrent use.
type Validator struct {
	mu     sync.Mutex // also held by Begin, which the sender of a request calls
	stream Stream
}

// Begin expects the response to a request with the method. It is called before the
// request is written.
func (v *Validator) Begin(method string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stream.Begin(method)
}

// Read reads from the connection and returns the bytes that are valid.
//
// The first byte of a response is returned even if it is malformed: if reading
// fails before it, the transport of package net/http sends the request again by
// itself, and the fault of the target would not be noticed. What is returned is
// never a complete head unless it is valid.
func (v *Validator) Read(source io.Reader, p []byte) (int, error) {
	if err := v.failed(); err != nil {
		return 0, err
	}
	n, err := source.Read(p)
	if n == 0 {
		return n, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	isFirst := v.stream.phase == inHead && !v.stream.started && v.stream.err == nil
	valid, invalid := v.stream.Accept(p[:n])
	switch {
	case invalid == nil:
		return n, err
	case valid > 0:
		return valid, nil // the next call returns the error
	case isFirst:
		return 1, nil
	default:
		return 0, invalid
	}
}

// failed returns the error of an earlier read.
func (v *Validator) failed() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stream.err
}
