package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/bodybudget"
)

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
	c.responded.Store(false)
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

// bodyAbandoned reports whether the server reads a body that the handler does not read. net/http
// would decode up to 256 KiB of it, which takes many times longer than the refusal if the
// chunks are small. A small body of known length is read, so that the connection can be kept.
func (c *conn) bodyAbandoned() bool {
	return c.bodyOpen.Load() && !c.smallBody.Load() && c.phase.Load() != phaseReadingBody
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
