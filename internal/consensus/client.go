package consensus

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

// Time-outs of the links between members.
const (
	userTimeout     = 700 * time.Millisecond // unacknowledged bytes close the connection
	keepAlivePeriod = 15 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerPeer     = 16
	tcpUserTimeout  = 0x12 // TCP_USER_TIMEOUT, which package syscall lacks
)

// newClient returns a client that gives up dialling after dialTimeout, closes
// connections with unacknowledged bytes, and reuses connections on request.
func newClient(dialTimeout time.Duration, reuse bool) *http.Client {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlivePeriod,
		Control:   setUserTimeout,
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !reuse,
	}}
}

func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failed error
	err := connection.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
