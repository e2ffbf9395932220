package callerconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// defaultRequestBytes is the memory of a request without its head and its body.
	defaultRequestBytes = 16 << 10
	// fieldBytes is what a header field takes besides its bytes: its places in the
	// maps of the request and of the copy that is forwarded. Heads of 500 to 3,400
	// short fields take 78 to 117 bytes for each field in each of them; the rest is for
	// the smaller maps that these replace as they grow.
	fieldBytes = 320
	// headCopies: the bytes of a head are held as received and as forwarded.
	headCopies = 2
	// bufferBytes is the read buffer of net/http, which may hold the start of the
	// next request or of a body behind a head.
	bufferBytes = 4 << 10
)

// headCost returns the memory that a head takes.
func headCost(size, fields int) int64 { return headCopies*int64(size) + fieldBytes*int64(fields) }

// headCounter counts the bytes and fields of a head as it is read.
type headCounter struct {
	size, lines int
	lineBegun   bool // the current line has a byte other than CR
	complete    bool
	// rest is the number of lines behind the head, or of the previous request, that
	// the read buffer of net/http may hold.
	rest int
}

// add counts the bytes of the head.
func (h *headCounter) add(p []byte) {
	for i, b := range p {
		if h.complete {
			h.rest = bytes.Count(p[i:], []byte{'\n'})
			return
		}
		h.size++
		switch {
		case b == '\n' && !h.lineBegun && h.lines > 0:
			h.complete = true
		case b == '\n':
			if h.lineBegun {
				h.lines++
			}
			h.lineBegun = false
		case b != '\r':
			h.lineBegun = true
		}
	}
}

// addBody notes a read behind the head.
func (h *headCounter) addBody(p []byte, bufferSize int) {
	h.rest = 0
	if bufferSize <= bufferBytes {
		h.rest = bytes.Count(p, []byte{'\n'})
	}
}

// next begins a new head.
func (h *headCounter) next() { *h = headCounter{rest: h.rest} }

// countHead counts bytes of a head. If the head is over a limit or finds no memory,
// it writes the rejection and reports false.
func (c *conn) countHead(p []byte) bool {
	h := &c.head
	h.add(p)
	limit := int64(http.DefaultMaxHeaderBytes)
	if c.listener.options.HeadBytes != nil {
		limit = c.listener.options.HeadBytes()
	}
	switch {
	case int64(h.size) > limit:
		return c.rejectHead(headTooLong, http.StatusRequestHeaderFieldsTooLarge, "")
	case h.lines-1 > c.guard.settings.HeaderFields: // the first line is that of the request
		return c.rejectHead(tooManyFields, http.StatusRequestHeaderFieldsTooLarge, "")
	case !c.holdRequest(c.listener.requestBytes() + headCost(h.size, h.lines+h.rest)):
		return c.rejectHead("", http.StatusServiceUnavailable, "Retry-After: "+strconv.Itoa(int(retryAfterMemory/time.Second))+"\r\n")
	}
	return true
}

// rejectHead writes a response to a request whose head is not read further. The
// server has written all earlier responses, since it reads the next head after that.
func (c *conn) rejectHead(why reason, status int, fields string) bool {
	if why != "" {
		c.guard.count(c.listener, why)
	}
	c.unreadBody.Store(true)
	_, _ = io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\nConnection: close\r\nContent-Length: 0\r\n"+fields+"\r\n") // fails only if the caller has left
	return false
}

// holdRequest reserves memory for the request until n bytes are reserved. It reports
// false if there is too little.
func (c *conn) holdRequest(n int64) bool {
	c.mu.Lock()
	missing := n - c.requestHeld
	c.mu.Unlock()
	if missing <= 0 {
		return true
	}
	if !c.guard.take(c, forRequest, c.guard.Requests, missing) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.guard.give(c, forRequest, c.guard.Requests, missing)
		return false
	}
	c.requestHeld += missing
	return true
}

// endRequest returns the memory of the request.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.give(c, forRequest, c.guard.Requests, c.requestHeld)
	c.requestHeld = 0
}
