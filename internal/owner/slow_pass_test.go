package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/work"
)

// fastLease applies each commit at once.
type fastLease struct{}

func (fastLease) Commit(context.Context, *rows.Tx) (rows.Timestamp, error) {
	return rows.Timestamp{}, nil
}

func (fastLease) Release(context.Context, string, ...rows.Row) error { return nil }

func (fastLease) ReleaseUnused(context.Context) error { return nil }

func (fastLease) LeaseEndsEpoch() int { return 0 }

func (fastLease) MaxStoreClockAt(time.Duration) int { return 0 }

func (fastLease) WhenStoreClockReaches(int) (time.Duration, bool) { return 0, false }

func (fastLease) MinStoreClockAt(time.Duration) int { return 0 }

func (fastLease) BootBeforeStoreClock(int) (time.Duration, bool) { return 0, false }

func (fastLease) ClaimedAt() time.Duration { return 0 }

func (fastLease) FirstToken() int { return 1 }

func (fastLease) PriorOwnerLost() bool { return true }

func (fastLease) PriorCommitAge() (time.Duration, bool) { return 0, false }

// startedWorkers reports the starts that are sent to it.
type startedWorkers struct {
	Workers
	started chan string
}

func (w startedWorkers) Start(_ context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	w.started <- s.Task.String()
	return cell.StartAccepted, 1
}

// Guards against a recorded task that waits for the end of a slow pass to be started.
func TestRecordedStartDoesNotWaitForAPass(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	tenure.inbox = make(chan func(), inboxSize)
	tenure.lease = fastLease{}
	workers := startedWorkers{started: make(chan string, 1)}
	tenure.options.Workers = workers
	tenure.cell.SetWorkers([]cell.WorkerInfo{{
		WorkerRef: cell.WorkerRef{ID: "w1", IncarnationUnixMs: 1, Address: "w1"}, Pool: testPool,
		Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000},
	}})
	tenure.answerPolls(tenure.pass(time.Second))
	row := testWork("0000000000000001")
	tenure.cell.Submit(&row.Work, func(bool, error) {})
	tenure.clock.Advance(time.Second)
	tenure.advanceClock()
	tenure.cell.Schedule() // places the task
	tenure.cell.DrainEffects()
	tenure.startCommit(tenure.clock.Boot())
	for {
		select {
		case f := <-tenure.inbox: // the commit has ended
			tenure.handle(f)
		case <-workers.started:
			return
		case <-time.After(5 * time.Second):
			t.Fatal("the task was not started without a further pass")
		}
	}
}

// Guards against passes that take so much of a short processor that answers and pings are
// handled late, and more work waits for the next pass.
func TestPassesOfALateNodeTakeLessOfTheTime(t *testing.T) {
	for _, test := range []struct {
		lag   time.Duration
		share float64
	}{{0, 0.26}, {lagWarningThreshold, 0.13}, {time.Second, 0.09}} {
		for _, duration := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 12 * time.Millisecond} {
			tenure := &tenure{passDuration: duration, lag: test.lag}
			if got := float64(duration) / float64(tenure.passSpacing()); got > test.share {
				t.Errorf("lag %v: passes of %v take %.2f of the time, want at most %.2f", test.lag, duration, got, test.share)
			}
		}
	}
	if spacing := (&tenure{passDuration: time.Second, lag: time.Second}).passSpacing(); spacing > 150*time.Millisecond {
		t.Errorf("passes of 1 s are %v apart, a start may wait for two of them", spacing)
	}
}
