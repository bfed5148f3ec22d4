package cellnode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/endivehill/endivehill/internal/connlimit"
)

const testStopTimeout = 5 * time.Second

// lateListener accepts connections of which nothing is read while the process is late.
type lateListener struct {
	*net.TCPListener
	late atomic.Pointer[lateness]
}

// lateness is a time in which the process reads nothing.
type lateness struct {
	arrived chan struct{} // has a value for each connection with unread bytes
	over    chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lateConn{c, l}, nil
}

type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

func (c *lateConn) Read(p []byte) (int, error) {
	if err := c.awaitBytes(); err != nil {
		return 0, err
	}
	if late := c.listener.late.Load(); late != nil {
		late.arrived <- struct{}{}
		<-late.over
	}
	return c.TCPConn.Read(p)
}

func (c *lateConn) awaitBytes() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
}

// stoppableServer is a caller server whose responses end their connections during a stop.
type stoppableServer struct {
	*callerServer
	t        *testing.T
	listener *lateListener
	stopping atomic.Bool
}

func startCallerServer(t *testing.T, handle http.HandlerFunc) *stoppableServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stoppableServer{t: t, listener: &lateListener{TCPListener: l.(*net.TCPListener)}}
	server := &http.Server{ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		connlimit.Trust(r.Context())
		handle(w, r)
	})}
	s.callerServer = newCallerServer(server, connlimit.New(connlimit.Options{}))
	s.serve(s.listener)
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *stoppableServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(2 * testStopTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// startStop begins the stop and returns a channel that gets the connections that it cut.
func (s *stoppableServer) startStop() <-chan connlimit.Unfinished {
	s.stopping.Store(true)
	done := make(chan connlimit.Unfinished, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testStopTimeout)
		defer cancel()
		cut, _ := s.stop(ctx, testStopTimeout)
		done <- cut
	}()
	return done
}

// request sends a request and returns the status of the response, 0 for none.
func request(t *testing.T, conn net.Conn) int {
	t.Helper()
	sendRequest(t, conn)
	return statusOf(conn)
}

func sendRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
}

func statusOf(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // has no bytes
	return resp.StatusCode
}

// readBody is a handler that needs the body.
func readBody(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "0")
}

// Guards against a planned stop that closes a kept connection as idle although its next request
// has been received, because the process is late to read it.
func TestPlannedStopServesRequestsThatArriveOnKeptConnections(t *testing.T) {
	s := startCallerServer(t, readBody)
	var conns []net.Conn
	for range 4 {
		conn := s.dial()
		if got := request(t, conn); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		conns = append(conns, conn)
	}
	late := &lateness{make(chan struct{}), make(chan struct{})}
	s.listener.late.Store(late)
	for _, conn := range conns {
		sendRequest(t, conn)
		<-late.arrived
	}
	done := s.startStop()
	time.Sleep(100 * time.Millisecond) // for the stop to look at the connections
	s.listener.late.Store(nil)
	close(late.over)
	for _, conn := range conns {
		if got := statusOf(conn); got != http.StatusOK {
			t.Errorf("a request that had arrived got status %d", got)
		}
	}
	if cut := <-done; cut != (connlimit.Unfinished{}) {
		t.Errorf("%+v", cut)
	}
}

// Guards against a planned stop that is delayed by connections without a request, and against one
// that closes a new connection at once whose caller is about to send its first request.
func TestPlannedStopClosesConnectionsWithoutARequest(t *testing.T) {
	s := startCallerServer(t, readBody)
	kept, silent, early := s.dial(), s.dial(), s.dial()
	if got := request(t, kept); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	time.Sleep(20 * time.Millisecond) // for the connections to be accepted
	began := time.Now()
	done := s.startStop()
	time.Sleep(50 * time.Millisecond)
	if got := request(t, early); got != http.StatusOK {
		t.Errorf("the first request on a new connection got status %d", got)
	}
	if cut := <-done; cut != (connlimit.Unfinished{}) {
		t.Errorf("%+v", cut)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the stop took %v", took)
	}
	for _, conn := range []net.Conn{kept, silent} {
		if got := statusOf(conn); got != 0 {
			t.Errorf("a connection without a request got status %d", got)
		}
	}
}
