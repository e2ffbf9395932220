package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// outgoing returns the request for one attempt.
func (r Request) outgoing(p *payload) *http.Request {
	out := &http.Request{Method: r.Method, URL: r.URL, Header: r.Header}
	p.attach(out)
	return out
}

// Write sends the result to the caller. A response that breaks off ends in an
// aborted connection (panic with http.ErrAbortHandler), never in a short
// success.
func Write(w http.ResponseWriter, requestID string, result Result) {
	if result.Err != nil {
		if result.ClaimChecked {
			w.Header().Set(HeaderClaimChecked, "1")
		}
		fault.Write(w, requestID, result.Err)
		return
	}
	resp := result.Response
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = append([]string(nil), values...)
	}
	h.Set(fault.HeaderRequestID, requestID)
	if resp.ContentLength > 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// closeHook is a body that runs a hook once at Close.
type closeHook struct {
	io.ReadCloser
	hook context.CancelFunc
	once sync.Once
}

func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.hook)
	return err
}
