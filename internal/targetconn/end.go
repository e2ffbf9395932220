package targetconn

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Reasons why a response that ends with its connection is not complete.
var (
	errUnsentRequest = errors.New("the target closed the connection before it had received the complete request")
	errNoOrderlyEnd  = errors.New("the connection did not end in an orderly way")
	errUnknownEnd    = errors.New("the state of the connection is not known")
)

// tcpCloseWait is the state of a connection (TCP_CLOSE_WAIT) whose peer has closed
// it in an orderly way and which this side has not closed yet. After a reset the
// state is another one.
const tcpCloseWait = 8

// checkEnd returns an error unless the end of file that was read from the
// connection is the end of a response.
//
// The end of file alone does not say so: a write that meets a reset takes the error
// of the socket, and the read behind it returns a plain end of file.
func (cn *conn) checkEnd(request bodyWrite) error {
	// Ends a write that waits for the target to read. One that has written
	// everything but has not returned yet is not affected.
	if err := cn.SetWriteDeadline(time.Unix(pastUnixSeconds, 0)); err != nil {
		return fmt.Errorf("%w: %v", errUnknownEnd, err)
	}
	if err := request.wait(); err != nil {
		return fmt.Errorf("%w: %v", errUnsentRequest, err)
	}
	socket, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return errUnknownEnd
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %v", errUnknownEnd, err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = checkSocketEnd(int(fd)) }); err != nil {
		return fmt.Errorf("%w: %v", errUnknownEnd, err)
	}
	return failed
}

// checkSocketEnd returns an error unless the peer of the socket has closed it in an
// orderly way after it acknowledged everything that was sent.
func checkSocketEnd(fd int) error {
	pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return fmt.Errorf("%w: %v", errUnknownEnd, err)
	}
	if pending != 0 {
		return fmt.Errorf("%w: %v", errNoOrderlyEnd, syscall.Errno(pending))
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return fmt.Errorf("%w: %v", errUnknownEnd, err)
	}
	switch {
	case info.State != tcpCloseWait:
		return errNoOrderlyEnd
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		return errUnsentRequest
	}
	return nil
}
