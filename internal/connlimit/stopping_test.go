package connlimit

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a planned stop whose log does not show the requests that it cuts, or that counts
// connections of clients that wait for nothing.
func TestUnfinishedConnectionsAreCounted(t *testing.T) {
	s := newServerWithLimit(t, false, 0)
	defer close(s.release)
	s.dial("")                   // sends nothing
	s.dial("GET / HTTP/1.1\r\n") // sends a part of a header
	s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx")
	s.dial(blockedRequest)
	<-s.blocked
	if got := status(s.dial(ordinaryRequest)); got != http.StatusOK { // becomes idle
		t.Fatalf("status %d", got)
	}
	unread, client := idleConn(t, s.limiter, true, 0)
	if _, err := io.WriteString(client, ordinaryRequest); err != nil {
		t.Fatal(err)
	}
	gone, client := idleConn(t, s.limiter, true, 0)
	_ = client.Close()
	time.Sleep(20 * time.Millisecond) // for the bytes to arrive
	if got, want := s.limiter.Unfinished(), (Unfinished{InProgress: 2, Unread: 2}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if !hasUnreadBytes(unread.Conn) || hasUnreadBytes(gone.Conn) {
		t.Error("the end of the data of a client counts as a byte, or a byte does not count")
	}
}

// Guards against a planned stop that drops a request which has been read on a kept connection
// and waits for its turn.
func TestConnectionThatWaitsForItsTurnIsNotClosedAsIdle(t *testing.T) {
	s := newServerWithLimit(t, false, 0)
	conn := s.dial(ordinaryRequest) // its caller is not trusted
	if got := status(conn); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	for range newLaneSlots() {
		s.limiter.newcomers.acquire()
	}
	if _, err := io.WriteString(conn, ordinaryRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // for the bytes to be read
	s.limiter.CloseIdle(true)
	if got, want := s.limiter.Unfinished(), (Unfinished{Unread: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	for range newLaneSlots() {
		s.limiter.newcomers.leave()
	}
	if got := status(conn); got != http.StatusOK {
		t.Errorf("a request that had been read got status %d", got)
	}
	time.Sleep(20 * time.Millisecond) // for the end of the request
	s.limiter.CloseIdle(false)
	if got := status(conn); got != 0 {
		t.Errorf("an idle connection got status %d", got)
	}
}
