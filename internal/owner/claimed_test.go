package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/work"
)

// pausingStore is a table service during whose reads time passes.
type pausingStore struct {
	memoryStore
	clock *clock.Fake
	pause time.Duration
}

func (s pausingStore) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	if table == tableWork {
		s.clock.Advance(s.pause)
	}
	return s.memoryStore.Range(ctx, table, part, from)
}

// stuckLease is an ownership whose commits are not answered.
type stuckLease struct {
	fastLease
	claimedAt time.Duration
}

func (l stuckLease) ClaimedAt() time.Duration { return l.claimedAt }

func (stuckLease) FirstToken() int { return 1 }

func (stuckLease) Commit(ctx context.Context, _ *rows.Tx) (rows.Timestamp, error) {
	<-ctx.Done()
	return rows.Timestamp{}, ctx.Err()
}

// oneWorker is a fleet of one worker, which runs a task that is not recorded, so that it is
// polled again. Its clock reads the boot time of the owner.
type oneWorker struct {
	Workers
	clock *clock.Fake
	polls chan cell.Poll
}

func (w oneWorker) Heartbeats() cell.Heartbeats { return cell.Heartbeats{} }

func (w oneWorker) Run(ctx context.Context, _ cell.Heartbeats, onChange func([]cell.WorkerInfo, []cell.WorkerRef)) {
	ref := cell.WorkerRef{ID: "w1", IncarnationUnixMs: 1, Address: "w1"}
	onChange([]cell.WorkerInfo{{WorkerRef: ref, Pool: testPool, Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000}}}, nil)
	<-ctx.Done()
}

func (w oneWorker) Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error) {
	select {
	case w.polls <- *p:
	case <-ctx.Done():
	}
	running := []cell.RunReport{{Task: "0000000000000009.0.0.0", Attempt: 1}}
	return &cell.Report{ClockMs: w.clock.Boot().Milliseconds(), IncarnationUnixMs: 1, Running: running}, nil
}

func (w oneWorker) Stop(context.Context, *cell.Stop) (int64, error) { return 0, nil }

// Guards against an owner that loads its records slowly, takes the end of the load for a commit,
// and grants leases which outlast what its successor reckons with.
func TestOwnerGrantsNoLeasesByTheEndOfItsLoad(t *testing.T) {
	c := clock.NewFake(time.Now())
	tenure := newTestTenure(pausingStore{memoryStore{}, c, 5 * time.Second})
	tenure.options.Clock = c
	claimedAt := c.Boot()
	tenure.lease = stuckLease{claimedAt: claimedAt}
	ctx, cancel := context.WithCancelCause(t.Context())
	tenure.ctx, tenure.cancel = ctx, cancel
	tenure.inbox, tenure.loaded = make(chan func(), inboxSize), make(chan struct{})
	workers := oneWorker{clock: c, polls: make(chan cell.Poll)}
	tenure.options.Workers, tenure.options.Fleet = workers, workers
	done := make(chan struct{})
	go func() {
		tenure.run()
		close(done)
	}()
	latest := (claimedAt + taskGrantLimit).Milliseconds()
	for range 3 {
		if p := <-workers.polls; p.LeaseUntil > latest {
			t.Errorf("a lease ends %d ms later than those of an owner without a commit since its claim may", p.LeaseUntil-latest)
		}
		c.Advance(50 * time.Millisecond)
	}
	cancel(nil)
	<-done
	tenure.calls.Wait()
}
