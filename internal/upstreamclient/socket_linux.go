package upstreamclient

import "syscall"

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does
// not define.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel close a connection whose sent bytes are not
// acknowledged within userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
