package hostpool

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxOverduePools is the number of pools of an address that were replaced because of a request
// which has outlasted its patience and still runs. More new connections would not be answered
// either, and the server may accept only a limited number.
const maxOverduePools = 2

type patienceKey struct{}

// WithPatience returns a context whose requests go on after d without a complete answer, while
// later requests to the same address use new connections: this one may be silent, or its
// connection attempt lost. A d of 0 stands for no patience.
func WithPatience(ctx context.Context, d time.Duration) context.Context {
	if d <= 0 {
		return ctx
	}
	return context.WithValue(ctx, patienceKey{}, d)
}

// afterPatience replaces the pool of a request that is not over within the patience of its
// context. The returned function must be called when the request is over.
func (t *Transport) afterPatience(ctx context.Context, address string, pool *http.Transport, reused func() bool) (over func()) {
	patience, ok := ctx.Value(patienceKey{}).(time.Duration)
	if !ok {
		return func() {}
	}
	var replaced *host // whose pool was replaced; t.mu is held
	ended := false     // t.mu is held
	timer := time.AfterFunc(patience, func() {
		t.mu.Lock()
		h := t.hosts[address]
		if !ended && h != nil && h.transport == pool && h.overduePools < maxOverduePools {
			h.transport = t.newTransport()
			h.overduePools++
			replaced = h
		}
		done := replaced != nil
		t.mu.Unlock()
		if done {
			t.poolReplaced(address, pool, reused())
		}
	})
	return sync.OnceFunc(func() {
		if timer.Stop() {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		ended = true
		if replaced != nil {
			replaced.overduePools--
		}
	})
}
