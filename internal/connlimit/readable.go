package connlimit

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending reports whether a listener has a connection that is not accepted yet.
func Pending(l net.Listener) bool { return readable(l) }

// hasUnreadBytes reports whether a connection has received bytes that are not read yet; false if
// it is not known. The end of the data of the client is no byte.
func hasUnreadBytes(c net.Conn) bool {
	unread := false
	err := control(c, func(fd int) {
		var first [1]byte
		n, _, err := unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// readable reports whether a socket can be read without waiting; false if it is not known.
func readable(socket any) bool {
	ready := false
	err := control(socket, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		ready = err == nil && n > 0
	})
	return err == nil && ready
}

// control calls f with the file descriptor of a socket.
func control(socket any, f func(fd int)) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
