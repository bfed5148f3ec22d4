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

// Timeouts of the servers. The protocol requires that idle connections are kept for
// at least 30 s.
const (
	serverIdleTimeout   = time.Minute
	serverHeaderTimeout = 10 * time.Second
)

// listener is a server on a loopback port that records its connections by VM.
type listener struct {
	address string
	server  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]*vmConn
}

// listen serves h on a free loopback port.
func listen(h http.Handler, r *history.Recorder) (*listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback port")
	}
	out := &listener{address: l.Addr().String(), conns: map[net.Conn]*vmConn{}}
	out.server = &http.Server{
		Handler:           h,
		IdleTimeout:       serverIdleTimeout,
		ReadHeaderTimeout: serverHeaderTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return out.connOpened(ctx, c, r) },
		ConnState:         out.connStateChanged,
	}
	go func() { _ = out.server.Serve(l) }() // returns http.ErrServerClosed after close
	return out, nil
}

func (l *listener) connOpened(ctx context.Context, c net.Conn, r *history.Recorder) context.Context {
	tracked := &vmConn{recorder: r}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = tracked
	return context.WithValue(ctx, connContextKey{}, tracked)
}

func (l *listener) connStateChanged(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	tracked := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if tracked != nil {
		tracked.recordClosed()
	}
}

func (l *listener) close() { _ = l.server.Close() } // calls in flight need no answer
