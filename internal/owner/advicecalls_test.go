package owner

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an owner that repeats the calls to the adviser that the owner before has in flight,
// which makes the adviser slower with each owner of a series.
func TestNextOwnerAwaitsTheCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTenureSeries(t)
		s.released = true
		defer time.Sleep(time.Minute) // the calls of all owners end
		s.runTenure("n0", 1<<20, 600*time.Millisecond, -1)
		s.runTenure("n1", 2<<20, 900*time.Millisecond, -1)
		if calls := s.advised.Load(); calls != 1 {
			t.Errorf("%d calls to the adviser, want 1", calls)
		}
		if len(s.started) == 0 {
			t.Error("the task is not started after the answer")
		}
	})
}
