package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), l.read}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a refusal after which the server still decodes the body: with chunks of two
// bytes that takes many times the processor time of the refusal.
func TestBodyOfARefusedRequestIsNotDecoded(t *testing.T) {
	const (
		chunk  = "2\r\nxx\r\n"
		chunks = 128 << 10 // a body of 256 KiB
		// serverBufferBytes is the buffer of net/http for a connection.
		serverBufferBytes = 4 << 10
	)
	for _, handler := range []struct {
		name   string
		status int
		handle func(w http.ResponseWriter, r *http.Request)
	}{
		{"refuses", http.StatusTooManyRequests, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "0")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusTooManyRequests)
		}},
		{"ignores the body", http.StatusOK, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "0")
		}},
		{"reads a part", http.StatusOK, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 1) // the client sends more
			w.Header().Set("Content-Length", "0")
		}},
	} {
		t.Run(handler.name, func(t *testing.T) {
			var read atomic.Int64
			l := New(Options{Limit: testLimit, MaxBodyBytes: testBodyBytes})
			server := httptest.NewUnstartedServer(http.HandlerFunc(handler.handle))
			l.Install(server.Config)
			server.Listener = l.Listener(countingListener{server.Listener, &read})
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk, chunks))
			}()
			if got := status(conn); got != handler.status {
				t.Errorf("status %d", got)
			}
			for end := time.Now().Add(waitTimeout); l.Stats().Open > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the connection is not closed")
				}
			}
			if limit := int64(testBodyBytes + serverBufferBytes); read.Load() > limit {
				t.Errorf("%d bytes of the connection were read, at most %d are discarded", read.Load(), limit)
			}
		})
	}
}

// Guards against an ordinary caller that loses its connection when its request is refused
// before the body is read.
func TestRefusalOfASmallBodyKeepsTheConnection(t *testing.T) {
	s := newTestServer(t, false)
	body := strings.Repeat("x", 4<<10)
	conn := s.dial(fmt.Sprintf("POST /rejected HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(body)))
	time.Sleep(10 * time.Millisecond) // the body comes in another segment than the header
	for range 2 {
		if _, err := io.WriteString(conn, body); err != nil {
			t.Fatal(err)
		}
		if got := status(conn); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		if _, err := fmt.Fprintf(conn, "POST /rejected HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
			t.Fatal(err)
		}
	}
}
