package connlimit

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Phases of a connection.
const (
	phaseNew         int32 = iota // no byte has been received
	phaseReceiving                // a header
	phaseHandling                 // the handler has the request
	phaseReadingBody              // the handler waits for bytes of the body
	phaseDraining                 // the handler has returned without reading all of the body
	phaseIdle                     // between two requests
	phaseReplaced                 // closed by the limiter; the last phase
)

// errUnreadBody is the error of reading a body that the handler does not read.
var errUnreadBody = errors.New("the handler has not read the body")

// conn is a limited connection.
type conn struct {
	net.Conn
	limiter *Limiter

	phase atomic.Int32
	// readAt is the Unix time in nanoseconds of the last byte, plus the time for which the
	// connection has waited for a lane since.
	readAt atomic.Int64
	// waitingAt is the Unix time since when the connection waits for its client: the first byte of
	// the request, the end of the last request, or the beginning of the connection.
	waitingAt atomic.Int64
	trusted   atomic.Bool          // see Trust
	lane      atomic.Pointer[lane] // in which the connection holds a slot
	queued    atomic.Int32         // reads that wait for a slot of a lane
	lingered  atomic.Bool
	responded atomic.Bool // the response to a request whose body is not served has been sent

	// The body of the request, see beginBody.
	bodyOpen   atomic.Bool  // its end has not been read
	smallBody  atomic.Bool  // its length is known and small
	bodyBytes  atomic.Int64 // decoded bytes that the handler has read
	smallBytes atomic.Int64 // number of these bytes from which the rest is bulk work
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
	n, err := c.receive(p)
	if n > 0 {
		now := time.Now().UnixNano()
		c.readAt.Store(now)
		c.beginReceiving(now)
		c.enterLane()
	}
	return n, err
}

// receive reads from the connection. If the time for the first byte of a request ends while the
// process is late to read it, the request gets the time in which requests must arrive.
func (c *conn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.awaitsRequest() || !hasUnreadBytes(c.Conn) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(maxReceiveTime)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// awaitsRequest reports whether no byte of the next request has been read.
func (c *conn) awaitsRequest() bool {
	phase := c.phase.Load()
	return phase == phaseIdle || phase == phaseNew
}

// beginReceiving records that the first byte of a request has been received.
func (c *conn) beginReceiving(now int64) {
	if c.phase.CompareAndSwap(phaseIdle, phaseReceiving) || c.phase.CompareAndSwap(phaseNew, phaseReceiving) {
		c.waitingAt.Store(now)
	}
}

// Write writes to the connection, for which the client may have to read first.
func (c *conn) Write(p []byte) (int, error) {
	c.leaveLane()
	n, err := c.Conn.Write(p)
	c.recordResponse()
	return n, err
}

// recordResponse records that a client whose body is not served has the response.
func (c *conn) recordResponse() {
	if c.phase.Load() == phaseDraining && c.responded.CompareAndSwap(false, true) {
		c.waitingAt.Store(time.Now().UnixNano())
	}
}

// becomeIdle records that a request has ended and the connection is kept.
func (c *conn) becomeIdle() {
	c.bodyOpen.Store(false) // net/http had the rest of the body already
	c.waitingAt.Store(time.Now().UnixNano())
	c.enter(phaseIdle)
}
