package consensus

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sequoialane/sequoialane/internal/traffic"
)

// Settings of the connections between members.
const (
	unackedDataTimeout    = 700 * time.Millisecond // a connection with data unacknowledged for longer is closed
	keepAlivePeriod       = 15 * time.Second
	idleConnTimeout       = 30 * time.Second
	maxIdleConnsPerPeer   = 16
	sockoptTCPUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall does not define
)

// newClient returns a client that limits dialling to dialTimeout and closes
// connections whose data is not acknowledged within unackedDataTimeout. It
// reuses connections if reuse is set.
func newClient(dialTimeout time.Duration, reuse bool, locations *traffic.Locations) *http.Client {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlivePeriod,
		Control:   setTCPUserTimeout,
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         traffic.CountDials(dialer.DialContext, locations, traffic.Consensus),
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !reuse,
	}}
}

func setTCPUserTimeout(_, _ string, connection syscall.RawConn) error {
	var sockoptErr error
	err := connection.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(unackedDataTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
