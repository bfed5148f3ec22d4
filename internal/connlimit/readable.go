package connlimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending reports whether a listener has a connection that is not accepted yet.
func Pending(l net.Listener) bool { return readable(l) }

// hasUnreadBytes reports whether a connection has received bytes that are not read yet.
func hasUnreadBytes(c net.Conn) bool { return readable(c) }

// readable reports whether a socket can be read without waiting; false if it is not known.
func readable(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		ready = err == nil && n > 0
	})
	return err == nil && ready
}
