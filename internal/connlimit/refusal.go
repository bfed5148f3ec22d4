package connlimit

import (
	"io"
	"net"
	"time"
)

const (
	refusalTimeout = 50 * time.Millisecond  // for writing the response to a refused connection
	drainTimeout   = 100 * time.Millisecond // for reading what the client of a refused connection sends
	// maxDraining is the number of refused connections that are read at a time. Others are
	// closed immediately after the response.
	maxDraining = 32
)

// refusal is the response on a connection that is refused. No request is served on it.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse responds on a connection that is not served, and closes it.
func (l *Limiter) refuse(raw net.Conn) {
	select {
	case l.draining <- struct{}{}:
		go func() {
			defer func() { <-l.draining }()
			respondAndDrain(raw)
		}()
	default:
		respond(raw)
		_ = raw.Close()
	}
}

// respond writes the refusal. A short response fits the send buffer of a new connection, so
// it does not wait for the client.
func respond(raw net.Conn) {
	if raw.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = raw.Write([]byte(refusal)) // the client may have gone
	}
}

// respondAndDrain writes the refusal once a request begins, and closes the connection when
// the client has closed it or after drainTimeout. A response before the request counts as an
// error for some clients, and a connection that is closed with unread bytes is reset, which
// the client may notice before it reads the response.
func respondAndDrain(raw net.Conn) {
	defer raw.Close()
	if raw.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	var first [1]byte
	_, _ = raw.Read(first[:]) // a client that sends nothing gets the response too
	respond(raw)
	if tcp, ok := raw.(interface{ CloseWrite() error }); !ok || tcp.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, raw) // ends at the deadline
}
