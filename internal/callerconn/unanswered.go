package callerconn

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// arrival says how much of a request that has no response had arrived when its
// connection was closed.
type arrival string

const (
	arrivedNothing arrival = ""
	arrivedUnread  arrival = "unread" // bytes are in the buffer of the kernel
	arrivedPart    arrival = "part"   // part of a head was read
	arrivedHead    arrival = "head"   // a whole head was read
)

// Progress of the current request of a connection.
const (
	requestNone     int32 = iota
	requestPart           // part of a head was read
	requestHead           // a whole head was read, and no byte of the response was written
	requestAnswered       // the response was begun
)

// reportUnanswered counts and logs a connection that is closed although a request on it
// has no response. A caller that closes first gave its request up itself.
func (c *conn) reportUnanswered() {
	if c.guard == nil || c.callerClosed.Load() {
		return
	}
	what, unread := c.unanswered()
	if what == arrivedNothing {
		return
	}
	l := c.listener
	counter := metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_callers_unanswered_total{listener=%q,arrived=%q}", l.options.Name, what))
	counter.Inc()
	l.logs.Do(reason("unanswered_"+what), func() {
		c.guard.log.Info("callers' connection closed without a response",
			zap.String("listener", l.options.Name), zap.String("arrived", string(what)), zap.Stringer("phase", phase(c.phase.Load())),
			zap.Int("unread_bytes", unread), zap.Duration("since_progress", time.Duration(c.guard.clock()-c.progress.Load())),
			zap.Stringer("caller", c.RemoteAddr()), zap.Uint64("total", counter.Get()))
	})
}

// unanswered returns what has arrived of a request without a response, and the number
// of bytes that are in the buffer of the kernel.
func (c *conn) unanswered() (arrival, int) {
	unread := unreadBytes(c.Conn)
	switch c.request.Load() {
	case requestHead:
		return arrivedHead, unread
	case requestPart:
		return arrivedPart, unread
	}
	if unread > 0 && phase(c.phase.Load()) != phaseActive {
		return arrivedUnread, unread
	}
	return arrivedNothing, unread
}

// String implements fmt.Stringer.
func (p phase) String() string {
	switch p {
	case phaseNew:
		return "new"
	case phaseHead:
		return "head"
	case phaseActive:
		return "active"
	case phaseIdle:
		return "idle"
	case phaseLinger:
		return "linger"
	default:
		return fmt.Sprintf("phase(%d)", int32(p))
	}
}
