package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lingerTime is how long a connection with unread requests is drained after
	// the last response. Closing it at once would reset it, and the caller could
	// lose that response.
	lingerTime = time.Second
	// maxLingerBytes limits what is drained.
	maxLingerBytes = 1 << 20
	// progressBytes is the number of bytes of a body that count as progress of its
	// sender, or the start of a head. A sender of single bytes makes none.
	progressBytes = 4 << 10
	// headProgressBytes is the same for heads.
	headProgressBytes = 512
	// writeChunk is the number of bytes that a caller must read within the write
	// timeout.
	writeChunk = 16 << 10
)

// phase of a connection.
type phase int32

const (
	phaseNew    phase = iota // no byte of a request has arrived
	phaseHead                // part of a head has arrived
	phaseActive              // a request is handled
	phaseIdle                // between requests
	phaseLinger              // closed for the server, but drained
)

// account of the memory of a connection.
type account int

const (
	forBody account = iota
	forRequest
	accounts
)

// stalledConn is a connection that may be closed for others.
type stalledConn struct {
	conn   *conn
	reason reason
	over   time.Duration // beyond the time that it may be without progress
}

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
	headBegun    bool          // the server has read the first byte of a further head
	onClose      func()        // called when the caller has closed the connection; may be nil
	aheadHeld    int64         // bytes of the guard's memory for ahead
	requestHeld  int64         // bytes of the guard's memory for the request
	closed       bool          // no memory may be taken any more
	draining     bool          // the connection ends after its request

	guard      *Guard // nil: no limits
	listener   *Listener
	head       headCounter // used by the server's goroutine only
	unreadBody atomic.Bool // the rest of a body may be unread
	evicted    atomic.Bool // reads fail, so that the request ends
	held       [accounts]atomic.Int64
	phase      atomic.Int32
	receiving  atomic.Bool  // the server waits for bytes
	sending    atomic.Bool  // the server waits for the caller to read
	progress   atomic.Int64 // time of the last progress, on the guard's clock
	readEnd    atomic.Int64 // time at which the last read ended
	fresh      int          // bytes since the last progress; used by the server's goroutine only
	writeLimit atomic.Int64 // deadline set by the server, in Unix nanoseconds; 0: none

	request      atomic.Int32 // what has arrived and been answered of the current request
	callerClosed atomic.Bool  // the caller has closed the connection
}

// setPhase changes the phase, which is progress.
func (c *conn) setPhase(p phase) {
	c.phase.Store(int32(p))
	if c.guard == nil {
		return
	}
	c.fresh = 0
	now := c.guard.clock()
	c.progress.Store(now)
	c.readEnd.Store(now)
}

// stalled reports whether the connection may be closed for others, and why.
func (c *conn) stalled(now time.Time) (stalledConn, bool) {
	s := stalledConn{conn: c}
	var allowed time.Duration
	switch p := phase(c.phase.Load()); {
	case p == phaseNew || p == phaseHead:
		s.reason, allowed = stalledHead, c.listener.headTime()
	case p == phaseIdle:
		s.reason, allowed = idleTooLong, c.listener.idleTime()
	case p == phaseLinger:
		s.reason = stalledBody
	case c.sending.Load():
		s.reason, allowed = stalledReader, writeStallTime
	case c.receiving.Load():
		s.reason, allowed = stalledBody, c.guard.settings.StallTime.Std()
	default:
		return s, false // the request is being worked on
	}
	s.over = time.Duration(c.guard.at(now)-c.progress.Load()) - allowed
	if s.over >= 0 && c.awaitsHead() && unreadBytes(c.Conn) > 0 {
		return s, false // the process has not run since they arrived
	}
	return s, s.over >= 0
}

// evict ends the request of the connection: a body that does not arrive with an
// error, so that the handler can respond, and anything else by closing it.
func (c *conn) evict() {
	c.evicted.Store(true)
	if phase(c.phase.Load()) == phaseActive && !c.sending.Load() {
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails if the connection is closed
		return
	}
	_ = c.Conn.Close()
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
	if c.evicted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err, ok := c.takeAhead(p)
	if !ok {
		n, err = c.readSocket(p)
	}
	if n > 0 && !c.received(p[:n], len(p)) {
		return 0, os.ErrDeadlineExceeded // net/http writes no response after this error
	}
	if n == 1 && len(p) == 1 && err == nil {
		c.pipelined.Inc()
		c.startReadingAhead()
	}
	return n, err
}

// readSocket reads from the caller. The time in which a handler does not read a body
// does not count as a stall of the sender. A read of one byte only notices a close.
func (c *conn) readSocket(p []byte) (int, error) {
	if c.guard == nil || len(p) == 1 {
		return c.readRaw(p)
	}
	if phase(c.phase.Load()) == phaseActive {
		c.progress.Add(c.guard.clock() - c.readEnd.Load())
	}
	c.receiving.Store(true)
	n, err := c.readRaw(p)
	c.receiving.Store(false)
	c.readEnd.Store(c.guard.clock())
	if c.evicted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// readRaw reads from the socket. A connection between requests is only given up after a
// look for bytes that have arrived.
func (c *conn) readRaw(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil {
		n, err = c.lookAgain(p, err)
	}
	c.noteClose(err)
	return n, err
}

// noteClose notes that the caller has closed the connection if a read ended with err.
func (c *conn) noteClose(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.callerClosed.Store(true)
	}
}

// received counts bytes from the caller. It reports false if they are part of a head
// that was rejected.
func (c *conn) received(p []byte, bufferSize int) bool {
	if c.betweenRequests() {
		c.setPhase(phaseHead)
		c.resumeDeadline()
	}
	if c.guard == nil || phase(c.phase.Load()) == phaseLinger { // behind the last response
		return true
	}
	if phase(c.phase.Load()) == phaseActive {
		c.head.addBody(p, bufferSize)
		c.countProgress(len(p), progressBytes)
		return true
	}
	c.countProgress(len(p), headProgressBytes)
	c.request.Store(requestPart)
	if !c.countHead(p) {
		return false
	}
	if c.head.complete {
		c.request.Store(requestHead)
	}
	return true
}

// countProgress notes progress each time step bytes have arrived.
func (c *conn) countProgress(n, step int) {
	if c.fresh += n; c.fresh >= step {
		c.fresh = 0
		c.progress.Store(c.guard.clock())
	}
}

// Write implements net.Conn. The caller must read each writeChunk bytes within the
// write timeout.
func (c *conn) Write(p []byte) (int, error) {
	if c.guard == nil {
		return c.Conn.Write(p)
	}
	c.request.Store(requestAnswered)
	c.sending.Store(true)
	defer c.sending.Store(false)
	written := 0
	for {
		now := time.Now()
		c.progress.Store(c.guard.clock())
		deadline := now.Add(c.guard.settings.WriteTimeout.Std())
		if limit := c.writeLimit.Load(); limit != 0 && limit < deadline.UnixNano() {
			deadline = time.Unix(0, limit)
		}
		_ = c.Conn.SetWriteDeadline(deadline) // fails if the connection is closed, which ends the write as well
		n, err := c.Conn.Write(p[written:min(written+writeChunk, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeLimit.Store(0)
	} else {
		c.writeLimit.Store(t.UnixNano())
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.reading != nil {
		return nil // set once the goroutine has ended
	}
	return c.Conn.SetReadDeadline(c.deadline())
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
	linger := (c.hasUnread || c.unreadBody.Load()) && c.aheadErr == nil
	c.hasUnread = false
	c.unreadBody.Store(false)
	c.closed = true
	c.ahead = nil
	c.giveAhead()
	c.mu.Unlock()
	if c.guard != nil {
		c.endRequest()
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !linger || !ok || half.CloseWrite() != nil {
		return c.closeSocket()
	}
	c.phase.Store(int32(phaseLinger))
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // ends with the caller's close or the deadline
		_ = c.closeSocket()
	}()
	return nil
}

func (c *conn) closeSocket() error {
	c.reportUnanswered()
	err := c.Conn.Close()
	if c.guard != nil {
		c.guard.remove(c)
	}
	c.listener.conns.remove(c)
	return err
}
