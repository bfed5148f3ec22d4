package cellnode

import (
	"testing"

	"github.com/endivehill/endivehill/internal/bodybudget"
	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/platform"
)

// Guards against limits that a deployment of this size passes: two connections of each other
// node, and one to each worker at the least.
func TestLimitsHoldForLargeDeployments(t *testing.T) {
	for _, tt := range []struct{ maxOpenFiles, nodes, workers int }{
		{4100, 300, 1600},
		{8192, 800, 3300},
		{100, 20, 48},
	} {
		l := limitsFor(tt.maxOpenFiles, 256)
		if l.peers < 2*(tt.nodes-1) || l.workers < tt.workers {
			t.Errorf("%d open files: %+v for %d nodes and %d workers", tt.maxOpenFiles, l, tt.nodes, tt.workers)
		}
	}
}

// Guards against limits that together exceed the memory or the descriptors of a machine, and
// against limits that an ordinary load reaches.
func TestLimitsFitTheMachine(t *testing.T) {
	const (
		// programBytes is the resident memory outside the heap limit: the pages of the program
		// and of the runtime. A whole node without load has 24 MiB, its heap included.
		programBytes = 24 << 20
		// headerBytes is the heap for a connection while its header arrives.
		headerBytes = 64 << 10
		// baseHeapBytes is the heap that must be left for everything else.
		baseHeapBytes = 8 << 20
		// ordinaryBytes is the memory for an ordinary body on its way, and ordinaryBodies how many
		// of them must fit at the same time.
		ordinaryBytes, ordinaryBodies = 3 * 1200, 700
	)
	for _, m := range []struct {
		memoryMB     float64
		maxOpenFiles int
		callers      int
	}{
		{144, 3075, 432}, {184, 4100, 552}, {284, 4100, 852}, {424, 10250, 1272}, {536, 8192, 1608},
	} {
		s := &settings.Cell{MemoryMB: m.memoryMB, MaxOpenFiles: m.maxOpenFiles}
		limits := limitsFor(s.MaxOpenFiles, s.MemoryMB)
		if limits.callers != m.callers || callerLimit(s) != m.callers {
			t.Errorf("%v MB, %d files: %d connections of callers, want %d", m.memoryMB, m.maxOpenFiles, limits.callers, m.callers)
		}
		if sum := reservedFiles + limits.peers + limits.workers + limits.callers; sum > m.maxOpenFiles {
			t.Errorf("%d files: the limits add up to %d", m.maxOpenFiles, sum)
		}
		memory := int64(m.memoryMB * (1 << 20))
		waiting := min(limits.callers, connlimit.DefaultBacklog) // to be accepted
		buffers := int64(limits.callers+waiting) * connlimit.MaxUnreadBytes
		if sum := heapLimit(s) + buffers + programBytes; sum > memory {
			t.Errorf("%v MB: heap limit, receive buffers and program add up to %d bytes", m.memoryMB, sum)
		}
		bodies := bodybudget.New(bodybudget.Options{Bytes: bodyMemory(s), MaxBodyBytes: platform.MaxBodyBytes}).Stats().Limit
		if bodies > bodyMemory(s) || bodies < ordinaryBodies*ordinaryBytes {
			t.Errorf("%v MB: %d bytes for bodies of %d", m.memoryMB, bodies, bodyMemory(s))
		}
		if sum := bodyMemory(s) + peerCallMemory(s) + int64(limits.callers)*headerBytes + baseHeapBytes; sum > heapLimit(s) {
			t.Errorf("%v MB: bodies, calls of nodes, headers and the rest add up to %d bytes of a heap of %d", m.memoryMB, sum, heapLimit(s))
		}
	}
}

// Guards against settings that are read and not used.
func TestLimitsFollowTheSettings(t *testing.T) {
	s := &settings.Cell{MemoryMB: 256, MaxOpenFiles: 4096, BodyMemoryMB: 8, MaxCallerConnections: 100}
	if callerLimit(s) != 100 || bodyMemory(s) != 8<<20 {
		t.Errorf("%d connections, %d bytes for bodies", callerLimit(s), bodyMemory(s))
	}
	if l := limitsFor(0, 0); l != (connectionLimits{}) {
		t.Errorf("limits without a known machine: %+v", l)
	}
}
