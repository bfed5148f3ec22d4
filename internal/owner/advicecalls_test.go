package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
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

// Guards against a message of calls in flight that one malformed call makes of no use.
func TestCallsBesideAMalformedOneAreUsed(t *testing.T) {
	in := &api.AdviceCallsInFlight{Calls: []api.AdviceCallInFlight{
		{Step: "not a step", Node: "n", EndsInMs: 1000}, {Step: "0000000000000001.0.0", Node: "n", EndsInMs: 1000},
	}}
	calls, err := decodeCalls(in, 0)
	if err == nil || len(calls) != 1 || calls[0].Ends != time.Second {
		t.Errorf("%+v, %v", calls, err)
	}
	if calls, err := decodeCalls(&api.AdviceCallsInFlight{Calls: in.Calls[:1]}, 0); err == nil || len(calls) != 0 {
		t.Errorf("%+v, %v of malformed calls only", calls, err)
	}
}
