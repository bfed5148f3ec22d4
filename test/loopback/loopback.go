// Package loopback chooses addresses and reserves ports on the loopback interface for tests.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are chosen below the ephemeral port range of the system, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 10000
	portRange = 20000
	portStep  = 97 // distance between the first ports of processes with successive IDs
	maxTries  = 1000
)

// lastPortOffset modulo portRange is the distance from firstPort to the port tried last.
var lastPortOffset atomic.Int32

func init() { lastPortOffset.Store(int32(os.Getpid() * portStep % portRange)) }

// FreeAddress returns a loopback address on which no process listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range maxTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPortOffset.Add(1)%portRange)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // release the port for the caller
			return address
		}
	}
	t.Fatal("no free loopback port found")
	return ""
}
