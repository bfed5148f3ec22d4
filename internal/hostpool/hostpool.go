// Package hostpool is an http.RoundTripper with a connection pool of its own for each
// address, which it replaces when an open connection does not answer.
//
// Connections may stop delivering data without an error, while new ones to the same address
// work. net/http closes the connection of a request that times out, but goes on using the
// other idle connections, of which each then costs a request its time. So after a timeout
// on a reused connection, in the headers or the body, all idle connections to that address
// are closed as well. Requests that are running on other connections are not interrupted.
//
// A request whose answer may be late but is still of use has a patience, see WithPatience:
// then only later requests use new connections, and the request goes on. How long it may
// wait for another request to leave it a connection can be limited, see WithConnWait.
package hostpool

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unusedTTL is how long the pool of an address is kept after its last request.
const unusedTTL = 2 * time.Minute

// Transport is an http.RoundTripper. Its methods may be called concurrently.
type Transport struct {
	// New returns the transport of an address.
	New func() *http.Transport
	// MaxConns limits the open connections to all addresses; 0 for no limit. A new
	// connection beyond it closes the idle connections that were used longest ago.
	MaxConns int
	// OnReplace, if not nil, is called when the pool of an address is replaced because an open
	// connection did not answer.
	OnReplace func(host string)

	open      atomic.Int64 // connections
	mu        sync.Mutex
	hosts     map[string]*host
	cleanedAt time.Time
}

// host is the pool of an address.
type host struct {
	transport *http.Transport
	usedAt    time.Time
	// overduePools counts the replaced pools with a request that has outlasted its patience.
	overduePools int
	trimmedAt    time.Time // when closeLeastRecentlyUsed last closed its idle connections
}

// RoundTrip sends a request over the pool of its address.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn connUse
	ctx := req.Context()
	pool := t.pool(req.URL.Host)
	sendCtx := conn.watch(ctx)
	over := t.afterPatience(ctx, req.URL.Host, pool, conn.reused.Load)
	if wait, ok := ctx.Value(connWaitKey{}).(time.Duration); ok {
		waited := time.AfterFunc(wait, conn.giveUpIfWaiting)
		defer waited.Stop()
	}
	resp, err := pool.RoundTrip(req.WithContext(sendCtx))
	replaceIfTimedOut := func() {
		if conn.reused.Load() && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.replace(req.URL.Host, pool, true)
		}
	}
	if err != nil {
		over()
	}
	if err != nil && conn.notSent(sendCtx) {
		return nil, ErrNotSent
	}
	if err != nil {
		replaceIfTimedOut()
		return resp, err
	}
	resp.Body = watchBody(resp.Body, replaceIfTimedOut, over)
	return resp, nil
}

// pool returns the transport of an address.
func (t *Transport) pool(address string) *http.Transport {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		t.removeUnused(now)
		h = &host{transport: t.newTransport()}
		if t.hosts == nil {
			t.hosts = map[string]*host{}
		}
		t.hosts[address] = h
	}
	h.usedAt = now
	return h.transport
}

// replace makes later requests to an address use new connections, unless that was done
// since the request over old began. Connections of old are closed when they become idle.
// silent tells whether an open connection was the reason.
func (t *Transport) replace(address string, old *http.Transport, silent bool) {
	t.mu.Lock()
	h := t.hosts[address]
	replaced := h != nil && h.transport == old
	if replaced {
		h.transport = t.newTransport()
	}
	t.mu.Unlock()
	if replaced {
		t.poolReplaced(address, old, silent)
	}
}

// poolReplaced closes the idle connections of a pool that was replaced.
func (t *Transport) poolReplaced(address string, old *http.Transport, silent bool) {
	old.CloseIdleConnections()
	if silent && t.OnReplace != nil {
		t.OnReplace(address)
	}
}

// removeUnused removes the pools without a request within unusedTTL, such as those of
// workers that have left. It searches at most once in that time. t.mu is held.
func (t *Transport) removeUnused(now time.Time) {
	if now.Sub(t.cleanedAt) < unusedTTL {
		return
	}
	t.cleanedAt = now
	for address, h := range t.hosts {
		if now.Sub(h.usedAt) > unusedTTL {
			h.transport.CloseIdleConnections()
			delete(t.hosts, address)
		}
	}
}

// CloseIdleConnections closes the idle connections to all addresses.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		h.transport.CloseIdleConnections()
	}
}
