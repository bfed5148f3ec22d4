package cellnode

import "testing"

// Guards against limits that a deployment of this size passes: two connections of each other
// node, and one to each worker at the least.
func TestLimitsHoldForLargeDeployments(t *testing.T) {
	for _, tt := range []struct{ maxOpenFiles, nodes, workers int }{
		{4100, 300, 1600},
		{8192, 800, 3300},
		{100, 20, 48},
	} {
		l := limitsFor(tt.maxOpenFiles)
		if l.peers < 2*(tt.nodes-1) || l.workers < tt.workers {
			t.Errorf("%d open files: %+v for %d nodes and %d workers", tt.maxOpenFiles, l, tt.nodes, tt.workers)
		}
	}
}
