package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/tcpalive"
)

// Limits of connections between entries.
const (
	userTimeout      = 700 * time.Millisecond // TCP_USER_TIMEOUT: limit for unacknowledged bytes
	dialTimeout      = 500 * time.Millisecond
	keepAlivePeriod  = 5 * time.Second
	peerIdleTimeout  = 30 * time.Second
	maxIdlePerPeer   = 256
	ackTimeout       = 500 * time.Millisecond // limit for the first acknowledgement of a request
	heartbeatPeriod  = 500 * time.Millisecond // interval of further acknowledgements while the request runs
	heartbeatTimeout = 3 * heartbeatPeriod
	avoidDuration    = 2 * time.Second // a peer that did not respond is tried last for this long
)

// Causes for cancelling a request to a peer.
var (
	errNoAck            = errors.New("entry: the peer did not acknowledge the request")
	errHeartbeatTimeout = errors.New("entry: the peer stopped acknowledging the request")
)

// peers holds the connections to other entries.
type peers struct {
	clock sys.Clock
	dial  dialFunc

	mu     sync.Mutex
	byAddr map[string]*peer
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type peer struct {
	dial         dialFunc
	transport    atomic.Pointer[http.Transport]
	avoidedUntil atomic.Int64 // Unix nanoseconds; tried last until then
	lastUsed     time.Time    // guarded by peers.mu
}

func newPeers(clock sys.Clock) *peers {
	return &peers{clock: clock, dial: dialPeer, byAddr: map[string]*peer{}}
}

func dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: tcpalive.Control(userTimeout)}
	return dialer.DialContext(ctx, network, address)
}

func newPeerTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		DisableCompression:  true,
	}
}

func (p *peers) get(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddr[address]
	if known == nil {
		known = &peer{dial: p.dial}
		known.transport.Store(newPeerTransport(p.dial))
		p.byAddr[address] = known
	}
	known.lastUsed = p.clock.Now()
	return known
}

// prune removes peers that were not used for 2*peerIdleTimeout.
func (p *peers) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.byAddr {
		if now.Sub(known.lastUsed) > 2*peerIdleTimeout {
			known.transport.Load().CloseIdleConnections()
			delete(p.byAddr, address)
		}
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.byAddr {
		known.transport.Load().CloseIdleConnections()
	}
}

// replaceTransport closes all idle connections of the peer and uses new ones
// from now on: if a network device between lost the state of one connection, it
// has probably lost the state of all.
func (p *peer) replaceTransport(old *http.Transport) {
	if p.transport.CompareAndSwap(old, newPeerTransport(p.dial)) {
		old.CloseIdleConnections()
	}
}

func (p *peer) avoidUntil(t time.Time)     { p.avoidedUntil.Store(t.UnixNano()) }
func (p *peer) avoided(now time.Time) bool { return now.UnixNano() < p.avoidedUntil.Load() }

// roundTripResult is the result of one request to a peer.
type roundTripResult struct {
	response   *http.Response
	cancel     context.CancelCauseFunc
	err        error
	reused     bool // the connection had been used before
	sent       bool // bytes of the request may have reached the peer
	callerLeft bool // the caller ended the request, which the peer had acknowledged
}

// roundTrip sends a request to the peer and cancels it if it is not acknowledged
// in time. A request with a body has no GetBody, so net/http does not retry it
// by itself.
func (p *peer) roundTrip(callerCtx context.Context, r *http.Request) roundTripResult {
	transport := p.transport.Load()
	ctx, cancel := context.WithCancelCause(callerCtx)
	watchdog := &ackWatchdog{cancel: cancel}
	result := roundTripResult{cancel: cancel}
	var connected, acked atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			result.reused = info.Reused
			connected.Store(true)
			watchdog.expectWithin(ackTimeout, errNoAck)
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			acked.Store(true)
			watchdog.expectWithin(heartbeatTimeout, errHeartbeatTimeout)
			return nil
		},
	}
	result.response, result.err = transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	watchdog.stop()
	if result.err == nil {
		return result
	}
	if cause := context.Cause(ctx); errors.Is(cause, errNoAck) || errors.Is(cause, errHeartbeatTimeout) {
		result.err = cause
		countSilentPeer(result.reused)
	}
	result.callerLeft = acked.Load() && errors.Is(callerCtx.Err(), context.Canceled)
	if !result.callerLeft {
		// The other idle connections are likely to fail in the same way.
		p.replaceTransport(transport)
	}
	cancel(nil)
	result.sent = connected.Load()
	return result
}

func countSilentPeer(reused bool) {
	if reused {
		silentReused.Inc()
		return
	}
	silentNew.Inc()
}

// ackWatchdog cancels a request if the next acknowledgement does not arrive in
// time.
type ackWatchdog struct {
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *ackWatchdog) expectWithin(limit time.Duration, reason error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(limit, func() { w.cancel(reason) })
}

func (w *ackWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
