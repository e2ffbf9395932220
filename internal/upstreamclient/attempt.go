package upstreamclient

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Errors of a write that was refused before any byte left the process.
var (
	errSealed     = errors.New("upstreamclient: the attempt has ended")
	errUnfit      = errors.New("upstreamclient: the connection is too old or was idle for too long")
	errSecondSend = errors.New("upstreamclient: the request was already sent on another connection")
)

// States of an attempt.
const (
	nothingWritten int32 = iota
	writing              // a write has begun; its result is not known yet
	someWritten
	sealed // nothing was written, and nothing will be
)

// attempt tracks whether any byte of a request was written. The transport
// writes on its own goroutine and may start after the request was given up, so
// the end of an attempt and its first write exclude each other.
type attempt struct {
	state      atomic.Int32
	conn       atomic.Pointer[trackedConn]
	replayable bool                      // may be written to more than one connection
	began      atomic.Pointer[time.Time] // first write
}

// begin is called before each write. It reports whether the write may go on.
func (a *attempt) begin(c *trackedConn, now time.Time) error {
	for {
		switch state := a.state.Load(); state {
		case sealed:
			return errSealed
		case nothingWritten:
			if !a.state.CompareAndSwap(nothingWritten, writing) {
				continue
			}
			a.conn.Store(c)
			a.began.Store(&now)
			return nil
		default:
			if a.conn.Load() == c {
				return nil
			}
			if !a.replayable {
				return errSecondSend
			}
			a.conn.Store(c)
			return nil
		}
	}
}

// wrote is called after each write.
func (a *attempt) wrote(n int) {
	if n > 0 {
		a.state.Store(someWritten)
		return
	}
	a.state.CompareAndSwap(writing, nothingWritten)
}

// seal ends the attempt and reports whether a byte may have been written.
func (a *attempt) seal() (sent bool) {
	return !a.state.CompareAndSwap(nothingWritten, sealed) && a.state.Load() != sealed
}

// trackedConn is a connection to a target.
type trackedConn struct {
	net.Conn
	opened  time.Time
	now     func() time.Time
	current atomic.Pointer[attempt]
	unfit   atomic.Bool // refuses the next write, before any byte
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.unfit.Load() {
		return 0, errUnfit
	}
	a := c.current.Load()
	if a == nil {
		return c.Conn.Write(p)
	}
	if err := a.begin(c, c.now()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.wrote(n)
	return n, err
}
