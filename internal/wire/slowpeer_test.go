package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// blockedListener returns connections of which the first large write waits.
type blockedListener struct {
	net.Listener
	writes chan struct{}
}

func (l blockedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return blockedConn{c, l.writes}, err
}

type blockedConn struct {
	net.Conn
	writes chan struct{}
}

func (c blockedConn) Write(p []byte) (int, error) {
	if len(p) > maxQuickWriteBytes {
		<-c.writes
	}
	return c.Conn.Write(p)
}

// countedDocument counts how often it is encoded.
type countedDocument struct {
	api.ConfigDocument
	encoded *atomic.Int64
}

func (d countedDocument) MarshalMsg(b []byte) ([]byte, error) {
	d.encoded.Add(1)
	return d.ConfigDocument.MarshalMsg(b)
}

// Guards against a node whose memory fills with large responses that wait for a slow peer, which
// asks again and again because each of its calls times out.
func TestResponsesThatWaitForASlowPeerAreNotEncoded(t *testing.T) {
	const calls, callTimeout = 20, 50 * time.Millisecond
	var encoded, served atomic.Int64
	document := countedDocument{api.ConfigDocument{Document: make([]byte, 1<<20)}, &encoded}
	server := NewServer(ServerOptions{Identity: identity("server")})
	server.Handle(api.MethodConfigDocument, func(context.Context, []byte) (msgp.Marshaler, error) {
		served.Add(1)
		return document, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	writes := make(chan struct{})
	go func() { _ = server.Serve(blockedListener{l, writes}) }()
	client := NewClient(ClientOptions{Identity: identity("client")})
	defer func() {
		client.Close()
		_ = server.Shutdown(t.Context())
	}()
	defer close(writes)
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		_ = client.Call(ctx, l.Addr().String(), api.MethodConfigDocument, &api.Empty{}, &api.ConfigDocument{}) // times out
		cancel()
	}
	if got := encoded.Load(); served.Load() < 2 || got > 1 {
		t.Errorf("%d of %d responses are encoded while the first one is written", got, served.Load())
	}
}
