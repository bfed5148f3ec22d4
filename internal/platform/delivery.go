package platform

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// errWritesBlocked is returned by writes to a connection after blockWrites.
var errWritesBlocked = errors.New("connection abandoned before the request was written")

// trackedConn counts the writes to a connection. A failed call uses the count to
// determine whether any byte of its request may have been sent.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	writes        int64
	writesBlocked bool
}

// Write counts the write before it starts.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites makes later writes fail and reports whether the number of started writes
// exceeds before. If writes were not blocked, the write loop of net/http could still
// write after the failure was reported.
func (c *trackedConn) blockWrites(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes > before
}

// dialTracked returns a dial function with a timeout that returns a trackedConn.
func dialTracked(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// deliveryTracker tracks which connection one request is written to, and whether any
// byte of it may have been written.
type deliveryTracker struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore int64 // writes on conn before the request
	maybeSent    bool
}

// context returns ctx with a trace that records the connection in d.
func (d *deliveryTracker) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { d.gotConn(info.Conn) },
	})
}

func (d *deliveryTracker) gotConn(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.writeCount() > d.writesBefore {
		d.maybeSent = true // net/http moved the request to another connection after a write
	}
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	tracked, ok := conn.(*trackedConn)
	if !ok {
		d.maybeSent = true
		return
	}
	d.conn = tracked
	d.writesBefore = tracked.writeCount()
}

// maybeWritten reports, after the call failed, whether any byte of the request may have
// been written. If it returns false, none will be written later either.
func (d *deliveryTracker) maybeWritten() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.blockWrites(d.writesBefore) {
		d.maybeSent = true
	}
	return d.maybeSent
}

// discard closes the connection after an untrusted response, so that no later call
// reads from it.
func (d *deliveryTracker) discard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil {
		d.conn.blockWrites(d.writesBefore)
		_ = d.conn.Close() // it may already be closed by the peer
	}
}
