package connlimit

import "context"

// Trust records that the connection of a request belongs to a caller that behaves: its key is
// known or its call was served. Trusted connections give way to new ones after all others. It
// has no effect if the body of the request has not been read completely.
func Trust(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.bodyOpen.Load() || c.trusted.Load() {
		return
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; open && c.trusted.CompareAndSwap(false, true) {
		l.trusted++
	}
}
