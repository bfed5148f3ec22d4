package faultproxy_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/endivehill/endivehill/test/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts an echo server. The channel receives the size of each read.
func echo(t *testing.T) (address string, received chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	received = make(chan int, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				b := make([]byte, 1024)
				for {
					n, err := conn.Read(b)
					if err != nil {
						return
					}
					received <- n
					_, _ = conn.Write(b[:n])
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

// start starts a proxy to an echo server. The channel receives the size of each read of
// the server.
func start(t *testing.T) (*faultproxy.Proxy, chan int) {
	t.Helper()
	address, received := echo(t)
	p, err := faultproxy.New(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, received
}

func dial(t *testing.T, p *faultproxy.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Times to wait for an expected answer, and to verify that none arrives.
const (
	answerTimeout = 10 * time.Second
	noAnswerWait  = 200 * time.Millisecond
)

// exchange sends "ping" and returns the data received within wait and the read error, if
// any.
func exchange(t *testing.T, conn net.Conn, wait time.Duration) (string, error) {
	t.Helper()
	if _, err := conn.Write([]byte("ping")); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	b := make([]byte, 4)
	n, err := io.ReadFull(conn, b)
	return string(b[:n]), err
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Guards against faults that have no effect on an open connection, or an effect other
// than documented.
func TestFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  faultproxy.Faults
		answer  string
		open    bool // the connection stays open for the client
		arrives bool // the request arrives at the target
	}{
		{"none", faultproxy.Faults{}, "ping", true, true},
		{"delay", faultproxy.Faults{Delay: 10 * time.Millisecond}, "ping", true, true},
		{"cut", faultproxy.Faults{CloseOnData: true}, "", false, false},
		{"refuse", faultproxy.Faults{Refuse: true}, "", false, false},
		{"requests dropped", faultproxy.Faults{DropRequests: true}, "", true, false},
		{"answers dropped", faultproxy.Faults{DropAnswers: true}, "", true, true},
		{"answer cut", faultproxy.Faults{CutAnswerAfter: 3}, "pin", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, received := start(t)
			conn := dial(t, p)
			if answer, err := exchange(t, conn, answerTimeout); answer != "ping" {
				t.Fatalf("without faults: %q, %v", answer, err)
			}
			<-received
			if err := p.Set(tt.faults); err != nil {
				t.Fatal(err)
			}
			wait := answerTimeout
			if tt.answer == "" && tt.open {
				wait = noAnswerWait
			}
			answer, err := exchange(t, conn, wait)
			if answer != tt.answer || (err == nil || isTimeout(err)) != tt.open {
				t.Errorf("got %q, %v", answer, err)
			}
			if arrived := len(received) > 0; arrived != tt.arrives {
				t.Errorf("request arrived: %t, want %t", arrived, tt.arrives)
			}
			if err := p.Set(faultproxy.Faults{}); err != nil {
				t.Fatal(err)
			}
			if answer, err := exchange(t, dial(t, p), answerTimeout); answer != "ping" {
				t.Errorf("after the fault: %q, %v", answer, err)
			}
		})
	}
}

// Guards against Refuse accepting connections, in which case a client could not know that
// its request was not sent.
func TestRefuseFailsTheDial(t *testing.T) {
	p, _ := start(t)
	if err := p.Set(faultproxy.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", p.Address()); err == nil {
		_ = conn.Close()
		t.Error("the connection was accepted")
	}
}

// Guards against another process that takes the port while connections are refused.
func TestRefusingProxyKeepsItsPort(t *testing.T) {
	p, _ := start(t)
	if err := p.Set(faultproxy.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", p.Address())
	if err == nil {
		defer l.Close()
		t.Error("another socket listens on the port")
	}
	if err := p.Set(faultproxy.Faults{}); err != nil {
		t.Fatal(err)
	}
	if answer, err := exchange(t, dial(t, p), answerTimeout); answer != "ping" {
		t.Errorf("after the fault: %q, %v", answer, err)
	}
}

// Guards against a delay that is not applied or that reorders bytes.
func TestDelayKeepsOrder(t *testing.T) {
	const delay = 20 * time.Millisecond
	p, _ := start(t)
	if err := p.Set(faultproxy.Faults{Delay: delay}); err != nil {
		t.Fatal(err)
	}
	conn := dial(t, p)
	sent := bytes.Repeat([]byte("0123456789"), 100)
	begin := time.Now()
	for part := range bytes.SplitSeq(sent, []byte("5")) {
		if _, err := conn.Write(part); err != nil {
			t.Fatal(err)
		}
	}
	got := make([]byte, len(bytes.ReplaceAll(sent, []byte("5"), nil)))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, bytes.ReplaceAll(sent, []byte("5"), nil)) {
		t.Error("bytes are reordered")
	}
	if took := time.Since(begin); took < 2*delay {
		t.Errorf("round trip took %v, want at least %v", took, 2*delay)
	}
}

// Guards against one of two different delays being applied to both directions.
func TestAnswerDelay(t *testing.T) {
	const answerDelay = 300 * time.Millisecond
	p, received := start(t)
	if err := p.Set(faultproxy.Faults{Delay: time.Millisecond, AnswerDelay: answerDelay}); err != nil {
		t.Fatal(err)
	}
	conn := dial(t, p)
	begin := time.Now()
	if answer, err := exchange(t, conn, answerTimeout); answer != "ping" {
		t.Fatalf("%q, %v", answer, err)
	}
	<-received
	if took := time.Since(begin); took < answerDelay || took >= 2*answerDelay {
		t.Errorf("round trip took %v, want %v to %v", took, answerDelay, 2*answerDelay)
	}
}

// Guards against DropAnswers relaying the end of the connection on the target's side.
func TestDroppedAnswersHideTheEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := faultproxy.New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.Set(faultproxy.Faults{DropAnswers: true}); err != nil {
		t.Fatal(err)
	}
	conn := dial(t, p)
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = target.Close()
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("read: %v, want a timeout before the fault ends", err)
	}
	if err := p.Set(faultproxy.Faults{}); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read: %v, want EOF after the fault", err)
	}
}

// Guards against connections that stay open after CutConnections.
func TestCutConnections(t *testing.T) {
	p, _ := start(t)
	conn := dial(t, p)
	if _, err := exchange(t, conn, answerTimeout); err != nil {
		t.Fatal(err)
	}
	p.CutConnections()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("read: %v, want the end of the connection", err)
	}
}
