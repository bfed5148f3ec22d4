package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sync/semaphore"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// Handler serves one method. The context has the deadline of the caller. The handler owns
// the payload.
type Handler func(ctx context.Context, payload []byte) (msgp.Marshaler, error)

// ServerOptions configures a Server.
type ServerOptions struct {
	Identity func() Identity
	TLS      *tls.Config // used for all connections if not nil
	Logger   log.Logger
	// Limits; the defaults if 0.
	MaxCalls         int   // running calls of one connection
	MaxConns         int   // connections
	MaxInflightBytes int64 // memory of requests being read or served
}

// Server accepts connections of other nodes and serves their calls.
type Server struct {
	options      ServerOptions
	counters     byteCounters
	memoryBudget *semaphore.Weighted
	handlers     map[api.Method]Handler

	mu           sync.Mutex
	listeners    map[net.Listener]struct{}
	conns        map[*serverConn]struct{}
	stopping     bool
	closed       bool
	refused      refusals
	runningCalls sync.WaitGroup
	connLoops    sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(o ServerOptions) *Server {
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultMaxCalls
	}
	if o.MaxConns == 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.MaxInflightBytes == 0 {
		o.MaxInflightBytes = defaultMaxInflightBytes
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Server{
		options:      o,
		memoryBudget: semaphore.NewWeighted(max(o.MaxInflightBytes, MaxFrameBytes)),
		handlers:     map[api.Method]Handler{},
		listeners:    map[net.Listener]struct{}{},
		conns:        map[*serverConn]struct{}{},
	}
}

// Handle sets the handler of a method. It must not be called after Serve.
func (s *Server) Handle(m api.Method, h Handler) { s.handlers[m] = h }

// Serve accepts connections until the server is shut down, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		s.accept(c)
	}
}

func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	return errors.Wrap(err, "accept connections of nodes")
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// accept starts serving a connection. It closes the connection if the server is stopping,
// and refuses it if there are too many.
func (s *Server) accept(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		_ = raw.Close()
		return
	}
	if len(s.conns) >= s.options.MaxConns && !s.closeUnusedConn(time.Now()) {
		s.refuse(raw)
		return
	}
	sc := newServerConn(s, raw)
	s.conns[sc] = struct{}{}
	s.connLoops.Add(1)
	go func() {
		defer s.connLoops.Done()
		sc.serve()
		s.mu.Lock()
		delete(s.conns, sc)
		s.mu.Unlock()
	}()
}

// beginCall adds a running call and returns true, unless the server is stopping.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.runningCalls.Add(1)
	return true
}

// Shutdown stops accepting connections, refuses new calls with shutting_down and asks the
// clients to close their connections. Until ctx ends it waits for running calls, and then
// for at most goAwayTimeout for the clients. Finally it closes the remaining connections.
//
// Other nodes treat a node whose listener is closed as dead, so call Shutdown only after
// the session of the node has been released.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for l := range s.listeners {
		_ = l.Close()
	}
	s.sendGoAwaysLocked()
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.runningCalls.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "", "calls of other nodes were still running")
	}
	s.waitForClientsToClose(ctx)
	s.closeConns()
	s.connLoops.Wait()
	return err
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sc := range s.conns {
		sc.close()
	}
}

// Bytes returns the bytes received and sent so far.
func (s *Server) Bytes() (in, out int64) { return s.counters.in.Load(), s.counters.out.Load() }

// handshake runs the TLS handshake, if configured, and the version handshake.
func (s *Server) handshake(raw net.Conn) (net.Conn, error) {
	conn, err := s.secure(raw)
	if err != nil {
		return nil, err
	}
	_, err = exchangeHello(conn, s.options.Identity().hello())
	return conn, err
}

// secure counts the bytes of a connection and runs the TLS handshake, if configured.
func (s *Server) secure(raw net.Conn) (net.Conn, error) {
	var conn net.Conn = countingConn{raw, &s.counters, nil}
	if s.options.TLS == nil {
		return conn, nil
	}
	t := tls.Server(conn, s.options.TLS)
	if err := t.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	return t, t.Handshake()
}

// logRefused logs that a connection was closed because of a failed handshake or an
// invalid frame.
func (s *Server) logRefused(raw net.Conn, err error) {
	event.PeerRefused.Log(s.options.Logger, "remote", raw.RemoteAddr(), "err", err)
}
