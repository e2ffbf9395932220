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
	"syscall"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// Rules for connections between entries.
const (
	userTimeout     = 700 * time.Millisecond // limit for unacknowledged bytes
	dialTimeout     = 500 * time.Millisecond
	keepAliveProbe  = 5 * time.Second
	peerIdleLimit   = 30 * time.Second
	maxIdlePerPeer  = 256
	ackLimit        = 500 * time.Millisecond // for the early acknowledgement
	heartbeatPeriod = 500 * time.Millisecond // further acknowledgements while the request runs
	silenceLimit    = 3 * heartbeatPeriod
	avoidTime       = 2 * time.Second // a peer that did not answer is tried last for this long
)

// Reasons for giving up an attempt at a peer.
var (
	errNoAck  = errors.New("entry: the peer did not acknowledge the request")
	errSilent = errors.New("entry: the peer stopped acknowledging the request")
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// peers holds the connections to other entries.
type peers struct {
	clock sys.Clock
	dial  dialFunc

	mu     sync.Mutex
	byAddr map[string]*peer
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type peer struct {
	dial      dialFunc
	transport atomic.Pointer[http.Transport]
	avoid     atomic.Int64 // Unix nanoseconds
	lastUsed  time.Time    // under the lock of peers
}

func newPeers(clock sys.Clock) *peers {
	return &peers{clock: clock, dial: dialPeer, byAddr: map[string]*peer{}}
}

func dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveProbe, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

func newPeerTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     peerIdleLimit,
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

// sweep forgets peers that were not used for a while.
func (p *peers) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.byAddr {
		if now.Sub(known.lastUsed) > 2*peerIdleLimit {
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

// renew drops all idle connections of the peer: a device that lost the state
// of one connection has probably lost that of all.
func (p *peer) renew(old *http.Transport) {
	if p.transport.CompareAndSwap(old, newPeerTransport(p.dial)) {
		old.CloseIdleConnections()
	}
}

func (p *peer) avoidUntil(t time.Time)     { p.avoid.Store(t.UnixNano()) }
func (p *peer) avoided(now time.Time) bool { return now.UnixNano() < p.avoid.Load() }

// attempt is the end of one request to a peer.
type attempt struct {
	response *http.Response
	cancel   context.CancelCauseFunc
	err      error
	reused   bool // the connection had been used before
	sent     bool // bytes of the request may have reached the peer
}

// roundTrip sends a request to the peer and gives up if it is not acknowledged
// in time. A request with a body has no GetBody, so net/http does not resend it
// by itself.
func (p *peer) roundTrip(ctx context.Context, r *http.Request) attempt {
	transport := p.transport.Load()
	ctx, cancel := context.WithCancelCause(ctx)
	watch := &silenceWatch{cancel: cancel}
	result := attempt{cancel: cancel}
	var connected, acked atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			result.reused = info.Reused
			connected.Store(true)
			watch.expect(ackLimit, errNoAck)
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			acked.Store(true)
			watch.expect(silenceLimit, errSilent)
			return nil
		},
	}
	result.response, result.err = transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	watch.stop()
	if result.err == nil {
		return result
	}
	if cause := context.Cause(ctx); errors.Is(cause, errNoAck) || errors.Is(cause, errSilent) {
		result.err = cause
		countSilence(result.reused)
	}
	// Further idle connections are likely to fail in the same way.
	p.renew(transport)
	cancel(nil)
	result.sent = connected.Load()
	return result
}

func countSilence(reused bool) {
	if reused {
		noAckReused.Inc()
		return
	}
	noAckFresh.Inc()
}

// silenceWatch cancels an attempt when an expected sign of life stays away.
type silenceWatch struct {
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (s *silenceWatch) expect(limit time.Duration, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(limit, func() { s.cancel(reason) })
}

func (s *silenceWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
