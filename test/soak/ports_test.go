package soak

import (
	"net"
	"testing"
	"time"
)

// Guards against another process that takes a port of a node while the node is down.
func TestPortsOfAStoppedNodeAreKept(t *testing.T) {
	s := &soak{seed: 1, startedAt: time.Now()}
	s.makeDir(t)
	s.startPlatform(t)
	defer s.stopAndReport(t)
	if !s.awaitReady(startTimeout) {
		return
	}
	n := s.nodes[0]
	n.kill()
	settings := &n.settings
	for _, address := range []string{settings.HttpAddress, settings.ReadyAddress, settings.PeerAddress, settings.MetricsAddress} {
		if l, err := net.Listen("tcp", address); err == nil {
			defer l.Close()
			t.Errorf("another socket listens on %s", address)
		}
	}
	n.start()
	s.awaitReady(startTimeout)
}
