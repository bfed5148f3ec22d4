package wire

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Guards against a connection that is closed as silent while a large frame is written over a
// slow link: the server answers a probe only after it has read the frame.
func TestLargeUploadIsNotSilence(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodStateDump: func(_ context.Context, payload []byte) (msgp.Marshaler, error) {
		var in api.StateDump
		return &in, Decode(payload, &in)
	}})
	c := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(s SilentConn) { t.Errorf("closed as silent: %+v", s) }})
	if err := p.Set(faultproxy.Faults{Delay: quickPolicy.ProbeAfter}); err != nil {
		t.Fatal(err)
	}
	large := &api.StateDump{Json: strings.Repeat("x", MaxFrameBytes/2)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := c.Call(ctx, p.Address(), api.MethodStateDump, large, &api.StateDump{}); err != nil {
		t.Error(err)
	}
}

// slowListener wraps connections so that the server reads from them at minTransferRate.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / minTransferRate)
	return n, err
}

// serveSlowly starts a server that reads at minTransferRate and returns its address.
func serveSlowly(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerOptions{Identity: identity("server")})
	s.Handle(api.MethodJobStatus, echo)
	s.Handle(api.MethodStateDump, func(_ context.Context, payload []byte) (msgp.Marshaler, error) {
		return &api.StateDump{}, Decode(payload, &api.StateDump{})
	})
	go func() { _ = s.Serve(slowListener{l}) }()
	t.Cleanup(func() { s.closeConns(); _ = l.Close() })
	return l.Addr().String()
}

// Guards against a connection that is closed as silent while the other node takes a large
// frame slowly but steadily, since a large send buffer accepts its parts in bursts.
func TestSlowUploadIsNotSilence(t *testing.T) {
	addr := serveSlowly(t)
	policy := SilencePolicy{ProbeAfter: 150 * time.Millisecond, ProbeTimeout: 350 * time.Millisecond}
	c := client(t, ClientOptions{Silence: policy, OnSilent: func(s SilentConn) { t.Errorf("closed as silent: %+v", s) }})
	large := &api.StateDump{Json: strings.Repeat("x", 4<<20)}
	if err := c.Call(t.Context(), addr, api.MethodStateDump, large, &api.StateDump{}); err != nil {
		t.Error(err)
	}
}

// Guards against a call that outlasts its deadline because the other node takes its large
// frame slowly, and against the end of the connection at the deadline.
func TestSlowUploadEndsAtItsDeadline(t *testing.T) {
	addr := serveSlowly(t)
	c := client(t, ClientOptions{})
	const timeout = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	large := &api.StateDump{Json: strings.Repeat("x", 3<<20)}
	began := time.Now()
	err := c.Call(ctx, addr, api.MethodStateDump, large, &api.StateDump{})
	if took := time.Since(began); took > 5*timeout || !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("the call took %v and ended with %v", took, err)
	}
	key := connKey{addr, classData}
	opened := c.openConn(key)
	if got, err := call(t.Context(), c, addr, "next"); err != nil || got != "next" {
		t.Errorf("%q, %v", got, err)
	}
	if c.openConn(key) != opened {
		t.Error("the connection was replaced")
	}
}
