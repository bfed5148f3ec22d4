package cellnode

import (
	"math"

	"github.com/endivehill/endivehill/internal/settings"
)

// Shares of the open files of a node. The owner of a large cell has connections of all other
// nodes and to all workers; any node may become the owner.
const (
	reservedFiles  = 200 // files, listeners, and connections to the table service and the adviser
	peerShare      = 0.25
	workerShare    = 0.5
	callerShare    = 1 - peerShare - workerShare
	minConnections = 64 // of each kind, for nodes that may open very few files
	// maxServiceConns limits the connections of readiness probes, and of readers of metrics.
	maxServiceConns = 32
)

// Shares of the memory of a node.
const (
	heapLimitShare = 0.45 // for the Go heap, a soft limit
	bodyShare      = 0.1  // for request bodies, part of the heap
	peerCallShare  = 0.1  // for the calls of other nodes that are read or served, part of the heap
	// callersPerMB is the number of connections of callers for each MiB of memory. A
	// connection takes up to 32 KiB for bytes that are not read yet, and up to 64 KiB of the
	// heap while a header of the longest permitted size arrives.
	callersPerMB = 3
)

// connectionLimits are the numbers of connections that a node keeps open at a time, 0 for the
// default or no limit.
type connectionLimits struct {
	peers   int // from other nodes
	workers int // to workers
	callers int
}

// limitsFor returns the limits for a number of open files and a memory in MiB. A value of 0
// imposes no limit.
func limitsFor(maxOpenFiles int, memoryMB float64) connectionLimits {
	callers := math.Inf(1)
	if memoryMB > 0 {
		callers = callersPerMB * memoryMB
	}
	var l connectionLimits
	if maxOpenFiles > 0 {
		usable := float64(maxOpenFiles - reservedFiles)
		callers = min(callers, callerShare*usable)
		l.peers = max(minConnections, int(peerShare*usable))
		l.workers = max(minConnections, int(workerShare*usable))
	}
	if !math.IsInf(callers, 1) {
		l.callers = max(minConnections, int(callers))
	}
	return l
}

// callerLimit returns the number of connections of callers: the setting, or the derived one.
func callerLimit(s *settings.Cell) int {
	if s.MaxCallerConnections > 0 {
		return s.MaxCallerConnections
	}
	return limitsFor(s.MaxOpenFiles, s.MemoryMB).callers
}

// heapLimit returns the soft limit of the Go heap in bytes.
func heapLimit(s *settings.Cell) int64 { return shareOfMemory(s, heapLimitShare) }

// bodyMemory returns the memory for request bodies in bytes.
func bodyMemory(s *settings.Cell) int64 {
	if s.BodyMemoryMB > 0 {
		return int64(s.BodyMemoryMB * (1 << 20))
	}
	return shareOfMemory(s, bodyShare)
}

// peerCallMemory returns the memory for the calls of other nodes in bytes.
func peerCallMemory(s *settings.Cell) int64 { return shareOfMemory(s, peerCallShare) }

func shareOfMemory(s *settings.Cell, share float64) int64 {
	return int64(share * s.MemoryMB * (1 << 20))
}
