package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxReadAhead is the number of bytes of further requests that a connection
	// holds while a request runs. A close behind more bytes is noticed late.
	maxReadAhead = 64 << 10
	readAheadBuf = 4 << 10
	// lingerTime is how long a connection with unread requests is drained after
	// the last response. Closing it at once would reset it, and the caller could
	// lose that response.
	lingerTime = time.Second
	// maxLingerBytes limits what is drained.
	maxLingerBytes = 1 << 20
)

// pastDeadline ends a read at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a caller. The server reads it from one goroutine at a
// time.
type conn struct {
	net.Conn
	pipelined *metrics.Counter

	mu           sync.Mutex
	readDeadline time.Time     // set by the server
	ahead        []byte        // bytes that were read ahead
	aheadErr     error         // of reading ahead; returned after the bytes
	reading      chan struct{} // closed when the goroutine that reads ahead ends; nil: none
	stopping     bool          // the goroutine that reads ahead should end
	hasUnread    bool          // further requests may be unread
	onClose      func()        // called when the caller has closed the connection; may be nil
}

func (c *conn) setOnClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = f
}

// Read implements net.Conn. net/http reads a single byte only while a request
// runs; if there is one, the caller has sent a further request.
func (c *conn) Read(p []byte) (int, error) {
	c.stopReadingAhead()
	n, err, ok := c.takeAhead(p)
	if !ok {
		n, err = c.Conn.Read(p)
	}
	if n == 1 && len(p) == 1 && err == nil {
		c.pipelined.Inc()
		c.startReadingAhead()
	}
	return n, err
}

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
	c.hasUnread = false
	return 0, c.aheadErr, c.aheadErr != nil
}

func (c *conn) startReadingAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasUnread = true
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
		full := len(c.ahead) >= maxReadAhead || c.stopping
		var onClose func()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.aheadErr, onClose = err, c.onClose
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

// stopReadingAhead ends the goroutine that reads ahead, if there is one, and
// waits for it.
func (c *conn) stopReadingAhead() {
	c.mu.Lock()
	reading := c.reading
	c.reading = nil
	c.stopping = true
	c.mu.Unlock()
	if reading == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails if the connection is closed, which ends the read as well
	<-reading
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.reading != nil {
		return nil // set once the goroutine has ended
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn. It drains a connection with unread requests before
// it closes it, in the background.
func (c *conn) Close() error {
	c.stopReadingAhead()
	c.mu.Lock()
	linger := c.hasUnread && c.aheadErr == nil
	c.hasUnread = false
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !linger || !ok || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // ends with the caller's close or the deadline
		_ = c.Conn.Close()
	}()
	return nil
}
