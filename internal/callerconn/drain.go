package callerconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// lastReadTime is how long a connection without a request stays open after its
	// listener has begun to drain: the first request of a new connection arrives one
	// round trip after it was accepted.
	lastReadTime = 250 * time.Millisecond
	// lastHeadTime is how long a head that has begun may take to arrive once its
	// listener drains.
	lastHeadTime = 2 * time.Second
	// acceptTime limits the accept of a connection that waits.
	acceptTime = time.Second
	// maxLastAccepts and lastAcceptTime limit how many connections are accepted after
	// the listener has begun to drain, and for how long: callers that return at once
	// would keep it open.
	maxLastAccepts = 64
	lastAcceptTime = 200 * time.Millisecond
)

func (l *Listener) isDraining() bool {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.draining
}

// drain stops accepting, ends all connections after their requests and waits for that
// until ctx ends.
func (l *Listener) drain(ctx context.Context) error {
	if l.conns.drain() {
		l.interruptAccept()
	}
	if !l.conns.isAccepting() {
		_ = l.Listener.Close() // fails only if it is closed
	}
	select {
	case <-l.conns.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", l.conns.phases(), ctx.Err())
	}
}

// interruptAccept wakes a blocked Accept. A listener without deadlines is closed.
func (l *Listener) interruptAccept() {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(pastDeadline) == nil {
		return
	}
	_ = l.Listener.Close() // Accept fails then
}

// accept accepts a connection. While the listener drains, it accepts those that wait in
// the kernel, since a close of the listener would reset them, and then closes it.
func (l *Listener) accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err == nil {
		return raw, nil
	}
	if !l.isDraining() {
		if errors.Is(err, net.ErrClosed) {
			l.conns.stopAccepting()
		}
		return nil, err
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if raw, err := l.acceptWaiting(); err == nil {
			return raw, nil
		}
	case isTemporary(err):
		return nil, err // the server tries again after a pause
	}
	_ = l.Listener.Close() // fails only if it is closed
	l.conns.stopAccepting()
	return nil, http.ErrServerClosed
}

// isTemporary reports whether a later Accept may succeed, as after the lack of a
// descriptor.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// acceptWaiting accepts a connection that waits in the kernel. It fails if there is none.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || !l.conns.acceptsLast() || !isReadable(l.Listener) {
		return nil, net.ErrClosed
	}
	if err := d.SetDeadline(time.Now().Add(acceptTime)); err != nil {
		return nil, err
	}
	defer func() { _ = d.SetDeadline(pastDeadline) }() // fails only if it is closed
	return l.Listener.Accept()
}

// drain makes the connection end after its request; without one, after lastReadTime.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.reading == nil && c.awaitsHead() { // other deadlines end reads on purpose
		_ = c.Conn.SetReadDeadline(c.deadline()) // fails if the connection is closed
	}
}

// deadline returns the deadline for reads. c.mu is held.
func (c *conn) deadline() time.Time {
	last := time.Now()
	switch {
	case c.evicted.Load():
		return pastDeadline
	case c.draining && c.betweenRequests():
		last = last.Add(lastReadTime)
	case c.draining && phase(c.phase.Load()) == phaseHead:
		last = last.Add(lastHeadTime)
	default:
		return c.readDeadline
	}
	if c.readDeadline.IsZero() || last.Before(c.readDeadline) {
		return last
	}
	return c.readDeadline
}

// betweenRequests reports whether no byte of a further request has been read.
func (c *conn) betweenRequests() bool {
	p := phase(c.phase.Load())
	return p == phaseNew || p == phaseIdle
}

// awaitsHead reports whether the head of a request has not been read in full.
func (c *conn) awaitsHead() bool {
	return c.betweenRequests() || phase(c.phase.Load()) == phaseHead
}

// lookAgain reads what has arrived on a connection between requests whose read has
// ended with err because of its deadline. The goroutine may have run long after it.
func (c *conn) lookAgain(p []byte, err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.betweenRequests() || c.evicted.Load() {
		return 0, err
	}
	if unreadBytes(c.Conn) == 0 || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// resumeDeadline sets the deadline again after the phase has changed.
func (c *conn) resumeDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading == nil {
		_ = c.Conn.SetReadDeadline(c.deadline()) // fails if the connection is closed
	}
}
