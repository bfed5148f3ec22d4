package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/errkind"
)

// serve runs the calls of the tenure on a control goroutine until the test ends.
func (t *testTenure) serve(test *testing.T) {
	ctx, cancel := context.WithCancelCause(test.Context())
	t.ctx, t.cancel = ctx, cancel
	t.inbox = make(chan func(), inboxSize)
	t.loaded = make(chan struct{})
	close(t.loaded)
	t.currentTenure.Store(t.tenure)
	go func() {
		for {
			select {
			case f := <-t.inbox:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// commitEnded ends a commit that was sent at a boot time.
func (t *testTenure) commitEnded(sent time.Duration) {
	t.enqueue(func() { t.finishCommit(&cell.Batch{}, sent, nil) })
}

// Guards against a node that lost the cell without knowing it and answers that a work does
// not exist which its successor has accepted.
func TestUnknownWorkIsReportedOnlyByTheOwner(t *testing.T) {
	ref := &api.WorkRef{Id: "0000000000000001", Queue: testQueue, Team: testTeam}
	for name, call := range map[string]func(*testTenure) error{
		"state":  func(o *testTenure) error { _, err := o.State(t.Context(), ref); return err },
		"cancel": func(o *testTenure) error { return o.Cancel(t.Context(), ref) },
	} {
		for want, end := range map[errkind.Kind]func(*testTenure){
			errkind.NotFound:         func(o *testTenure) { o.commitEnded(o.clock.Boot()) },
			errkind.OwnerUnavailable: func(o *testTenure) { o.cancel(errTenureEnded) },
		} {
			owner := newTestTenure(memoryStore{})
			if !owner.loadRecords() {
				t.Fatal("the records are not loaded")
			}
			owner.serve(t)
			answer := make(chan error, 1)
			go func() { answer <- call(owner) }()
			time.Sleep(20 * time.Millisecond)
			owner.commitEnded(owner.clock.Boot() - time.Millisecond) // sent before the call
			select {
			case err := <-answer:
				t.Fatalf("%s: answered without a later commit: %v", name, err)
			case <-time.After(20 * time.Millisecond):
			}
			end(owner)
			if err := <-answer; !errkind.Is(err, want) {
				t.Errorf("%s: %v, want %s", name, err, want)
			}
			owner.cancel(errTenureEnded)
		}
	}
}
