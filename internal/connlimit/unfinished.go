package connlimit

// Unfinished counts the connections whose clients wait for a response.
type Unfinished struct {
	InProgress int // connections with a request that has been read
	Unread     int // connections of which a request or a part of one is not read or not parsed yet
}

// Unfinished counts the connections whose clients wait for a response.
func (l *Limiter) Unfinished() Unfinished {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Unfinished
	for c := range l.conns {
		switch {
		case c.inRequest():
			out.InProgress++
		case c.hasUnparsedBytes():
			out.Unread++
		}
	}
	return out
}

// inRequest reports whether the handler has a request of the connection.
func (c *conn) inRequest() bool {
	phase := c.phase.Load()
	return phase == phaseHandling || phase == phaseReadingBody
}

// hasUnparsedBytes reports whether the client has sent bytes of a request that its handler does
// not have yet.
func (c *conn) hasUnparsedBytes() bool {
	switch c.phase.Load() {
	case phaseReceiving:
		return true
	case phaseNew, phaseIdle:
		return hasUnreadBytes(c.Conn)
	}
	return false
}
