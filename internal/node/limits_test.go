package node

import "testing"

// Guards against callers that take all descriptors of a process, and against a lower limit than
// the setting where there are enough.
func TestCallersLeaveDescriptorsForUpstreams(t *testing.T) {
	for _, tt := range []struct {
		setting  int
		maxFiles uint64
		want     int
	}{
		{8192, 20000, 8192}, {8192, 1024, 512}, {100, 1024, 100}, {8192, 0, 8192}, {8192, 1, 1}, {8192, 1<<64 - 1, 8192},
	} {
		if got := callerConnections(tt.setting, tt.maxFiles); got != tt.want {
			t.Errorf("setting %d, %d files: %d, want %d", tt.setting, tt.maxFiles, got, tt.want)
		}
	}
}
