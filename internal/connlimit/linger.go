package connlimit

import (
	"errors"
	"io"
	"time"
)

// maxLingerTime limits how long the rest of a body that is not served is discarded.
const maxLingerTime = 500 * time.Millisecond

// CloseWrite ends the data of the server. net/http calls it before it closes a connection whose
// request is not read completely.
func (c *conn) CloseWrite() error {
	c.leaveLane()
	err := c.closeWrite()
	c.linger()
	return err
}

func (c *conn) closeWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection and frees its place. A client that still sends a body can read
// the response before.
func (c *conn) Close() error {
	c.leaveLane()
	c.linger()
	c.limiter.remove(c)
	return c.Conn.Close()
}

// linger discards what the client sends after the response to a request whose body is not
// served, for a limited time. A connection that is closed with unread bytes is reset, which the
// client may notice before it reads the response. The bytes are not decoded.
func (c *conn) linger() {
	if c.phase.Load() != phaseDraining || !c.bodyOpen.Load() || !c.lingered.CompareAndSwap(false, true) {
		return
	}
	c.recordResponse()
	if c.closeWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, lingeringReader{c}, c.limiter.options.MaxBodyBytes) // ends with the client or the deadline
}

// lingeringReader reads bytes that are discarded. It takes turns with newcomers, so that these are
// accepted as fast as refused connections end.
type lingeringReader struct{ *conn }

func (r lingeringReader) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	r.limiter.newcomers.enter()
	r.limiter.newcomers.leave()
	return n, err
}
