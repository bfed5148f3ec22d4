package connlimit

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a connection that is closed because of its client although the process is late to
// read what the client has sent.
func TestConnectionWithUnreadBytesIsNotStalled(t *testing.T) {
	for _, tt := range []struct {
		name    string
		trusted bool
		phase   int32
	}{
		{"trusted, in the header", true, phaseReceiving},
		{"trusted, in the body", true, phaseReadingBody},
		{"new", false, phaseNew},
		{"not trusted, in the header", false, phaseReceiving},
		{"not trusted, in the body", false, phaseReadingBody},
		{"not trusted, idle", false, phaseIdle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := New(Options{Limit: 1})
			c, client := idleConn(t, l, tt.trusted, stallTime+stallTime/2)
			c.phase.Store(tt.phase)
			c.readAt.Store(c.waitingAt.Load())
			if _, err := io.WriteString(client, "x"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond) // for the byte to arrive
			l.CloseStalled()
			if l.Stats().Open == 0 {
				t.Error("it is closed as stalled")
			}
			if l.takeVictim(time.Now()) != nil {
				t.Error("it gives way")
			}
			var byteRead [1]byte
			if _, err := c.Conn.Read(byteRead[:]); err != nil {
				t.Fatal(err)
			}
			c.readAt.Store(time.Now().Add(-stallTime).UnixNano())
			c.waitingAt.Store(time.Now().Add(-trustedIdleTime).UnixNano())
			l.noneToCloseAt = time.Time{}
			if l.takeVictim(time.Now()) == nil {
				t.Error("it does not give way once its client has stopped")
			}
		})
	}
}

// Guards against a client that is taken for one that has stopped in the middle of a body, although
// its body waits for its turn.
func TestBodyThatWaitsForItsTurnIsNotStalled(t *testing.T) {
	s := newServerWithLimit(t, false, 0)
	for range newLaneSlots() {
		s.limiter.newcomers.acquire()
	}
	c, client := idleConn(t, s.limiter, false, 0)
	c.enter(phaseReadingBody)
	c.beginBody(2)
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		var p [1]byte
		_, err := c.Read(p[:])
		read <- err
	}()
	time.Sleep(stallTime + stallTime/2)
	s.limiter.CloseStalled()
	for range newLaneSlots() {
		s.limiter.newcomers.leave()
	}
	if err := <-read; err != nil {
		t.Error(err)
	}
	s.limiter.CloseStalled() // the wait for the client begins only now
	if s.limiter.Stats().Open != 1 {
		t.Error("the connection is closed")
	}
}

// Guards against a caller that opens its connection early and is taken for a slow one as soon as
// it sends its first request.
func TestFirstRequestBeginsWithItsFirstByte(t *testing.T) {
	l := New(Options{Limit: 1})
	c, client := idleConn(t, l, false, 0)
	c.phase.Store(phaseNew)
	c.waitingAt.Store(time.Now().Add(-2 * maxReceiveTime).UnixNano())
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	var p [1]byte
	if _, err := c.Read(p[:]); err != nil {
		t.Fatal(err)
	}
	if l.takeVictim(time.Now()) != nil {
		t.Error("the connection gives way")
	}
}

// Guards against a refused client that gets no response, because its connection is closed while
// the process is late to send it.
func TestRefusedRequestIsNotClosedBeforeItsResponse(t *testing.T) {
	l := New(Options{Limit: 1})
	c, client := idleConn(t, l, false, 0)
	c.beginBody(-1)
	c.endRequest()
	c.waitingAt.Store(time.Now().Add(-2 * minDrainTime).UnixNano())
	c.readAt.Store(time.Now().UnixNano())
	l.CloseStalled()
	if l.Stats().Open != 1 || l.takeVictim(time.Now()) != nil {
		t.Fatal("the connection is closed before the response")
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * minDrainTime)
	l.CloseStalled()
	if l.Stats().Open != 0 {
		t.Error("the connection is not closed")
	}
	if got := status(client); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// Guards against a request that is dropped when the time limit of an idle or a new connection ends
// while the process is late to read it.
func TestRequestThatHasArrivedIsReadAfterTheIdleTimeout(t *testing.T) {
	for _, tt := range []struct {
		name    string
		phase   int32
		arrived bool
		want    bool // the byte is read
	}{
		{"idle", phaseIdle, true, true},
		{"new", phaseNew, true, true},
		{"idle without a request", phaseIdle, false, false},
		{"interrupted body", phaseReadingBody, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, client := idleConn(t, New(Options{}), true, 0)
			c.phase.Store(tt.phase)
			if tt.arrived {
				if _, err := io.WriteString(client, "x"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond) // for the byte to arrive
			}
			if err := c.SetReadDeadline(time.Now().Add(-time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			var p [1]byte
			n, err := c.Read(p[:])
			if got := n == 1 && err == nil; got != tt.want {
				t.Errorf("read %d bytes, %v", n, err)
			}
		})
	}
}
