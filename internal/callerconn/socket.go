package callerconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unreadBytes returns how many bytes of a connection are in the receive buffer of the
// kernel; 0 if that is not known.
func unreadBytes(socket any) (unread int) {
	control(socket, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// isReadable reports whether a read or an accept would return at once.
func isReadable(socket any) (readable bool) {
	control(socket, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		readable = err == nil && n > 0
	})
	return readable
}

// control calls f with the descriptor of a socket, unless the socket is closed or has
// none.
func control(socket any, f func(fd int)) {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails if the socket is closed
}
