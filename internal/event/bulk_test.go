package event

import (
	"testing"

	"github.com/go-kit/log"
)

// Guards against bulk lines that are not recognized behind the context of a logger.
func TestBulkEventsAreRecognized(t *testing.T) {
	for _, test := range []struct {
		event Event
		bulk  bool
	}{{TasksPlaced, true}, {RunFailed, true}, {CellClaimed, false}, {LongRunningStepWaits, false}} {
		var bulk bool
		logger := log.With(log.LoggerFunc(func(keyvals ...any) error {
			bulk = IsBulk(keyvals)
			return nil
		}), "time", "now", "node", "n0")
		test.event.Log(logger, "work", "w1")
		if bulk != test.bulk {
			t.Errorf("event %d: bulk is %v, want %v", test.event.Number, bulk, test.bulk)
		}
	}
	if IsBulk([]any{"msg", "without an event"}) {
		t.Error("a line without an event counts as bulk")
	}
}
