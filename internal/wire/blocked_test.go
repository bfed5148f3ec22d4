package wire

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// deafListener wraps connections so that the server stops reading from those that were
// accepted before deaf was set.
type deafListener struct {
	net.Listener
	accepted atomic.Int64
	deafTo   atomic.Int64 // connections with at most this number are not read from
}

func (l *deafListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deafConn{Conn: c, listener: l, number: l.accepted.Add(1), closed: make(chan struct{})}, nil
}

type deafConn struct {
	net.Conn
	listener *deafListener
	number   int64
	closed   chan struct{}
	isClosed atomic.Bool
}

func (c *deafConn) Read(p []byte) (int, error) {
	if c.number <= c.listener.deafTo.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

func (c *deafConn) Close() error {
	if c.isClosed.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}

// Guards against a data connection that is not checked for silence while a large frame is
// written, so that all calls to the node wait until the write times out.
func TestLargeFrameOnASilentConnectionDoesNotBlockOtherCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &deafListener{Listener: l}
	s := NewServer(ServerOptions{Identity: identity("server")})
	s.Handle(api.MethodJobStatus, echo)
	s.Handle(api.MethodStateDump, func(_ context.Context, payload []byte) (msgp.Marshaler, error) {
		var in api.StateDump
		return &in, Decode(payload, &in)
	})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { s.closeConns(); _ = l.Close() })
	c := client(t, ClientOptions{Silence: quickPolicy})
	if _, err := call(t.Context(), c, l.Addr().String(), "first"); err != nil {
		t.Fatal(err)
	}
	listener.deafTo.Store(listener.accepted.Load())
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		large := &api.StateDump{Json: strings.Repeat("x", MaxFrameBytes-1024)}
		_ = c.Call(ctx, l.Addr().String(), api.MethodStateDump, large, &api.StateDump{}) // is not answered
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err := call(ctx, c, l.Addr().String(), "next")
		cancel()
		if err == nil {
			break
		}
		if time.Since(began) > frameTimeout/2 {
			t.Fatalf("no answer in %v: %v", time.Since(began), err)
		}
	}
	t.Logf("answered after %v", time.Since(began))
}

// Guards against a live connection that is closed as silent while the server waits for
// memory for a large request, and so does not read the probe behind it, or the frame.
func TestWaitForTheMemoryOfAServerIsNotSilence(t *testing.T) {
	for _, size := range []int{32 << 10, MaxFrameBytes - 1024} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) { testWaitForMemory(t, size) })
	}
}

// testWaitForMemory sends a request of size bytes to a server that has no memory for it yet.
func testWaitForMemory(t *testing.T, size int) {
	release := make(chan struct{})
	_, addr := serve(t, ServerOptions{MaxInflightBytes: MaxFrameBytes}, map[api.Method]Handler{
		api.MethodStateDump: func(ctx context.Context, _ []byte) (msgp.Marshaler, error) {
			select {
			case <-release:
			case <-ctx.Done():
			}
			return &api.StateDump{}, nil
		},
	})
	large := &api.StateDump{Json: strings.Repeat("x", MaxFrameBytes-1024)}
	waiting := &api.StateDump{Json: strings.Repeat("x", size)}
	done := make(chan error, 1)
	first := client(t, ClientOptions{Silence: quickPolicy})
	go func() { done <- first.Call(t.Context(), addr, api.MethodStateDump, large, &api.StateDump{}) }()
	time.Sleep(300 * time.Millisecond)
	time.AfterFunc(6*(quickPolicy.ProbeAfter+quickPolicy.ProbeTimeout), func() { close(release) })
	second := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(s SilentConn) { t.Errorf("closed as silent: %+v", s) }})
	if err := second.Call(t.Context(), addr, api.MethodStateDump, waiting, &api.StateDump{}); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
