package gateway

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membudget"
)

// Sizes of the buffer of a body, in bytes.
const (
	// firstBodyBuffer is allocated at most before any byte has arrived.
	firstBodyBuffer = 64 << 10
	minBodyBuffer   = 512
	// endOfBody is the room that the last read needs, which returns the end.
	endOfBody = 1
)

// bodyBuffer is a request body in memory, within the memory for bodies.
type bodyBuffer struct {
	memory *membudget.Budget
	bytes  []byte
	taken  int64 // from memory
}

// release gives back the memory of the body.
func (b *bodyBuffer) release() {
	b.memory.Give(b.taken)
	b.taken = 0
}

// takeUpTo takes memory until total bytes are taken. It reports false if there is
// too little.
func (b *bodyBuffer) takeUpTo(total int) bool {
	missing := int64(total) - b.taken
	if missing <= 0 {
		return true
	}
	if !b.memory.Take(missing) {
		return false
	}
	b.taken += missing
	return true
}

// readBody reads the request body, which must arrive by the request's deadline.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request, limit int64) (*bodyBuffer, *fault.Error) {
	body := &bodyBuffer{memory: g.options.BodyMemory}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return body, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, fault.New(fault.BodyTooLarge, "the body is over the limit")
	}
	if !g.options.BodyMemory.Fits(r.ContentLength) {
		return nil, tooManyBodies()
	}
	if limit <= 0 {
		limit = math.MaxInt64
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(req.deadline); err != nil {
		return nil, fault.Newf(fault.Internal, "no read deadline: %v", err).WithEffect(fault.NotRun)
	}
	rejection := body.fill(r.Body, r.ContentLength, limit)
	_ = controller.SetReadDeadline(time.Time{}) // supported, since the call above succeeded
	if rejection != nil {
		body.release()
		return nil, rejection
	}
	return body, nil
}

// fill reads the body. It takes the bytes from the memory for bodies as they
// arrive, and all of the buffer once that is over firstBodyBuffer: bodies that only
// fit one after the other would otherwise all be rejected halfway. declared is the
// length of the body; negative: unknown.
func (b *bodyBuffer) fill(src io.Reader, declared, limit int64) *fault.Error {
	b.bytes = make([]byte, 0, min(max(int(declared)+endOfBody, minBodyBuffer), firstBodyBuffer))
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow(declared) {
			return tooManyBodies()
		}
		n, err := src.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) > limit:
			return fault.New(fault.BodyTooLarge, "the body is over the limit")
		case !b.takeUpTo(len(b.bytes)):
			return tooManyBodies()
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return bodyError(err)
		}
	}
}

// grow replaces the full buffer: by one for the declared length, or by one twice as
// large. It reports false if there is too little memory.
func (b *bodyBuffer) grow(declared int64) bool {
	size := 2 * cap(b.bytes)
	if declared > int64(len(b.bytes)) {
		size = int(declared) + endOfBody
	}
	if !b.takeUpTo(size - endOfBody) {
		return false
	}
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	return true
}

func tooManyBodies() *fault.Error {
	return fault.New(fault.Overloaded, "too many bodies are held").WithRetryAfter(retryAfterBodyMemory)
}

func bodyError(err error) *fault.Error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	}
	return fault.Newf(fault.BadRequest, "the body cannot be read: %v", err)
}
