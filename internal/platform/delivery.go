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

// errSealed is returned by writes to a connection that was sealed.
var errSealed = errors.New("the connection was given up before the request was written")

// trackedConn counts the writes to a connection, so that a failed call can tell
// whether any byte of its request may have left the process.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write counts the write before it is done.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes later writes fail and reports whether there was one since mark.
// Without it the write loop of net/http could still write after the failure was
// reported.
func (c *trackedConn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > mark
}

// dialTracked returns a dial function with a timeout whose connections are
// tracked.
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

// delivery follows one request to the connection that carries it.
type delivery struct {
	mu        sync.Mutex
	conn      *trackedConn
	mark      int64 // writes on conn before the request
	maybeSent bool
}

// context returns ctx with a trace that tells d the connection.
func (d *delivery) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { d.gotConn(info.Conn) },
	})
}

func (d *delivery) gotConn(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.written() > d.mark {
		d.maybeSent = true // net/http moved a request on; counted as sent
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
	d.mark = tracked.written()
}

// sent reports, after the call failed, whether any byte of the request may have
// been written. Once it returned false none will be.
func (d *delivery) sent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.seal(d.mark) {
		d.maybeSent = true
	}
	return d.maybeSent
}

// discard closes the connection of a call whose answer cannot be trusted, so
// that no later call reads from it.
func (d *delivery) discard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil {
		d.conn.seal(d.mark)
		_ = d.conn.Close() // the other side may have closed it
	}
}
