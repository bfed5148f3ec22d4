package owner

import (
	"context"
	"testing"
	"time"
)

// Guards against a valid work that is refused as one that can't be stored, because the table
// service has rejected the row of the learned run times in the same commit.
func TestRejectedRunTimesRefuseNoWork(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	tenure.ctx, tenure.cancel = ctx, cancel
	tenure.inbox = make(chan func(), inboxSize)
	tenure.lease = rejectingLease{key: keyRunTimes}
	learn(tenure.cell.RunTimes(), tenure.clock.Boot())
	answered := false
	tenure.cell.Submit(&testWork("0000000000000001").Work, func(_ bool, err error) {
		answered = true
		if err != nil {
			t.Errorf("the work is refused: %v", err)
		}
	})
	for range 20 {
		tenure.clock.Advance(100 * time.Millisecond)
		tenure.runPass()
		if !tenure.commitInFlight {
			continue
		}
		select {
		case f := <-tenure.inbox:
			tenure.handle(f)
		case <-time.After(5 * time.Second):
			t.Fatal("the commit has not ended")
		}
	}
	if !answered || !tenure.savedRunTimes.disabled {
		t.Errorf("answered %v, further writes of the run times stopped %v", answered, tenure.savedRunTimes.disabled)
	}
}
