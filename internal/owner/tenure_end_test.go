package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/rows"
)

// Guards against a tenure that never ends, so that its node takes part in no election any more,
// because the answer of a commit is queued when the tenure ends.
func TestTenureEndsWhileTheAnswerOfACommitIsQueued(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	tenure.ctx, tenure.cancel = ctx, cancel
	tenure.inbox, tenure.loaded = make(chan func(), inboxSize), make(chan struct{})
	close(tenure.loaded)
	tenure.currentTenure.Store(tenure.tenure)

	submitted := make(chan error, 1)
	go func() {
		_, err := tenure.Submit(t.Context(), &api.WorkSubmission{Work: testWork("0000000000000001").Work})
		submitted <- err
	}()
	tenure.handle(<-tenure.inbox)
	tenure.clock.Advance(100 * time.Millisecond)
	tenure.runPass()
	for began := time.Now(); len(tenure.inbox) == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the commit has not ended")
		}
	}
	cancel(errTenureEnded)
	if err := <-submitted; !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("the submission is answered with %v", err)
	}

	ended := make(chan struct{})
	go func() {
		tenure.failPendingCalls()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the tenure does not end")
	}
}

// lostLease is an ownership that is lost at the first commit.
type lostLease struct{ fastLease }

func (lostLease) Commit(context.Context, *rows.Tx) (rows.Timestamp, error) {
	return rows.Timestamp{}, election.ErrLost
}

// Guards against a work that is accepted although its record is not stored, because a pass
// follows the failure of the commit before the tenure ends.
func TestRepeatedSubmissionIsNotAcceptedAfterALostCommit(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	tenure.ctx, tenure.cancel = ctx, cancel
	tenure.inbox, tenure.lease = make(chan func(), inboxSize), lostLease{}
	submitted := testWork("0000000000000001").Work
	answers := map[string]error{}
	submit := func(name string) {
		tenure.cell.Submit(&submitted, func(_ bool, err error) { answers[name] = err })
	}
	submit("first")
	tenure.clock.Advance(100 * time.Millisecond)
	tenure.runPass()
	submit("repeated")
	tenure.handle(<-tenure.inbox)
	tenure.clock.Advance(100 * time.Millisecond)
	tenure.runPass()
	tenure.failPendingCalls()
	for _, name := range []string{"first", "repeated"} {
		if err, answered := answers[name]; !answered || !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("the %s submission is answered %v with %v", name, answered, err)
		}
	}
}
