package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/errkind"
)

// slot holds the connection to one address and dials it again when it broke.
// Failed attempts are spaced out by a growing delay; calls within the delay get
// the error of the last attempt.
type slot struct {
	client *Client
	addr   string
	dial   chan struct{} // holds one token while nobody dials

	mu      sync.Mutex
	conn    *clientConn
	delay   *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
	closed  bool
}

func newSlot(c *Client, addr string) *slot {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = backoffInitial
	delay.MaxInterval = backoffMax
	s := &slot{client: c, addr: addr, delay: delay, dial: make(chan struct{}, 1)}
	s.dial <- struct{}{}
	return s
}

// get returns a working connection. Any error means that nothing was sent.
func (s *slot) get(ctx context.Context) (*clientConn, error) {
	if cc, err := s.current(); cc != nil || err != nil {
		return cc, err
	}
	select {
	case <-s.dial:
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
	defer func() { s.dial <- struct{}{} }()
	if cc, err := s.current(); cc != nil || err != nil {
		return cc, err
	}
	cc, err := s.open(ctx)
	return cc, s.record(ctx, cc, err)
}

// current returns the connection if it works, or the last error while a new
// attempt is too early.
func (s *slot) current() (*clientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && !s.conn.broken() {
		return s.conn, nil
	}
	if s.closed {
		return nil, errkind.Wrap(errClosed, errkind.OwnerUnavailable, "", "the client is closed")
	}
	if s.lastErr != nil && time.Now().Before(s.retryAt) {
		return nil, s.lastErr
	}
	return nil, nil
}

// record keeps the result of an attempt. An attempt that the caller's context cut
// short says nothing about the address.
func (s *slot) record(ctx context.Context, cc *clientConn, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.conn, s.lastErr = cc, nil
		s.delay.Reset()
		if s.closed {
			cc.fail(errClosed)
		}
		return nil
	}
	err = errkind.Wrap(err, errkind.OwnerUnavailable, "", "connect to %s", s.addr)
	if ctx.Err() == nil {
		s.lastErr = err
		s.retryAt = time.Now().Add(s.delay.NextBackOff())
	}
	return err
}

// open dials, runs the handshakes and starts reading.
func (s *slot) open(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = countingConn{raw, &s.client.traffic}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err = s.prepare(ctx, conn)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	cc := newClientConn(conn)
	return cc, s.client.start(cc)
}

// prepare runs the TLS handshake, if configured, and the version handshake.
func (s *slot) prepare(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.client.options.TLS != nil {
		t := tls.Client(conn, s.client.tlsConfig(s.addr))
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = t
	}
	_, err := shake(conn, s.client.options.Identity().hello())
	return conn, err
}

func (s *slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		s.conn.fail(errClosed)
	}
}

// drop ends the connection, so that the next call dials a new one.
func (s *slot) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.fail(errDropped)
	}
}
