// Package tcpalive ends TCP connections whose peer is gone without a reset.
package tcpalive

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentPeerLimit is how long a peer may leave sent bytes without an
	// acknowledgement of any kind. Retransmissions to a peer that has dropped
	// bytes for lack of memory are up to 1.6 s apart before that.
	silentPeerLimit = 2 * time.Second
	checkInterval   = 200 * time.Millisecond
)

// Control returns a Control function for net.Dialer that sets the user timeout.
func Control(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, limit) }
}

// setUserTimeout makes the kernel close a connection whose sent bytes are not
// acknowledged within the limit. It also closes one whose peer acknowledges, but
// has closed its receive window for so long.
func setUserTimeout(c syscall.RawConn, limit time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// AllowClosedWindow lets the peer close its receive window for as long as
// maxWindowTime, and until restore is called, which sets the user timeout again. A
// peer that acknowledges nothing is noticed meanwhile too: the connection is closed
// after silentPeerLimit, if the kernel tells when the last acknowledgement arrived.
func AllowClosedWindow(c net.Conn, maxWindowTime, userTimeout time.Duration) (restore func()) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := socket.SyscallConn()
	if err != nil || setUserTimeout(raw, maxWindowTime) != nil {
		return func() {}
	}
	stop := make(chan struct{})
	go closeIfSilent(c, raw, stop)
	return func() {
		close(stop)
		_ = setUserTimeout(raw, userTimeout) // fails if the connection is closed
	}
}

// closeIfSilent closes the connection once its peer has acknowledged nothing for
// silentPeerLimit while bytes were waiting for it.
func closeIfSilent(c net.Conn, raw syscall.RawConn, stop <-chan struct{}) {
	started := time.Now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		info, err := tcpInfo(raw)
		if err != nil {
			return
		}
		if isSilent(info, time.Since(started)) {
			_ = c.Close()
			return
		}
	}
}

// isSilent reports whether the peer has left sent bytes without an acknowledgement
// for silentPeerLimit of the watched time. With a closed window no bytes are sent,
// so none wait for an acknowledgement.
func isSilent(info *unix.TCPInfo, watched time.Duration) bool {
	sinceAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	return info.Unacked > 0 && min(sinceAck, watched) >= silentPeerLimit
}

func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var failed error
	err := raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, failed)
}
