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
	phaseReceiving   int32 = iota // a header
	phaseHandling                 // the handler has the request
	phaseReadingBody              // the handler waits for bytes of the body
	phaseDraining                 // the handler has returned without reading all of the body
	phaseIdle                     // between two requests
	phaseReplaced                 // closed in favor of a new connection; the last phase
)

// conn is a limited connection.
type conn struct {
	net.Conn
	limiter *Limiter

	phase     atomic.Int32
	readAt    atomic.Int64 // Unix time of the last byte in nanoseconds
	requestAt atomic.Int64 // Unix time of the first byte of the request, or of the connection
}

func newConn(raw net.Conn, l *Limiter, now time.Time) *conn {
	c := &conn{Conn: raw, limiter: l}
	c.readAt.Store(now.UnixNano())
	c.requestAt.Store(now.UnixNano())
	return c
}

// enter sets the phase. It reports false if the connection has been replaced.
func (c *conn) enter(phase int32) bool {
	for {
		current := c.phase.Load()
		if current == phaseReplaced {
			return false
		}
		if c.phase.CompareAndSwap(current, phase) {
			return true
		}
	}
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

// replaceable returns whether a new connection may take the place of this one in a phase (ok), since when
// this one has waited for its client, and whether it is idle: it has no request that may still
// be served.
func (c *conn) replaceable(phase int32, now time.Time) (since time.Time, idle, ok bool) {
	readAt, requestAt := time.Unix(0, c.readAt.Load()), time.Unix(0, c.requestAt.Load())
	stalled := now.Sub(readAt) >= stallTime
	switch phase {
	case phaseIdle:
		return readAt, true, stalled
	case phaseDraining:
		return requestAt, true, now.Sub(requestAt) >= minDrainTime
	case phaseHandling, phaseReplaced:
		return time.Time{}, false, false
	}
	return requestAt, false, stalled || now.Sub(requestAt) >= maxReceiveTime
}

// beginRequest records that the handler has a request. It returns the request with a body
// that records when the handler waits for it, and the function to call when the handler has
// returned. The request is not served if the connection has been replaced, because its
// client would not get the response.
func (c *conn) beginRequest(w http.ResponseWriter, r *http.Request) (*http.Request, func()) {
	if c.phase.CompareAndSwap(phaseIdle, phaseReceiving) { // the request was in the buffer of the server
		c.requestAt.Store(time.Now().UnixNano())
	}
	if !c.enter(phaseHandling) {
		panic(http.ErrAbortHandler)
	}
	if r.ContentLength == 0 {
		return r, func() {}
	}
	out := *r // the server keeps the body of its own request
	b := &body{r.Body, c, false}
	out.Body = b
	return &out, func() { b.endRequest(w, r.Close) }
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn  *conn
	ended bool
}

// Read reads from the body. It fails if the connection has been replaced meanwhile.
func (b *body) Read(p []byte) (int, error) {
	if !b.conn.enter(phaseReadingBody) {
		return 0, net.ErrClosed
	}
	n, err := b.ReadCloser.Read(p)
	if !b.conn.enter(phaseHandling) {
		return 0, net.ErrClosed
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// endRequest records that the handler has returned. If it has not read the body, the server
// reads what is left of it after the response, for which the connection gets some time. If
// the connection ends with the response, it is done here: the server reads nothing more if the
// client asked for the end, or if reading a chunked body has failed. A response of unknown
// length is left to the server, which completes it first.
func (b *body) endRequest(w http.ResponseWriter, closedByClient bool) {
	if b.ended {
		return
	}
	b.conn.requestAt.Store(time.Now().UnixNano())
	b.conn.enter(phaseDraining)
	if h := w.Header(); h.Get("Content-Length") != "" && (closedByClient || h.Get("Connection") == "close") {
		b.drain(http.NewResponseController(w))
	}
}

// drain sends the response and reads the rest of the body for a limited time. A connection
// that is closed with unread bytes is reset, which the client may notice before it reads the
// response.
func (b *body) drain(response *http.ResponseController) {
	if response.Flush() != nil || response.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		return
	}
	_, err := io.CopyN(io.Discard, b.ReadCloser, maxDrainBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		_, _ = io.CopyN(io.Discard, b.conn.Conn, maxDrainBytes) // the body keeps an earlier error
	}
}
