package connlimit

import "time"

// CloseStalled closes the connections that wait for the rest of a body and would give way to new
// ones. A server calls it while it stops, so that such clients don't delay its end.
func (l *Limiter) CloseStalled() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		next, may := candidateOf(c, c.phase.Load(), now)
		inBody := next.phase == phaseReadingBody || next.phase == phaseDraining
		if !may || !inBody || next.rank != rankRefused && c.waitsForProcess() {
			continue
		}
		l.closeInPhaseLocked(c, next.phase)
	}
}

// CloseIdle closes the connections that are kept between two requests, and with includeNew those
// that have received nothing. A server calls it while it stops, after it has stopped accepting.
// net/http would also close a connection whose next request has arrived and is not parsed yet.
func (l *Limiter) CloseIdle(includeNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		phase := c.phase.Load()
		unused := phase == phaseIdle || includeNew && phase == phaseNew
		if unused && !hasUnreadBytes(c.Conn) {
			l.closeInPhaseLocked(c, phase)
		}
	}
}

// closeInPhaseLocked closes a connection if it is still in the given phase. l.mu is held.
func (l *Limiter) closeInPhaseLocked(c *conn, phase int32) {
	if !c.phase.CompareAndSwap(phase, phaseReplaced) {
		return
	}
	l.removeLocked(c)
	_ = c.Conn.Close() // the server closes it again
}
