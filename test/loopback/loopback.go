// Package loopback reserves ports on the loopback interface for tests.
package loopback

import "testing"

// NewPort reserves a port until the end of the test.
func NewPort(t testing.TB) *Port {
	t.Helper()
	p, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// FreeAddress returns the address of a shared port that is kept until the end of the test.
// A test that stops and starts the listener of the address uses NewPort, so that it can
// reserve the port for itself meanwhile.
func FreeAddress(t testing.TB) string {
	t.Helper()
	p := NewPort(t)
	if err := p.SetShared(true); err != nil {
		t.Fatal(err)
	}
	return p.Address()
}
