package callerconn

import (
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"
)

// openConns are the open connections of a listener.
type openConns struct {
	mu          sync.Mutex
	open        map[*conn]struct{}
	draining    bool
	accepting   bool          // Accept may return further connections
	lastAccepts int           // connections accepted while draining
	acceptUntil time.Time     // when draining
	drained     chan struct{} // closed when draining, not accepting, and no connection is open
}

func newOpenConns() *openConns {
	return &openConns{open: make(map[*conn]struct{}), drained: make(chan struct{})}
}

// add registers a connection.
func (o *openConns) add(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[c] = struct{}{}
	if o.draining {
		o.lastAccepts++
		c.drain()
	}
}

// remove unregisters a closed connection.
func (o *openConns) remove(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, c)
	o.closeIfDrained()
}

// startAccepting notes that Accept may return connections. It reports false if the
// listener drains.
func (o *openConns) startAccepting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepting = !o.draining
	return o.accepting
}

// stopAccepting notes that Accept returns no further connection.
func (o *openConns) stopAccepting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepting = false
	o.closeIfDrained()
}

func (o *openConns) isAccepting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepting
}

// closeIfDrained closes drained once that is so. o.mu is held.
func (o *openConns) closeIfDrained() {
	if !o.draining || o.accepting || len(o.open) > 0 {
		return
	}
	select {
	case <-o.drained:
	default:
		close(o.drained)
	}
}

// drain begins to drain all open connections. It reports false if that had begun.
func (o *openConns) drain() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.draining = true
	o.acceptUntil = time.Now().Add(lastAcceptTime)
	for c := range o.open {
		c.drain()
	}
	o.closeIfDrained()
	return true
}

// acceptsLast reports whether a further connection may be accepted while draining.
func (o *openConns) acceptsLast() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastAccepts < maxLastAccepts && time.Now().Before(o.acceptUntil)
}

// phases describes the open connections by their phase, for a log line.
func (o *openConns) phases() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := lo.CountValuesBy(lo.Keys(o.open), func(c *conn) string { return phase(c.phase.Load()).String() })
	return fmt.Sprintf("%d connections left %v", len(o.open), counts)
}
