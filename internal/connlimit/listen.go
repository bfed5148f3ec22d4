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
// have a small receive buffer.
func Listen(address string) (net.Listener, error) {
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
