package upstreamclient

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel close a connection whose bytes are not
// acknowledged in time.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
