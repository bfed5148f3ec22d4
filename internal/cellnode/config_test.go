package cellnode

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/entry"
	"github.com/endivehill/endivehill/internal/settings"
)

// Guards against an owner whose long polls of the operator's table are longer than its copy of the
// requests for evacuation may be old, so that it starts nothing although the store answers.
func TestPollsKeepTheRequestsForEvacuationCurrent(t *testing.T) {
	for _, evacuateTime := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		n := New(Options{Settings: settings.Cell{Node: "n", MemoryMB: 4096, EvacuateTime: evacuateTime}, Logger: log.NewNopLogger(), Clock: clock.System{}})
		if !n.election.IsOwnerOrStandby() {
			t.Fatal("a node that knows no standbys does not count as one")
		}
		// While a poll is in progress, the copy is as old as the one before.
		if wait, maxAge := n.configPollWait(), entry.MaxEvacuationsAge(evacuateTime); 2*wait >= maxAge {
			t.Errorf("evacuate time %v: polls of %v for a copy that may be %v old", evacuateTime, wait, maxAge)
		}
	}
}
