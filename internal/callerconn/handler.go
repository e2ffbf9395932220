package callerconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membudget"
)

const (
	// unreadBodyTime is how long the rest of the body of a request that was answered
	// early may take. net/http reads up to 256 KiB of it to keep the connection.
	unreadBodyTime = 5 * time.Second
	// retryAfterMemory is when a request that found no memory may be repeated.
	retryAfterMemory = time.Second
)

type contextKey struct{}

// connOf returns the connection of a request, or nil if no guard limits it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	if c == nil || c.guard == nil {
		return nil
	}
	return c
}

// unlimited is the memory for bodies of requests whose connections no guard limits.
var unlimited = &membudget.Budget{}

// BodyMemory returns the memory for bodies that the guard of the connection of a
// request has.
func BodyMemory(ctx context.Context) *membudget.Budget {
	if c := connOf(ctx); c != nil {
		return c.guard.Bodies
	}
	return unlimited
}

// TakeBody reserves n bytes of the memory for bodies for the request with the
// context. If too little is left, requests whose bodies do not arrive lose theirs.
func TakeBody(ctx context.Context, memory *membudget.Budget, n int64) bool {
	if c := connOf(ctx); c != nil {
		return c.guard.take(c, forBody, memory, n)
	}
	return memory.Take(n)
}

// GiveBody returns n bytes that TakeBody reserved.
func GiveBody(ctx context.Context, memory *membudget.Budget, n int64) {
	if c := connOf(ctx); c != nil {
		c.guard.give(c, forBody, memory, n)
		return
	}
	memory.Give(n)
}

// handler counts the head of a request, and limits the time for the rest of a body
// that the handler did not read.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		g.endIfShort(c, w)
		if !c.holdRequest(c.listener.requestBytes() + headCost(headOf(r))) {
			w.Header().Set("Connection", "close")
			fault.Write(w, "", fault.New(fault.Overloaded, "too many requests are held").WithRetryAfter(retryAfterMemory))
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &endReader{ReadCloser: r.Body}
		r.Body = body
		defer func() {
			if !body.ended {
				c.unreadBody.Store(true)
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// headOf returns the size in bytes and the number of fields of a head.
func headOf(r *http.Request) (size, fields int) {
	size = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	return size, fields
}

// endReader notes the end of a body.
type endReader struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		e.ended = true
	}
	return n, err
}
