package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Phases of a connection.
const (
	phaseReceiving int32 = iota // a header
	phaseHandling               // the handler has the request
	phaseDraining               // the handler has returned without reading all of the body
	phaseIdle                   // between two requests
)

// conn is a limited connection.
type conn struct {
	net.Conn
	limiter *Limiter

	phase       atomic.Int32
	readingBody atomic.Bool  // the handler waits for bytes of the body
	readAt      atomic.Int64 // Unix time of the last byte in nanoseconds
	requestAt   atomic.Int64 // Unix time of the first byte of the request, or of the connection
}

func newConn(raw net.Conn, l *Limiter, now time.Time) *conn {
	c := &conn{Conn: raw, limiter: l}
	c.readAt.Store(now.UnixNano())
	c.requestAt.Store(now.UnixNano())
	return c
}

// Read reads from the connection and records when bytes arrive.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now().UnixNano()
		c.readAt.Store(now)
		if c.phase.CompareAndSwap(phaseIdle, phaseReceiving) {
			c.requestAt.Store(now)
		}
	}
	return n, err
}

// CloseWrite ends the data of the server, so that a client that still sends can read the
// response before the connection is closed.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// replaceable returns whether a new connection may take the place of this one (ok), since when
// this one has waited for its client, and whether it is idle: it has no request that may still
// be served.
func (c *conn) replaceable(now time.Time) (since time.Time, idle, ok bool) {
	readAt, requestAt := time.Unix(0, c.readAt.Load()), time.Unix(0, c.requestAt.Load())
	stalled := now.Sub(readAt) >= stallTime
	switch c.phase.Load() {
	case phaseIdle:
		return readAt, true, stalled
	case phaseDraining:
		return requestAt, true, now.Sub(requestAt) >= minDrainTime
	case phaseHandling:
		if !c.readingBody.Load() {
			return time.Time{}, false, false
		}
	}
	return requestAt, false, stalled || now.Sub(requestAt) >= maxReceiveTime
}

// beginRequest records that the handler has a request. It returns the request with a body
// that records when the handler waits for it, and the function to call when the handler has
// returned.
func (c *conn) beginRequest(r *http.Request) (*http.Request, func()) {
	c.phase.Store(phaseHandling)
	if r.ContentLength == 0 {
		return r, func() {}
	}
	out := *r // the server keeps the body of its own request
	b := &body{r.Body, c, false}
	out.Body = b
	return &out, b.endRequest
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn  *conn
	ended bool
}

func (b *body) Read(p []byte) (int, error) {
	b.conn.readingBody.Store(true)
	defer b.conn.readingBody.Store(false)
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// endRequest records that the handler has returned. If it has not read the body, the server
// reads what is left of it after the response, for which the connection gets some time.
func (b *body) endRequest() {
	if b.ended {
		return
	}
	b.conn.requestAt.Store(time.Now().UnixNano())
	b.conn.phase.Store(phaseDraining)
}
