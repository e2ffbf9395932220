package callerconn

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/sequoialane/sequoialane/internal/membudget"
)

const (
	// writeStallTime is the time without progress after which a connection whose
	// caller does not read may be closed for others. It is longer than for senders,
	// since progress is only seen once writeChunk bytes are written.
	writeStallTime = 5 * time.Second
	// defaultIdleTime is how long an idle connection is kept if nothing says how long
	// callers reuse theirs.
	defaultIdleTime = time.Minute
	// defaultHeadTime is how long a head may take if nothing says so.
	defaultHeadTime = 5 * time.Second
	// scanInterval limits how often the connections are searched for one to close.
	scanInterval = 10 * time.Millisecond
	// roomWait is how long a request waits for memory that closed connections free.
	roomWait = 2 * time.Second
	// evictionBatch is how many connections are closed at once for want of
	// connections, so that the search is not repeated for each new one.
	evictionBatch = 16
	logInterval   = 10 * time.Second
)

// reason says why a connection was closed or a request rejected.
type reason string

const (
	noConnection    reason = "connections"    // too many open connections, none of which may be closed
	idleTooLong     reason = "idle"           // closed for a new connection
	notKept         reason = "not_kept"       // closed after a response, since connections are short
	stalledHead     reason = "stalled_head"   // the head does not arrive
	stalledBody     reason = "stalled_body"   // the body does not arrive
	stalledReader   reason = "stalled_reader" // the caller does not read its response
	headTooLong     reason = "head_bytes"
	tooManyFields   reason = "head_fields"
	noRequestMemory reason = "request_memory"
	noBodyMemory    reason = "body_memory"
)

// Guard limits what the callers' connections of a process take, over all listeners
// that it serves. If connections or memory are short, it closes the connection that
// has been without progress for the longest time.
type Guard struct {
	settings    Settings
	connections int // limit of the callers' listener
	log         *zap.Logger
	now         func() time.Time
	started     time.Time

	// Memory counts all memory below. Bodies, Requests and Responses are its parts.
	Memory *membudget.Budget
	// Bodies is the memory for buffered request bodies.
	Bodies *membudget.Budget
	// Requests is the memory for heads, for what handlers hold and for what is read
	// ahead.
	Requests *membudget.Budget
	// Responses is the memory for buffered response bodies.
	Responses *membudget.Budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	lastScan [accounts]time.Time
}

// Shares are the parts of the memory for each purpose, as divisors.
type Shares struct{ Bodies, Responses, Requests int64 }

// NewGuard returns a guard of a process that may use memoryBytes.
func NewGuard(s Settings, memoryBytes int64, shares Shares, log *zap.Logger) *Guard {
	bodies, responses, requests := memoryBytes/shares.Bodies, memoryBytes/shares.Responses, memoryBytes/shares.Requests
	whole := membudget.New(bodies + responses + requests)
	g := &Guard{
		settings: s, connections: s.connections(memoryBytes), log: log, now: time.Now, started: time.Now(),
		Memory: whole, Bodies: whole.Part(bodies), Requests: whole.Part(requests), Responses: whole.Part(responses),
		conns: make(map[*conn]struct{}),
	}
	for name, budget := range map[string]*membudget.Budget{"bodies": g.Bodies, "requests": g.Requests, "responses": g.Responses} {
		metrics.GetOrCreateGauge(fmt.Sprintf("sequoialane_callers_memory_bytes{purpose=%q}", name), func() float64 { return float64(budget.Used()) })
		metrics.GetOrCreateGauge(fmt.Sprintf("sequoialane_callers_memory_limit_bytes{purpose=%q}", name), nil).Set(float64(budget.Limit()))
	}
	return g
}

// at returns the nanoseconds from the start of the guard to a time.
func (g *Guard) at(t time.Time) int64 { return int64(t.Sub(g.started)) }

func (g *Guard) clock() int64 { return g.at(g.now()) }

// Options of a listener.
type Options struct {
	Name string // in metrics and log lines
	// Side is set for a listener that serves few and short responses, such as
	// readiness checks. It gets fewer connections.
	Side bool
	// HeadBytes returns the largest head in bytes.
	HeadBytes func() int64
	// RequestBytes is what a request takes besides its head and its body: the stacks
	// of its handler and of its attempts, and their buffers. 0: defaultRequestBytes.
	RequestBytes int64
	// HeadTime returns how long a caller may take to send a head; 0: defaultHeadTime.
	// May be nil.
	HeadTime func() time.Duration
	// IdleTime returns how long an idle connection is kept for its caller; 0:
	// defaultIdleTime. May be nil.
	IdleTime func() time.Duration
}

// Listen returns a listener on top of inner that is limited by the guard.
func (g *Guard) Listen(inner net.Listener, o Options) *Listener {
	l := New(inner)
	l.guard, l.options, l.limit = g, o, g.connections
	if o.Side {
		l.limit = max(g.connections/sideDivisor, minConnections)
	}
	l.gauge = metrics.GetOrCreateGauge(fmt.Sprintf("sequoialane_callers_connections{listener=%q}", o.Name), nil)
	metrics.GetOrCreateGauge(fmt.Sprintf("sequoialane_callers_connections_limit{listener=%q}", o.Name), nil).Set(float64(l.limit))
	return l
}

// admit registers a new connection. It reports false if the listener has too many
// and none of them may be closed.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := c.listener
	if l.open >= l.limit && !g.evictConnections(l) {
		g.count(l, noConnection)
		return false
	}
	l.open++
	l.gauge.Set(float64(l.open))
	g.conns[c] = struct{}{}
	return true
}

// remove unregisters a connection whose descriptor is closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

func (g *Guard) removeLocked(c *conn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	c.listener.open--
	c.listener.gauge.Set(float64(c.listener.open))
}

// evictConnections closes the connections of the listener that have been without
// progress for the longest time. It reports false if none may be closed. g.mu is
// held.
func (g *Guard) evictConnections(l *Listener) bool {
	now := g.now()
	if now.Sub(l.lastScan) < scanInterval {
		return false
	}
	l.lastScan = now
	var worst []stalledConn // the longest time first
	for c := range g.conns {
		if c.listener != l {
			continue
		}
		if s, ok := c.stalled(now); ok {
			worst = insert(worst, s)
		}
	}
	for _, s := range worst {
		g.count(l, s.reason)
		_ = s.conn.Conn.Close() // frees the descriptor at once; the server then ends with an error
		g.removeLocked(s.conn)
	}
	return len(worst) > 0
}

// insert adds s to the list of at most evictionBatch connections, the one without
// progress for the longest time first.
func insert(list []stalledConn, s stalledConn) []stalledConn {
	at := len(list)
	for at > 0 && list[at-1].over < s.over {
		at--
	}
	if at == evictionBatch {
		return list
	}
	list = append(list, stalledConn{})
	copy(list[at+1:], list[at:])
	list[at] = s
	return list[:min(len(list), evictionBatch)]
}

// take reserves n bytes for the connection. If there is too little, it ends the
// requests that hold some and have been without progress for the longest time, and
// waits until they have given it back. It reports false if that does not make room.
func (g *Guard) take(c *conn, a account, budget *membudget.Budget, n int64) bool {
	if !budget.Take(n) {
		if !budget.Fits(n) || !g.makeRoom(c, a, budget, n) {
			g.count(c.listener, map[account]reason{forBody: noBodyMemory, forRequest: noRequestMemory}[a])
			return false
		}
	}
	c.held[a].Add(n)
	return true
}

// give returns n bytes.
func (g *Guard) give(c *conn, a account, budget *membudget.Budget, n int64) {
	c.held[a].Add(-n)
	budget.Give(n)
}

func (g *Guard) makeRoom(c *conn, a account, budget *membudget.Budget, n int64) bool {
	for end := g.now().Add(roomWait); g.now().Before(end); {
		if !g.evictHolder(c, a, budget, n) {
			return budget.Take(n)
		}
		time.Sleep(scanInterval)
		if budget.Take(n) {
			return true
		}
	}
	return false
}

// evictHolder ends the request without progress for the longest time, unless enough
// memory is about to be given back. It reports false if there is none.
func (g *Guard) evictHolder(c *conn, a account, budget *membudget.Budget, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.lastScan[a]) < scanInterval {
		return true // another request has just searched
	}
	g.lastScan[a] = now
	var worst stalledConn
	var returning int64
	for other := range g.conns {
		held := other.held[a].Load()
		if held == 0 || other == c {
			continue
		}
		if other.evicted.Load() {
			returning += held
			continue
		}
		if s, ok := other.stalled(now); ok && (worst.conn == nil || s.over > worst.over) {
			worst = s
		}
	}
	if budget.Limit() == 0 || budget.Used()-returning+n <= budget.Limit() {
		return true
	}
	if worst.conn == nil {
		return returning > 0
	}
	g.count(worst.conn.listener, worst.reason)
	worst.conn.evict()
	return true
}

// count counts a closed connection or a rejected request, and logs it from time to
// time.
func (g *Guard) count(l *Listener, why reason) {
	counter := metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_callers_closed_total{listener=%q,reason=%q}", l.options.Name, why))
	counter.Inc()
	l.logs.Do(why, func() {
		g.log.Info("callers' connection closed or request rejected",
			zap.String("listener", l.options.Name), zap.String("reason", string(why)), zap.Uint64("total", counter.Get()))
	})
}

// logLimits limits the log lines of each reason.
type logLimits struct {
	mu sync.Mutex
	by map[reason]*rate.Sometimes
}

// Do calls f unless it was called for the reason a short time ago.
func (l *logLimits) Do(why reason, f func()) {
	l.mu.Lock()
	if l.by == nil {
		l.by = make(map[reason]*rate.Sometimes)
	}
	if l.by[why] == nil {
		l.by[why] = &rate.Sometimes{Interval: logInterval}
	}
	sometimes := l.by[why]
	l.mu.Unlock()
	sometimes.Do(f)
}
