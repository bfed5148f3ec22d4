package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
)

// deadlineWorkers records how long a start may take.
type deadlineWorkers struct {
	Workers
	allowed chan time.Duration
}

func (w deadlineWorkers) Start(ctx context.Context, _ *cell.Start) (cell.StartOutcome, int64) {
	deadline, _ := ctx.Deadline()
	w.allowed <- time.Until(deadline)
	return cell.StartUnanswered, 0
}

// Guards against an owner that runs late, closes the connections of its calls because it sees
// the answers after their timeout, and runs later still because it opens new ones.
func TestLateOwnerGivesItsCallsMoreTime(t *testing.T) {
	const commandTimeout = 150 * time.Millisecond
	for _, tt := range []struct{ lag, atLeast, atMost time.Duration }{
		{0, commandTimeout / 2, commandTimeout},
		{100 * time.Millisecond, commandTimeout + 300*time.Millisecond, commandTimeout + 400*time.Millisecond},
		{10 * time.Second, commandTimeout + maxLagAllowance/2, commandTimeout + maxLagAllowance},
	} {
		tenure := newTestTenure(memoryStore{})
		tenure.inbox = make(chan func(), 1)
		workers := deadlineWorkers{allowed: make(chan time.Duration, 1)}
		tenure.options.Workers = workers
		tenure.publishedLag.Store(int64(tt.lag))
		tenure.startTask(&cell.Start{Timeout: commandTimeout})
		if got := <-workers.allowed; got < tt.atLeast || got > tt.atMost {
			t.Errorf("lag %v: a start may take %v, want %v to %v", tt.lag, got, tt.atLeast, tt.atMost)
		}
	}
}

// overdueWorkers reports after which time the answer to a poll is overdue.
type overdueWorkers struct {
	Workers
	overdueAfter chan time.Duration
}

func (w overdueWorkers) Poll(_ context.Context, p *cell.Poll) (*cell.Report, error) {
	w.overdueAfter <- p.OverdueAfter
	return nil, context.DeadlineExceeded
}

// Guards against an owner that runs late, leaves the connections of its polls because it sees
// the answers late, and opens new ones.
func TestLateOwnerWaitsLongerForReports(t *testing.T) {
	overdueAfter := func(lag time.Duration) time.Duration {
		tenure := newTestTenure(memoryStore{})
		if !tenure.loadRecords() {
			t.Fatal("the records are not loaded")
		}
		tenure.inbox = make(chan func(), inboxSize)
		workers := overdueWorkers{overdueAfter: make(chan time.Duration, 1)}
		tenure.options.Workers = workers
		tenure.cell.SetWorkers([]cell.WorkerInfo{{WorkerRef: cell.WorkerRef{ID: "w1", IncarnationUnixMs: 1, Address: "w1"}}})
		tenure.publishedLag.Store(int64(lag))
		tenure.runPass()
		return <-workers.overdueAfter
	}
	const lag = 100 * time.Millisecond
	if more := overdueAfter(lag) - overdueAfter(0); more != timeoutLagFactor*lag {
		t.Errorf("with a lag of %v a poll has %v more, want %v", lag, more, timeoutLagFactor*lag)
	}
}
