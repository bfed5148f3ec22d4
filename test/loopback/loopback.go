// Package loopback chooses addresses on the loopback interface for tests.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are tried from a range below the one from which the system takes the ports
// of outgoing connections, which could take a port between its choice and its use.
const (
	firstPort = 10000
	portRange = 20000
	portStep  = 97 // spreads the processes that run tests at the same time
	maxTries  = 1000
)

var nextPort atomic.Int32

func init() { nextPort.Store(int32(os.Getpid() * portStep % portRange)) }

// FreeAddress returns an address on which nothing listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range maxTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portRange)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // the address is free again
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
