package loopback

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// listens reports whether net.Listen succeeds on an address.
func listens(t *testing.T, address string) bool {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
		return false
	}
	_ = l.Close()
	return true
}

// Guards against a reserved port that accepts connections, so that a client cannot know
// that its request was not sent.
func TestReservedPortRefusesConnections(t *testing.T) {
	p := NewPort(t)
	for _, shared := range []bool{false, true} {
		if err := p.SetShared(shared); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", p.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("shared %t: dial: %v, want a refused connection", shared, err)
		}
	}
}

// Guards against a port that another socket gets although it is not shared, also after
// listeners and their connections, which leave sockets with SO_REUSEADDR on the port.
func TestOnlyASharedPortIsGivenToAListener(t *testing.T) {
	p := NewPort(t)
	for round := range 3 {
		if listens(t, p.Address()) {
			t.Errorf("round %d: another socket listens on a port that is not shared", round)
		}
		acceptOne(t, p)
	}
}

// acceptOne listens on a port and accepts a connection that stays open.
func acceptOne(t *testing.T, p *Port) {
	t.Helper()
	l, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
}

// connectsFrom reports whether an outgoing connection gets the port of an address.
func connectsFrom(t *testing.T, address string) bool {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	local, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{LocalAddr: local}
	conn, err := d.Dial("tcp", target.Addr().String())
	if err != nil {
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
		return false
	}
	_ = conn.Close()
	return true
}

// Guards against an outgoing connection that takes a shared port before a process listens.
func TestSharedPortIsNotGivenToAConnection(t *testing.T) {
	p := NewPort(t)
	if err := p.SetShared(true); err != nil {
		t.Fatal(err)
	}
	if connectsFrom(t, p.Address()) {
		t.Error("a connection got the port")
	}
}

// Guards against an address whose port is released before its caller listens.
func TestFreeAddressIsKept(t *testing.T) {
	address := FreeAddress(t)
	if connectsFrom(t, address) {
		t.Error("a connection got the port")
	}
	if !listens(t, address) {
		t.Error("the caller cannot listen on the address")
	}
}

// Guards against a port that stays taken after the test that reserved it.
func TestClosedPortIsFree(t *testing.T) {
	p := NewPort(t)
	p.Close()
	if !listens(t, p.Address()) {
		t.Error("the port is not free")
	}
	if err := p.SetShared(true); err == nil {
		t.Error("a closed port is shared")
	}
}
