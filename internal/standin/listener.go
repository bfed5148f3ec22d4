package standin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/history"
)

// Bounds of the servers. The protocol asks that idle connections are kept for at
// least 30 s.
const (
	serverIdleTimeout   = time.Minute
	serverHeaderTimeout = 10 * time.Second
)

// listener is a server on a loopback port that records for which VM its
// connections are.
type listener struct {
	address string
	server  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
}

// listen serves h on a free loopback port.
func listen(h http.Handler, r *history.Recorder) (*listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback port")
	}
	out := &listener{address: l.Addr().String(), conns: map[net.Conn]*trackedConn{}}
	out.server = &http.Server{
		Handler:           h,
		IdleTimeout:       serverIdleTimeout,
		ReadHeaderTimeout: serverHeaderTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return out.opened(ctx, c, r) },
		ConnState:         out.stateChanged,
	}
	go func() { _ = out.server.Serve(l) }() // ends with http.ErrServerClosed
	return out, nil
}

func (l *listener) opened(ctx context.Context, c net.Conn, r *history.Recorder) context.Context {
	tracked := &trackedConn{recorder: r}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = tracked
	return context.WithValue(ctx, connKey{}, tracked)
}

func (l *listener) stateChanged(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	tracked := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if tracked != nil {
		tracked.closed()
	}
}

func (l *listener) close() { _ = l.server.Close() } // nothing is in flight that matters
