package hostpool

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// errTooManyConns is the error of a dial beyond MaxConns. Nothing was sent.
var errTooManyConns = errors.New("too many open connections")

// newTransport returns a transport whose connections count against MaxConns.
func (t *Transport) newTransport() *http.Transport {
	transport := t.New()
	if t.MaxConns == 0 {
		return transport
	}
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if int(t.open.Add(1)) > t.MaxConns {
			t.closeLeastRecentlyUsed()
		}
		if int(t.open.Load()) > t.MaxConns {
			t.open.Add(-1)
			return nil, &net.OpError{Op: "dial", Net: network, Err: errTooManyConns}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			t.open.Add(-1)
			return nil, err
		}
		return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { t.open.Add(-1) })}, nil
	}
	return transport
}

// closeLeastRecentlyUsed closes the idle connections to that tenth of the addresses that were
// used longest ago, at least to one.
func (t *Transport) closeLeastRecentlyUsed() {
	t.mu.Lock()
	byUse := make([]*host, 0, len(t.hosts))
	for _, h := range t.hosts {
		byUse = append(byUse, h)
	}
	slices.SortFunc(byUse, func(a, b *host) int { return cmp.Compare(a.lastKept(), b.lastKept()) })
	byUse = byUse[:(len(byUse)+9)/10]
	transports := make([]*http.Transport, len(byUse))
	for i, h := range byUse {
		transports[i] = h.transport
		h.trimmedAt = time.Now()
	}
	t.mu.Unlock()
	for _, transport := range transports {
		transport.CloseIdleConnections()
	}
}

// lastKept returns when the address was last used, or when its idle connections were last
// closed if that is later, as Unix time in nanoseconds.
func (h *host) lastKept() int64 { return max(h.usedAt.UnixNano(), h.trimmedAt.UnixNano()) }

// countedConn is a connection that counts against MaxConns until it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
