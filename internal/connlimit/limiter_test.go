package connlimit

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const (
	testLimit     = 2
	testBodyBytes = 256 << 10
	waitTimeout   = 10 * time.Second
)

// testServer is a server with a limit of two connections. A request to /block is served
// until release is closed, the bodies of those to /unread and /rejected are not read,
// that of one to /interrupted is read until a time-out, and the handler of one to /panic
// panics.
type testServer struct {
	*httptest.Server
	t       *testing.T
	limiter *Limiter
	blocked chan struct{} // receives a value for each request to /block
	release chan struct{}
}

func newTestServer(t *testing.T, secure bool) *testServer {
	t.Helper()
	return newServerWithLimit(t, secure, testLimit)
}

func newServerWithLimit(t *testing.T, secure bool, limit int) *testServer {
	t.Helper()
	s := &testServer{t: t, limiter: New(Options{Limit: limit, MaxBodyBytes: testBodyBytes}), blocked: make(chan struct{}, 8), release: make(chan struct{})}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			s.blocked <- struct{}{}
			<-s.release
		}
		if r.URL.Path == "/panic" {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/interrupted" {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			_, _ = io.Copy(io.Discard, r.Body) // ends at the deadline
			w.Header().Set("Content-Length", "0")
			w.Header().Set("Connection", "close")
			return
		}
		if r.URL.Path == "/rejected" {
			w.Header().Set("Content-Length", "0")
			return
		}
		if r.URL.Path == "/unread" {
			w.Header().Set("Connection", "close")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // may be cut short
	}))
	s.limiter.Install(s.Config)
	s.Listener = s.limiter.Listener(s.Listener)
	if secure {
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s
}

// dial opens a connection and sends text on it.
func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	var conn net.Conn
	var err error
	if address := s.Server.Listener.Addr().String(); s.TLS != nil {
		conn, err = tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	} else {
		conn, err = net.Dial("tcp", address)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		s.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// status returns the status of the next response, 0 if the connection is closed instead.
func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // the responses have no body
	return resp.StatusCode
}

const (
	ordinaryRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	blockedRequest  = "GET /block HTTP/1.1\r\nHost: x\r\n\r\n"
)

// Guards against connections that wait for their clients and keep new callers out.
func TestNewConnectionReplacesOneThatWaitsForItsClient(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		secure     bool
	}{
		{name: "no byte"},
		{name: "part of a header", text: "GET / HTTP/1.1\r\nHost"},
		{name: "part of a body", text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx"},
		{name: "part of a chunked body", text: "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n"},
		{name: "idle", text: ordinaryRequest},
		{name: "part of a body with TLS", text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx", secure: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestServer(t, tt.secure)
			served := s.dial(blockedRequest)
			<-s.blocked
			waiting := s.dial(tt.text)
			if tt.text == ordinaryRequest {
				if got := status(waiting); got != http.StatusOK {
					t.Fatalf("status %d", got)
				}
			}
			time.Sleep(stallTime + stallTime/2)
			if got := status(s.dial(ordinaryRequest)); got != http.StatusOK {
				t.Errorf("the new connection got status %d", got)
			}
			if got := status(waiting); got != 0 {
				t.Errorf("the connection that waits got status %d", got)
			}
			close(s.release)
			if got := status(served); got != http.StatusOK {
				t.Errorf("the request that was being served got status %d", got)
			}
			if stats := s.limiter.Stats(); stats.Replaced != 1 || stats.Refused != 0 || stats.Open > testLimit {
				t.Errorf("%+v", stats)
			}
		})
	}
}

// Guards against refused clients that keep new callers out while the rest of their bodies is
// discarded.
func TestDrainingConnectionIsReplacedSoon(t *testing.T) {
	s := newTestServer(t, false)
	defer close(s.release)
	s.dial(blockedRequest)
	<-s.blocked
	draining := s.dial("POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
	if got := status(draining); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	until := time.Now().Add(minDrainTime + minDrainTime/2)
	for time.Now().Before(until) { // bytes arrive all the time
		if _, err := io.WriteString(draining, "x"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(minDrainTime / 10)
	}
	if got := status(s.dial(ordinaryRequest)); got != http.StatusOK {
		t.Errorf("the new connection got status %d", got)
	}
}

// Guards against a client that keeps its connection with a byte now and then.
func TestTricklingConnectionIsReplaced(t *testing.T) {
	s := newTestServer(t, false)
	defer close(s.release)
	s.dial(blockedRequest)
	<-s.blocked
	trickling := s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
	for began := time.Now(); time.Since(began) < maxReceiveTime; time.Sleep(stallTime / 5) {
		if _, err := io.WriteString(trickling, "x"); err != nil {
			t.Fatal(err)
		}
	}
	if got := status(s.dial(ordinaryRequest)); got != http.StatusOK {
		t.Errorf("the new connection got status %d", got)
	}
}

// Guards against the end of a connection whose request is being served, and against a
// refusal that the client can't tell from a failure.
func TestServedConnectionsAreKept(t *testing.T) {
	s := newTestServer(t, false)
	var served []net.Conn
	for range testLimit {
		served = append(served, s.dial(blockedRequest))
		<-s.blocked
	}
	time.Sleep(stallTime + stallTime/2)
	resp, err := http.ReadResponse(bufio.NewReader(s.dial("")), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("the connection beyond the limit got %+v, %v", resp, err)
	}
	close(s.release)
	for _, conn := range served {
		if got := status(conn); got != http.StatusOK {
			t.Errorf("a request that was being served got status %d", got)
		}
		_ = conn.Close() // frees its place
	}
	if stats := s.limiter.Stats(); stats.Replaced != 0 || stats.Refused != 1 {
		t.Errorf("%+v", stats)
	}
	for end := time.Now().Add(waitTimeout); s.limiter.Stats().Open > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("closed connections still count")
		}
	}
}

// Guards against a reset that reaches a refused client before it has read the refusal: one
// that sends its request in several parts fails to write the next part.
func TestRefusalReachesClientThatStillSends(t *testing.T) {
	s := newTestServer(t, false)
	defer close(s.release)
	for range testLimit {
		s.dial(blockedRequest)
		<-s.blocked
	}
	refused := s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n")
	for range 10 {
		time.Sleep(refusalTimeout / 50)
		if _, err := io.WriteString(refused, "x"); err != nil {
			t.Fatal(err)
		}
	}
	if got := status(refused); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
}

// Guards against a receive buffer that holds a large body before it is read.
func TestListenBoundsUnreadBytes(t *testing.T) {
	l, err := Listen("127.0.0.1:0", DefaultBacklog)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := client.(*net.TCPConn).SetWriteBuffer(MaxUnreadBytes); err != nil {
		t.Fatal(err)
	}
	if err := client.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	sent, _ := client.Write(make([]byte, 4<<20)) // ends with a time-out
	if sent > 8*MaxUnreadBytes {
		t.Errorf("the system took %d bytes of a connection that is not read", sent)
	}
}

// readHook is a body that calls a function while it is read.
type readHook struct {
	io.Reader
	before func()
}

func (r readHook) Read(p []byte) (int, error) {
	r.before()
	return r.Reader.Read(p)
}

func (readHook) Close() error { return nil }

// Guards against a request that is served although its connection has been taken for a new
// one while the last bytes of its body arrived: its client would never get the response.
func TestRequestOnReplacedConnectionIsNotServed(t *testing.T) {
	l := New(Options{Limit: 1})
	raw, client := net.Pipe()
	defer client.Close()
	c := l.admit(raw)
	c.readAt.Store(time.Now().Add(-2 * stallTime).UnixNano())
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.ContentLength = 1
	request.Body = readHook{strings.NewReader("x"), func() {
		other, _ := net.Pipe()
		l.admit(other)
	}}
	limited, end := c.beginRequest(request)
	defer end()
	if _, err := io.ReadAll(limited.Body); err == nil {
		t.Error("the body was received on a connection that is closed")
	}
	if stats := l.Stats(); stats.Replaced != 1 {
		t.Errorf("%+v", stats)
	}
}

// Guards against a pipelined request that is taken for as old as the request before it, so
// that its connection is replaced while its body arrives.
func TestPipelinedRequestBeginsWhenItsHandlerDoes(t *testing.T) {
	l := New(Options{Limit: 1})
	raw, client := net.Pipe()
	defer client.Close()
	c := l.admit(raw)
	c.waitingAt.Store(time.Now().Add(-2 * maxReceiveTime).UnixNano())
	c.enter(phaseIdle) // the next request is in the buffer of the server
	request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
	_, end := c.beginRequest(request)
	defer end()
	if _, ok := candidateOf(c, phaseReadingBody, time.Now()); ok {
		t.Error("a connection may be replaced as soon as it reads the body of a pipelined request")
	}
}

// Guards against a reset that reaches a client before it has read the response. net/http reads
// nothing more of a body if the client asked for the end of the connection, or if reading a
// chunked body has failed once.
func TestRestOfBodyIsReadBeforeTheEnd(t *testing.T) {
	for _, header := range []string{
		"POST /rejected HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 11\r\n\r\n",
		"POST /rejected HTTP/1.0\r\nContent-Length: 11\r\n\r\n",
		"POST /unread HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100\r\n",
		"POST /interrupted HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n",
		"POST /interrupted HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100\r\n",
	} {
		s := newTestServer(t, false)
		conn := s.dial(header + "x")
		for range 10 {
			time.Sleep(minDrainTime / 50)
			if _, err := io.WriteString(conn, "x"); err != nil {
				t.Errorf("%q: %v", header, err)
				break
			}
		}
		if got := status(conn); got != http.StatusOK {
			t.Errorf("%q: status %d", header, got)
		}
	}
}

// Guards against a response to a request whose handler has panicked.
func TestPanicHasNoResponse(t *testing.T) {
	s := newTestServer(t, false)
	if got := status(s.dial("POST /panic HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 10\r\n\r\nx")); got != 0 {
		t.Errorf("status %d", got)
	}
}
