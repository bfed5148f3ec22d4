package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/bodybudget"
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

// errUnreadBody is the error of reading a body that the handler does not read.
var errUnreadBody = errors.New("the handler has not read the body")

// conn is a limited connection.
type conn struct {
	net.Conn
	limiter *Limiter

	phase     atomic.Int32
	readAt    atomic.Int64 // Unix time of the last byte in nanoseconds
	waitingAt atomic.Int64 // Unix time since when the connection waits for its client: the first byte of a request or of the connection, or the end of the last request
	trusted   atomic.Bool  // see Trust
	bodyOpen  atomic.Bool  // the request has a body whose end has not been read
	smallBody atomic.Bool  // the length of that body is known and small
	bodyBytes atomic.Int64 // decoded bytes of that body that the handler has read
	// smallBytes is the number of these bytes from which the rest of the body is bulk work.
	smallBytes atomic.Int64
	lingered   atomic.Bool
	lane       atomic.Pointer[lane] // in which the connection holds a slot
}

func newConn(raw net.Conn, l *Limiter, now time.Time) *conn {
	c := &conn{Conn: raw, limiter: l}
	c.readAt.Store(now.UnixNano())
	c.waitingAt.Store(now.UnixNano())
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

// Read reads from the connection and records when bytes arrive. It returns when the connection
// may be worked on.
func (c *conn) Read(p []byte) (int, error) {
	c.leaveLane()
	if c.bodyAbandoned() {
		return 0, errUnreadBody
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now().UnixNano()
		c.readAt.Store(now)
		if c.phase.CompareAndSwap(phaseIdle, phaseReceiving) {
			c.waitingAt.Store(now)
		}
		c.enterLane()
	}
	return n, err
}

// Write writes to the connection, for which the client may have to read first.
func (c *conn) Write(p []byte) (int, error) {
	c.leaveLane()
	return c.Conn.Write(p)
}

// becomeIdle records that a request has ended and the connection is kept.
func (c *conn) becomeIdle() {
	c.bodyOpen.Store(false) // net/http had the rest of the body already
	c.waitingAt.Store(time.Now().UnixNano())
	c.enter(phaseIdle)
}

// bodyAbandoned reports whether the server reads a body that the handler does not read. net/http
// would decode up to 256 KiB of it, which takes many times longer than the refusal if the
// chunks are small. A small body of known length is read, so that the connection can be kept.
func (c *conn) bodyAbandoned() bool {
	return c.bodyOpen.Load() && !c.smallBody.Load() && c.phase.Load() != phaseReadingBody
}

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

// beginRequest records that the handler has a request. It returns the request with a body
// that records when the handler waits for it, and the function to call when the handler has
// returned. The request is not served if the connection has been replaced, because its
// client would not get the response.
func (c *conn) beginRequest(r *http.Request) (*http.Request, func()) {
	if c.phase.CompareAndSwap(phaseIdle, phaseReceiving) { // the request was in the buffer of the server
		c.waitingAt.Store(time.Now().UnixNano())
	}
	if !c.enter(phaseHandling) {
		panic(http.ErrAbortHandler)
	}
	c.leaveLane()
	if r.ContentLength == 0 {
		return r, func() {}
	}
	c.beginBody(r.ContentLength)
	out := *r // the server keeps the body of its own request
	out.Body = &body{r.Body, c}
	return &out, c.endRequest
}

// beginBody records the length of the body of a request, -1 if it is unknown.
func (c *conn) beginBody(length int64) {
	small := int64(0)
	switch {
	case length < 0:
		small = bodybudget.UnknownBodyBytes
	case length <= bodybudget.SmallBodyBytes:
		small = length
	}
	c.smallBytes.Store(small)
	c.smallBody.Store(length == small)
	c.bodyBytes.Store(0)
	c.bodyOpen.Store(true)
}

// endRequest records that the handler has returned. If it has not read the body, the connection
// is closed after the response.
func (c *conn) endRequest() {
	if !c.bodyOpen.Load() {
		return
	}
	c.waitingAt.Store(time.Now().UnixNano())
	c.enter(phaseDraining)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body. It fails if the connection has been replaced meanwhile.
func (b *body) Read(p []byte) (int, error) {
	if !b.conn.enter(phaseReadingBody) {
		return 0, net.ErrClosed
	}
	b.conn.enterLane() // net/http may have bytes in its buffer
	n, err := b.ReadCloser.Read(p)
	b.conn.bodyBytes.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.conn.bodyOpen.Store(false) // before the phase ends: net/http reads ahead from now on
	}
	b.conn.leaveLane()
	if !b.conn.enter(phaseHandling) {
		return 0, net.ErrClosed
	}
	return n, err
}
