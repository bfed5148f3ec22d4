package connlimit

import "time"

const (
	// stallTime is the time without a byte after which a connection that waits for its client
	// may be closed in favor of a new one.
	stallTime = 500 * time.Millisecond
	// minDrainTime is the time for sending the response to a request whose body has not been
	// read completely, after which its connection may be closed in favor of a new one.
	minDrainTime = 50 * time.Millisecond
	// maxReceiveTime is the time after which a connection that still receives its request may
	// be closed, although bytes arrive.
	maxReceiveTime = 2 * time.Second
	// trustedIdleTime is the time after which a trusted connection counts as idle. A caller
	// that sends a request just when its connection is closed can't tell whether it has run.
	trustedIdleTime = 2 * time.Second
	// trustedShare is the share of the limit up to which trusted connections that are idle
	// never give way.
	trustedShare = 0.5
	// searchInterval is the time between two searches for a connection to close, after one
	// that found none.
	searchInterval = 20 * time.Millisecond
)

// rank is the order in which connections are closed in favor of new ones, the lowest first.
type rank int

const (
	rankRefused   rank = iota // its body was refused and the response has been sent
	rankUntrusted             // idle or in the middle of a request, and not trusted
	rankReceiving             // trusted, in the middle of a request
	rankIdle                  // trusted and idle
)

// candidate is a connection that may be closed in favor of a new one.
type candidate struct {
	conn  *conn
	phase int32
	rank  rank
	since time.Time // since when it waits for its client
}

// before reports whether a connection is closed before another one.
func (a candidate) before(b candidate) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.since.Before(b.since)
}

// candidateOf returns the candidate of a connection in a phase. It reports false if the
// connection may not be closed. A connection whose request is being served never may.
func candidateOf(c *conn, phase int32, now time.Time) (candidate, bool) {
	out := candidate{conn: c, phase: phase, since: time.Unix(0, c.waitingAt.Load())}
	waits := now.Sub(out.since)
	stalled := now.Sub(time.Unix(0, c.readAt.Load())) >= stallTime
	switch trusted := c.trusted.Load(); {
	case phase == phaseHandling || phase == phaseReplaced:
		return out, false
	case phase == phaseDraining && c.responded.Load():
		out.rank = rankRefused
		return out, waits >= minDrainTime
	case phase == phaseIdle && trusted:
		out.rank = rankIdle
		return out, waits >= trustedIdleTime
	case phase == phaseIdle:
		out.rank = rankUntrusted
		return out, waits >= stallTime
	case trusted:
		out.rank = rankReceiving
	default:
		out.rank = rankUntrusted
	}
	return out, stalled || waits >= maxReceiveTime
}

// takeVictim removes the connection that is closed first in favor of a new one. It returns nil
// if there is none. l.mu is held.
func (l *Limiter) takeVictim(now time.Time) *conn {
	if now.Sub(l.noneToCloseAt) < searchInterval {
		return nil
	}
	for {
		first, ok := l.firstCandidate(now)
		if !ok {
			l.noneToCloseAt = now
			return nil
		}
		if l.postpone(first, now) {
			continue
		}
		if first.conn.phase.CompareAndSwap(first.phase, phaseReplaced) {
			l.removeLocked(first.conn)
			l.replaced++
			return first.conn
		}
	}
}

// postpone reports whether a connection does not give way now because the process is late to read
// what its client has sent. The time that a request may take to arrive still counts for
// connections that are not trusted.
func (l *Limiter) postpone(v candidate, now time.Time) bool {
	c := v.conn
	if v.rank == rankRefused || !c.waitsForProcess() {
		return false
	}
	c.readAt.Store(now.UnixNano())
	if v.phase == phaseIdle || c.trusted.Load() {
		c.waitingAt.Store(now.UnixNano())
	}
	_, may := candidateOf(c, v.phase, now)
	return !may
}

// waitsForProcess reports whether the client of a connection has sent bytes that the process has
// not read or does not work on yet.
func (c *conn) waitsForProcess() bool { return c.queued.Load() > 0 || hasUnreadBytes(c.Conn) }

// firstCandidate returns the connection that is closed before all others, and false if there
// is none. l.mu is held.
func (l *Limiter) firstCandidate(now time.Time) (first candidate, ok bool) {
	idleMayGiveWay := float64(l.trusted) > trustedShare*float64(l.options.Limit)
	for c := range l.conns {
		next, may := candidateOf(c, c.phase.Load(), now)
		if !may || next.rank == rankIdle && !idleMayGiveWay {
			continue
		}
		if !ok || next.before(first) {
			first, ok = next, true
		}
	}
	return first, ok
}
