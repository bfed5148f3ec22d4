package connlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBufferBytes is the receive buffer of a connection. Linux doubles it for its own
// use, so that a connection holds at most twice as much memory for bytes that are not read.
const receiveBufferBytes = 16 << 10

// MaxUnreadBytes is the memory of the operating system for the unread bytes of a connection.
const MaxUnreadBytes = 2 * receiveBufferBytes

// Listen listens on a TCP address. Its connections, also those that are not accepted yet,
// have a small receive buffer. At most backlog connections wait to be accepted.
func Listen(address string, backlog int) (net.Listener, error) {
	l, err := listenSmallBuffers(address)
	if err != nil {
		return nil, err
	}
	if err := setBacklog(l, backlog); err != nil {
		_ = l.Close() // no connection was accepted
		return nil, err
	}
	return l, nil
}

// setBacklog limits the connections that the system accepts ahead of the process, which hold
// memory for unread bytes.
func setBacklog(l net.Listener, backlog int) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), backlog) })
	if err != nil {
		return err
	}
	return failed
}

func listenSmallBuffers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		}); err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", address)
}
