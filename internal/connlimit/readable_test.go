package connlimit

import (
	"net"
	"testing"
)

// Guards against a planned stop that resets connections which the kernel has accepted and
// the process has not.
func TestConnectionsThatAreNotAcceptedYetAreNoticed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 2 {
		if Pending(l) {
			t.Error("a connection is pending without a caller")
		}
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		if !Pending(l) {
			t.Error("a connection that is not accepted yet is not noticed")
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
	}
}
