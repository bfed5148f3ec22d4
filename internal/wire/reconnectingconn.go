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

// reconnectingConn holds the connection of one traffic class to an address and dials again
// after it is closed. Failed attempts are followed by an exponential backoff; calls within
// the backoff get the error of the last attempt.
type reconnectingConn struct {
	client    *Client
	key       connKey
	dialToken chan struct{} // holds a token while no call is dialing

	mu          sync.Mutex
	conn        *clientConn
	dialBackoff *backoff.ExponentialBackOff
	retryAt     time.Time
	lastErr     error
	closed      bool
}

func newReconnectingConn(c *Client, key connKey) *reconnectingConn {
	dialBackoff := backoff.NewExponentialBackOff()
	dialBackoff.InitialInterval = minDialBackoff
	dialBackoff.MaxInterval = maxDialBackoff
	rc := &reconnectingConn{client: c, key: key, dialBackoff: dialBackoff, dialToken: make(chan struct{}, 1)}
	rc.dialToken <- struct{}{}
	return rc
}

// get returns a usable connection and dials if necessary. Any error means that nothing
// was sent.
func (rc *reconnectingConn) get(ctx context.Context) (*clientConn, error) {
	if cc, err := rc.current(); cc != nil || err != nil {
		return cc, err
	}
	select {
	case <-rc.dialToken:
	case <-ctx.Done():
		return nil, notSentError(ctx.Err())
	}
	defer func() { rc.dialToken <- struct{}{} }()
	if cc, err := rc.current(); cc != nil || err != nil {
		return cc, err
	}
	cc, err := rc.dial(ctx)
	return rc.recordDial(ctx, cc, err)
}

// current returns the connection if it is usable, an error while the server is stopping or
// during the backoff, or nil if the caller must dial.
func (rc *reconnectingConn) current() (*clientConn, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.conn != nil && !rc.conn.unusable() {
		return rc.conn, nil
	}
	if rc.closed {
		return nil, errkind.Wrap(errClosed, errkind.OwnerUnavailable, "", "the client is closed")
	}
	if rc.conn != nil && rc.conn.refusesCalls() {
		// A new connection would be refused, as if the process had ended.
		return nil, goAwayError()
	}
	if rc.lastErr != nil && time.Now().Before(rc.retryAt) {
		return nil, rc.lastErr
	}
	return nil, nil
}

// recordDial records the result of a connection attempt and returns the connection to use.
// It ignores a failure after the caller's context ended, which says nothing about the address.
func (rc *reconnectingConn) recordDial(ctx context.Context, cc *clientConn, err error) (*clientConn, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if err == nil {
		rc.lastErr = nil
		rc.dialBackoff.Reset()
		return rc.adopt(cc), nil
	}
	err = errkind.Wrap(err, errkind.OwnerUnavailable, "", "connect to %s", rc.key.addr)
	if ctx.Err() == nil {
		rc.lastErr = err
		rc.retryAt = time.Now().Add(rc.dialBackoff.NextBackOff())
	}
	return nil, err
}

// adopt makes calls use cc and returns it. If replace provided a connection meanwhile, it
// closes cc and returns that one. rc.mu is held.
func (rc *reconnectingConn) adopt(cc *clientConn) *clientConn {
	if rc.conn != nil && !rc.conn.unusable() {
		cc.closeWithError(errClosed)
		return rc.conn
	}
	rc.conn = cc
	if rc.closed {
		cc.closeWithError(errClosed)
	}
	return cc
}

// dial connects, runs the handshakes and starts the read loop.
func (rc *reconnectingConn) dial(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", rc.key.addr)
	if err != nil {
		return nil, err
	}
	if err := limitSendBuffer(raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	reads := &readTracker{openedAt: time.Now()}
	var conn net.Conn = countingConn{raw, &rc.client.counters, reads}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err = rc.handshake(ctx, conn)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	onSilent := func(s SilentConn) { rc.client.silent(rc.key, s) }
	cc := newClientConn(conn, rc.key.addr, reads, rc.client.options.Silence, rc.client.link, onSilent)
	cc.verify = func(probedAt time.Time) { rc.client.runAsync(func() { rc.verify(cc, probedAt) }) }
	return cc, rc.client.startReading(cc)
}

// verify opens a second connection because cc has no answer to the probe sent at probedAt.
// The second connection replaces cc if cc is closed within the longest time that it may be
// silent.
func (rc *reconnectingConn) verify(cc *clientConn, probedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTimeoutFactor*rc.client.options.Silence.ProbeTimeout)
	defer cancel()
	go func() {
		select {
		case <-cc.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	second, err := rc.dial(ctx)
	if err != nil {
		return // cc is closed when its probe has had no answer for too long
	}
	if cc.nodeVerified(probedAt) {
		<-ctx.Done()
	}
	rc.replace(cc, second)
}

// replace makes calls use second if cc has ended and no other connection was opened since;
// otherwise it closes second.
func (rc *reconnectingConn) replace(cc, second *clientConn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.closed || rc.conn != cc || !cc.ended() {
		second.closeWithError(errClosed)
		return
	}
	rc.conn = second
}

// handshake runs the TLS handshake, if configured, and the version handshake.
func (rc *reconnectingConn) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if rc.client.options.TLS != nil {
		t := tls.Client(conn, rc.client.tlsConfig(rc.key.addr))
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = t
	}
	began := time.Now()
	_, err := exchangeHello(conn, rc.client.options.Identity().hello())
	if err == nil {
		rc.client.link.answered(rc.key.addr, time.Since(began), time.Now())
	}
	return conn, err
}

func (rc *reconnectingConn) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.closed = true
	if rc.conn != nil {
		rc.conn.closeWithError(errClosed)
	}
}
