package upstreamclient

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/httphead"
)

// Errors of a write that was rejected before any byte was written.
var (
	errSealed      = errors.New("upstreamclient: the attempt has ended")
	errNotReusable = errors.New("upstreamclient: the connection is too old or was idle for too long")
	errSecondConn  = errors.New("upstreamclient: the request was already sent on another connection")
)

// States of an attempt.
const (
	nothingWritten int32 = iota
	writing              // a write has started and its result is not known yet
	written
	sealed // nothing was written, and nothing will be
)

// attempt tracks whether any byte of a request was written. The transport writes
// on its own goroutine and may start after the request was abandoned, so the end
// of an attempt and its first write exclude each other.
type attempt struct {
	state        atomic.Int32
	conn         atomic.Pointer[trackedConn]
	replayable   bool // may be written to more than one connection
	firstWriteAt atomic.Pointer[time.Time]
}

// beginWrite is called before each write. It returns an error if the write is not
// allowed.
func (a *attempt) beginWrite(c *trackedConn, now time.Time) error {
	for {
		switch state := a.state.Load(); state {
		case sealed:
			return errSealed
		case nothingWritten:
			if !a.state.CompareAndSwap(nothingWritten, writing) {
				continue
			}
			a.conn.Store(c)
			a.firstWriteAt.Store(&now)
			return nil
		default:
			if a.conn.Load() == c {
				return nil
			}
			if !a.replayable {
				return errSecondConn
			}
			a.conn.Store(c)
			return nil
		}
	}
}

// endWrite is called after each write with the number of bytes written.
func (a *attempt) endWrite(n int) {
	if n > 0 {
		a.state.Store(written)
		return
	}
	a.state.CompareAndSwap(writing, nothingWritten)
}

// seal ends the attempt and reports whether any byte may have been written.
func (a *attempt) seal() (mayBeWritten bool) {
	return !a.state.CompareAndSwap(nothingWritten, sealed) && a.state.Load() != sealed
}

// trackedConn is a connection to a target that reports its writes to the current
// attempt and validates the responses that the transport reads.
type trackedConn struct {
	net.Conn
	openedAt      time.Time
	now           func() time.Time
	current       atomic.Pointer[attempt]
	rejectsWrites atomic.Bool // rejects writes before any byte is written
	responses     httphead.Validator
}

func (c *trackedConn) Read(p []byte) (int, error) { return c.responses.Read(c.Conn, p) }

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.rejectsWrites.Load() {
		return 0, errNotReusable
	}
	a := c.current.Load()
	if a == nil {
		return c.Conn.Write(p)
	}
	if err := a.beginWrite(c, c.now()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.endWrite(n)
	return n, err
}
