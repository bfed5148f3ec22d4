package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
)

// firstTryUnanswered answers only later tries of a start.
type firstTryUnanswered struct {
	Workers
	sent, ended chan struct{} // of the first try
}

func (w firstTryUnanswered) Start(ctx context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	if s.Try > 0 {
		return cell.StartAccepted, 1
	}
	close(w.sent)
	<-ctx.Done()
	close(w.ended)
	return cell.StartUnanswered, 0
}

// Guards against a try of an answered start that waits for a connection, reaches the next
// incarnation of the worker, and runs a task again that has ended.
func TestAnsweredStartEndsItsOtherTries(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	tenure.inbox = make(chan func(), 2)
	workers := firstTryUnanswered{sent: make(chan struct{}), ended: make(chan struct{})}
	tenure.options.Workers = workers
	const timeout = 10 * time.Second
	began := time.Now()
	go tenure.startTask(&cell.Start{Timeout: timeout})
	<-workers.sent
	tenure.startTask(&cell.Start{Timeout: timeout, Try: 1})
	<-workers.ended
	if took := time.Since(began); took > timeout/2 {
		t.Errorf("the first try ended after %v", took)
	}
}
