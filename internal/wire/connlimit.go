package wire

import (
	"fmt"
	"net"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

const (
	// unusedAfter is the time without a request after which a connection without running
	// calls may be closed in favor of a new one. Its client may have lost it without notice.
	unusedAfter = 20 * time.Second
	// maxRefusals is the number of connections at a time that are told why they are refused.
	maxRefusals = 64
	// refusalLogInterval is the time between two log lines about refused connections.
	refusalLogInterval = time.Second
)

// refusals counts the connections that were refused because there were too many.
type refusals struct {
	total    int64
	open     int // refusals in progress
	loggedAt time.Time
}

// refuse tells the client of a connection that the server has too many, and closes the
// connection. s.mu is held.
func (s *Server) refuse(raw net.Conn) {
	s.refused.total++
	if now := time.Now(); now.Sub(s.refused.loggedAt) >= refusalLogInterval {
		s.refused.loggedAt = now
		event.PeerLimit.Log(s.options.Logger, "remote", raw.RemoteAddr(), "limit", s.options.MaxConns, "refused", s.refused.total)
	}
	if s.refused.open >= maxRefusals {
		_ = raw.Close()
		return
	}
	s.refused.open++
	s.connLoops.Add(1)
	go func() {
		defer s.connLoops.Done()
		hello := s.options.Identity().hello()
		hello.Refusal = fmt.Sprintf("the node serves %d connections, its limit", s.options.MaxConns)
		if conn, err := s.secure(raw); err == nil {
			_, _ = exchangeHello(conn, hello) // the client reads the refusal, or sees the end of the connection
		}
		_ = raw.Close()
		s.mu.Lock()
		s.refused.open--
		s.mu.Unlock()
	}()
}

// closeUnusedConn closes the connection that has had no request for the longest time, if
// that is unusedAfter, and reports whether there was one. s.mu is held.
func (s *Server) closeUnusedConn(now time.Time) bool {
	var unused *serverConn
	for sc := range s.conns {
		if len(sc.callSlots) == 0 && now.Sub(sc.lastUsed()) >= unusedAfter && (unused == nil || sc.lastUsed().Before(unused.lastUsed())) {
			unused = sc
		}
	}
	if unused == nil {
		return false
	}
	delete(s.conns, unused)
	unused.close()
	return true
}

// ConnStats counts the connections of a server.
type ConnStats struct {
	Open, Limit int
	Refused     int64 // because of the limit
}

// ConnStats returns the number of connections.
func (s *Server) ConnStats() ConnStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConnStats{Open: len(s.conns), Limit: s.options.MaxConns, Refused: s.refused.total}
}
