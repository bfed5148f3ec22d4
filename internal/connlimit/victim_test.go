package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// idleConn returns a connection of l that has been idle for a time, and the end of its client.
func idleConn(t *testing.T, l *Limiter, trusted bool, idle time.Duration) (*conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), raw.Close() })
	c := l.admit(raw)
	if c == nil {
		t.Fatal("the connection is not admitted")
	}
	if trusted {
		Trust(context.WithValue(context.Background(), connKey{}, c))
	}
	c.becomeIdle()
	c.waitingAt.Store(time.Now().Add(-idle).UnixNano())
	return c, client
}

// Guards against an ordinary caller whose kept connection is closed in favor of a crowd, just
// when it sends its next request.
func TestTrustedConnectionGivesWayLast(t *testing.T) {
	for _, tt := range []struct {
		name    string
		limit   int
		trusted []bool          // of each connection
		idle    []time.Duration // of each connection
		victim  int             // index of the connection that gives way; -1 for none
	}{
		{"untrusted first, although it has waited for less", 2, []bool{true, false}, []time.Duration{time.Minute, time.Second}, 1},
		{"trusted ones up to a share never", 4, []bool{true, true, false, false}, []time.Duration{time.Minute, time.Minute, 0, 0}, -1},
		{"trusted ones above the share, the oldest", 2, []bool{true, true}, []time.Duration{time.Minute, 2 * time.Minute}, 1},
		{"trusted ones above the share, but not soon", 2, []bool{true, true}, []time.Duration{time.Second, time.Second}, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := New(Options{Limit: tt.limit})
			var conns []*conn
			for i, trusted := range tt.trusted {
				c, _ := idleConn(t, l, trusted, tt.idle[i])
				conns = append(conns, c)
			}
			victim := l.takeVictim(time.Now())
			for i, c := range conns {
				if (c == victim) != (i == tt.victim) {
					t.Errorf("connection %d gives way: %v", i, c == victim)
				}
			}
		})
	}
}

// Guards against a trusted connection that is closed although its next request has arrived.
func TestConnectionWithAnUnreadRequestDoesNotGiveWay(t *testing.T) {
	l := New(Options{Limit: 1})
	_, client := idleConn(t, l, true, time.Minute)
	if _, err := io.WriteString(client, ordinaryRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond) // for the bytes to arrive
	if l.takeVictim(time.Now()) != nil {
		t.Error("the connection gives way")
	}
}

// Guards against connections that count as trusted after their end, so that others give way
// too early.
func TestClosedConnectionsAreNotCountedAsTrusted(t *testing.T) {
	l := New(Options{Limit: 2})
	c, _ := idleConn(t, l, true, 0)
	Trust(context.WithValue(context.Background(), connKey{}, c))
	if l.trusted != 1 {
		t.Fatalf("%d connections are trusted", l.trusted)
	}
	for range 2 { // net/http and a replacement may both close it
		_ = c.Close()
	}
	if l.trusted != 0 {
		t.Errorf("%d connections are trusted after the end of the only one", l.trusted)
	}
	Trust(context.WithValue(context.Background(), connKey{}, c))
	if l.trusted != 0 {
		t.Error("a closed connection is trusted")
	}
}

// Guards against trust in a client that stops in the middle of a body that nobody has read.
func TestRequestWithAnUnreadBodyEarnsNoTrust(t *testing.T) {
	l := New(Options{Limit: 1})
	raw, _ := net.Pipe()
	c := l.admit(raw)
	c.bodyOpen.Store(true)
	Trust(context.WithValue(context.Background(), connKey{}, c))
	if c.trusted.Load() {
		t.Error("the connection is trusted")
	}
}

// Guards against clients that stop in the middle of a request and delay the stop of a server, and
// against a stop that closes a connection whose request is being served or still arrives.
func TestStalledConnectionsAreClosedDuringAStop(t *testing.T) {
	s := newServerWithLimit(t, false, 0)
	served := s.dial(blockedRequest)
	<-s.blocked
	stalled := s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx")
	time.Sleep(stallTime + stallTime/2)
	arriving := s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
	time.Sleep(10 * time.Millisecond) // for the bytes to arrive
	s.limiter.CloseStalled()
	if got := status(stalled); got != 0 {
		t.Errorf("the connection that waits got status %d", got)
	}
	if _, err := io.WriteString(arriving, "x"); err != nil {
		t.Fatal(err)
	}
	close(s.release)
	for _, conn := range []net.Conn{served, arriving} {
		if got := status(conn); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	}
}
