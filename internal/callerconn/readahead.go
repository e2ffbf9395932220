package callerconn

import (
	"errors"
	"os"
)

const (
	// maxReadAhead is the number of bytes of further requests that a connection
	// holds while a request runs. A close behind more bytes is noticed late.
	maxReadAhead = 64 << 10
	readAheadBuf = 4 << 10
)

// takeAhead returns bytes that were read ahead, or the error after them. It
// returns false if there are none.
func (c *conn) takeAhead(p []byte) (int, error, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil, true
	}
	c.ahead = nil
	c.giveAhead()
	c.hasUnread = false
	return 0, c.aheadErr, c.aheadErr != nil
}

func (c *conn) startReadingAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasUnread = true
	c.headBegun = true
	if c.aheadErr != nil {
		return
	}
	c.stopping = false
	c.reading = make(chan struct{})
	go c.readAhead(c.reading)
}

// readAhead reads until the server reads again, the limit is reached or the
// caller closes the connection.
func (c *conn) readAhead(ended chan struct{}) {
	defer close(ended)
	buffer := make([]byte, readAheadBuf)
	for {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.ahead = append(c.ahead, buffer[:n]...)
		full := len(c.ahead) >= maxReadAhead || c.stopping || !c.holdAhead()
		var onClose func()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.aheadErr, onClose = err, c.onClose
			c.noteClose(err)
		}
		c.mu.Unlock()
		if onClose != nil {
			onClose()
		}
		if err != nil || full {
			return
		}
	}
}

// holdAhead reserves memory for what was read ahead. It reports false if there is too
// little; then no more is read. c.mu is held.
func (c *conn) holdAhead() bool {
	missing := int64(cap(c.ahead)) - c.aheadHeld
	if c.guard == nil || missing <= 0 {
		return true
	}
	if c.closed || !c.guard.Requests.Take(missing) {
		return false
	}
	c.aheadHeld += missing
	return true
}

// giveAhead returns the memory for what was read ahead. c.mu is held.
func (c *conn) giveAhead() {
	if c.aheadHeld > 0 {
		c.guard.Requests.Give(c.aheadHeld)
		c.aheadHeld = 0
	}
}

// stopReadingAhead ends the goroutine that reads ahead, if there is one, and
// waits for it.
func (c *conn) stopReadingAhead() {
	c.mu.Lock()
	reading := c.reading
	c.stopping = true
	c.mu.Unlock()
	if reading == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails if the connection is closed, which ends the read as well
	<-reading
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading == reading {
		c.reading = nil
	}
	_ = c.Conn.SetReadDeadline(c.deadline())
}
