// Package connlimit limits the connections of an HTTP server. At the limit, a new connection
// takes the place of one that waits for its client; a connection whose request is being
// served is never closed.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/event"
)

// DefaultBacklog is the number of connections that wait to be accepted if there is no lower limit.
const DefaultBacklog = 1024

const logInterval = time.Second // between two log lines

// Options configures a Limiter.
type Options struct {
	Limit        int   // number of connections; 0 for no limit
	MaxBodyBytes int64 // size of the largest permitted body; so much is discarded of one that is not served
	Logger       log.Logger
}

// Limiter limits the connections of one server.
type Limiter struct {
	options  Options
	draining chan struct{} // has a value for each refused connection that is read
	// newcomers is the lane of connections that are not trusted. Within it, bulk is that of bodies
	// that are not small: one of them waits with all newcomers, the others for each other.
	newcomers, bulk *lane

	mu            sync.Mutex
	conns         map[*conn]struct{}
	trusted       int // connections that are trusted
	refused       int64
	replaced      int64
	noneToCloseAt time.Time // last search that found no connection to close
	loggedAt      time.Time
}

// New returns a limiter. Install and Listener connect it to a server.
func New(o Options) *Limiter {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	newcomers := newLane(nil)
	return &Limiter{
		options: o, draining: make(chan struct{}, maxDraining), conns: map[*conn]struct{}{},
		newcomers: newcomers, bulk: newLane(newcomers),
	}
}

// Stats describes the connections of a server.
type Stats struct {
	Open, Limit int
	Refused     int64 // new connections closed because of the limit
	Replaced    int64 // connections closed in favor of a new one
}

// Stats returns the number of connections.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: len(l.conns), Limit: l.options.Limit, Refused: l.refused, Replaced: l.replaced}
}

// Install makes a server report the state of its connections. It replaces the handler and
// ConnContext of the server, and keeps its ConnState hook.
func (l *Limiter) Install(s *http.Server) {
	handler, hook := s.Handler, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		limitedRequest, end := c.beginRequest(r)
		handler.ServeHTTP(w, limitedRequest)
		end() // not after a panic, which has no response
	})
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c := limited(raw); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		if c := limited(raw); c != nil && state == http.StateIdle {
			c.becomeIdle()
		}
		if hook != nil {
			hook(raw, state)
		}
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// limited returns the limited connection below raw, which may be a TLS connection.
func limited(raw net.Conn) *conn {
	if outer, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = outer.NetConn()
	}
	c, _ := raw.(*conn)
	return c
}

// Listen is Listen with as many waiting connections as there may be open ones.
func (l *Limiter) Listen(address string) (net.Listener, error) {
	backlog := DefaultBacklog
	if l.options.Limit > 0 {
		backlog = min(backlog, l.options.Limit)
	}
	return Listen(address, backlog)
}

// Listener returns a listener whose connections are limited.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that is admitted. Under load, connections wait for it in the
// queue of the system, and not as goroutines.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lane := l.limiter.newcomers
		lane.enter()
		if c := l.limiter.admit(raw); c != nil {
			c.holdSlot(lane)
			return c, nil
		}
		l.limiter.refuse(raw)
		lane.leave()
	}
}

// admit returns the limited connection, or nil if there are too many.
func (l *Limiter) admit(raw net.Conn) *conn {
	now := time.Now()
	l.mu.Lock()
	var victim *conn
	full := l.options.Limit > 0 && len(l.conns) >= l.options.Limit
	if full {
		victim = l.takeVictim(now)
	}
	var c *conn
	if !full || victim != nil {
		c = newConn(raw, l, now)
		l.conns[c] = struct{}{}
	} else {
		l.refused++
	}
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close() // the server closes it again
	}
	if full {
		l.logFull(raw.RemoteAddr(), now)
	}
	return c
}

// logFull logs that the limit is reached, at most once in logInterval.
func (l *Limiter) logFull(remote net.Addr, now time.Time) {
	l.mu.Lock()
	due := now.Sub(l.loggedAt) >= logInterval
	if due {
		l.loggedAt = now
	}
	refused, replaced := l.refused, l.replaced
	l.mu.Unlock()
	if due {
		event.CallerConnectionLimit.Log(l.options.Logger, "remote", remote, "limit", l.options.Limit, "refused", refused, "replaced", replaced)
	}
}

// remove frees the place of a connection. l.mu is not held.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *Limiter) removeLocked(c *conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if c.trusted.Load() {
		l.trusted--
	}
}
