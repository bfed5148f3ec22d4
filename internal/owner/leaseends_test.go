package owner

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/work"
)

// storeAhead is how far the clock of the table service is ahead in these tests.
const storeAhead = 1000 * time.Hour

// clockedLease is an ownership that knows the clock of the table service. It stores the rows of
// its release, and the row of lease ends of its commits.
type clockedLease struct {
	fastLease
	leaseEndsEpoch int
	store          memoryStore
}

func (l clockedLease) LeaseEndsEpoch() int { return l.leaseEndsEpoch }

func (l clockedLease) MaxStoreClockAt(boot time.Duration) int {
	return int((boot + storeAhead).Milliseconds())
}

func (l clockedLease) WhenStoreClockReaches(readingMs int) (time.Duration, bool) {
	return time.Duration(readingMs)*time.Millisecond - storeAhead, true
}

func (l clockedLease) Commit(_ context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	for _, r := range tx.Put {
		if r.Table == tableLeaseEnds {
			l.store[r.Table] = []rows.Row{r}
		}
	}
	return rows.Timestamp{}, nil
}

func (l clockedLease) Release(_ context.Context, _ string, put ...rows.Row) error {
	for _, r := range put {
		l.store[r.Table] = []rows.Row{r}
	}
	return nil
}

const leaseEndsWork = "0000000000000001"

// newLostWorkerStore returns a store with a task that runs on the worker w1.
func newLostWorkerStore(t *testing.T) memoryStore {
	store := memoryStore{}
	stored := testWork(leaseEndsWork)
	stored.Work.Steps[0].LongRunning = true
	store.put(t, tableWork, leaseEndsWork, stored)
	store.put(t, tableProgress, leaseEndsWork, &api.ProgressRow{
		State: api.WorkStateRunning, Team: testTeam, Queue: testQueue,
		Tasks: []api.TaskProgress{{Phase: api.TaskPhasePlaced, Attempt: 1, Worker: "w1", BornUnixMs: 1}},
	})
	return store
}

// loadAfter loads a tenure for which the row of lease ends of an epoch holds, 0 for none. The clocks
// of all tenures are one, and it reads later by the given time.
func loadAfter(t *testing.T, store memoryStore, leaseEndsEpoch int, later time.Duration) *testTenure {
	t.Helper()
	tenure := newTestTenure(store)
	tenure.clock.Advance(later)
	tenure.epoch = leaseEndsEpoch + 7<<20
	tenure.lease = clockedLease{leaseEndsEpoch: leaseEndsEpoch, store: store}
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	var list []cell.WorkerInfo
	for _, id := range []string{"w1", "w2"} {
		list = append(list, cell.WorkerInfo{
			WorkerRef: cell.WorkerRef{ID: id, IncarnationUnixMs: 1, Address: id}, Pool: testPool, Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000},
		})
	}
	tenure.cell.SetWorkers(list)
	return tenure
}

// runsTask runs passes for d, or until a task is started, and reports whether one is. The worker
// w1 does not answer.
func (t *testTenure) runsTask(d time.Duration) bool {
	for end := t.clock.Boot() + d; t.clock.Boot() < end; {
		e := t.pass(50 * time.Millisecond)
		if len(e.Starts) > 0 {
			return true
		}
		for _, p := range e.Polls {
			if p.Worker.ID == "w1" {
				t.cell.PollFailed(p.Worker, p.Seq, cell.PollUnanswered)
			} else {
				t.answerPolls(cell.Effects{Polls: []cell.Poll{p}})
			}
		}
	}
	return false
}

// Guards against owners that release the cell to each other and each wait anew for the leases
// which the one before may have granted, and against one that relies on a record which is not
// of the owner that it follows, or can't be read.
func TestReleaseRecordsTheEndOfLeases(t *testing.T) {
	const served = 2 * time.Second
	store := newLostWorkerStore(t)
	first := loadAfter(t, store, 0, 0)
	leasesEnd := earlierReleaseRenewal + cell.LeaseBound(preferredTaskLease)
	if first.runsTask(served) {
		t.Fatal("the task is started while its worker may hold a lease")
	}
	first.release()
	record := store[tableLeaseEnds]
	if len(record) != 1 {
		t.Fatalf("%d rows are recorded", len(record))
	}
	unreadable := newRow(tableLeaseEnds, keyLeaseEnds, []byte{0xc1})
	for _, tt := range []struct {
		name           string
		row            []rows.Row
		leaseEndsEpoch int
		waits          time.Duration
		logged         bool
	}{
		{"released", record, first.epoch, leasesEnd - served, false},
		{"record of an earlier owner", record, first.epoch + 1<<20, leasesEnd, false},
		{"no row holds", record, 0, leasesEnd, false},
		{"no record", nil, first.epoch, leasesEnd, false},
		{"unreadable", []rows.Row{unreadable}, first.epoch, leasesEnd, true},
		{"other key", []rows.Row{newRow(tableLeaseEnds, "other", []byte{0xc1})}, first.epoch, leasesEnd, false},
	} {
		store[tableLeaseEnds] = tt.row
		next := loadAfter(t, store, tt.leaseEndsEpoch, served)
		began := next.clock.Boot()
		if !next.runsTask(2 * leasesEnd) {
			t.Errorf("%s: the task is not started", tt.name)
		}
		if waited := next.clock.Boot() - began; waited < tt.waits || waited > tt.waits+500*time.Millisecond {
			t.Errorf("%s: started after %v, want %v", tt.name, waited, tt.waits)
		}
		if logged := strings.Contains(next.logs.String(), "event=7031 "); logged != tt.logged {
			t.Errorf("%s: event 7031 is logged: %t", tt.name, logged)
		}
	}
}

// Guards against owners that are killed or replaced one after the other and each wait anew for the
// leases which the one before may have granted, and against a row that is written without need.
func TestLeaseEndsAreRecordedWhileTheOwnerGoesOn(t *testing.T) {
	const served, ownerless = 3 * time.Second, time.Second
	store := newLostWorkerStore(t)
	first := loadAfter(t, store, 0, 0)
	leasesEnd := earlierReleaseRenewal + cell.LeaseBound(preferredTaskLease)
	writes := &countedWrites{clockedLease: first.lease.(clockedLease)}
	first.lease = writes
	if first.runsTask(900 * time.Millisecond); writes.count != 0 {
		t.Errorf("%d writes after a short interruption", writes.count)
	}
	if first.runsTask(served - 900*time.Millisecond); writes.count != 1 {
		t.Errorf("%d writes for one lost worker", writes.count)
	}
	if row := storedLeaseEnds(t, store); row.Epoch != first.epoch || len(row.Workers) != 1 || row.Workers[0].Worker != "w1" {
		t.Errorf("recorded %+v", row)
	}
	second := loadAfter(t, store, first.epoch, served+ownerless)
	began := second.clock.Boot()
	if !second.runsTask(2 * leasesEnd) {
		t.Fatal("the task is not started")
	}
	want := leasesEnd - served - ownerless
	if waited := second.clock.Boot() - began; waited < want || waited > want+500*time.Millisecond {
		t.Errorf("started after %v, want %v", waited, want)
	}
}

// countedWrites counts the commits that write the row of lease ends.
type countedWrites struct {
	clockedLease
	count int
}

func (l *countedWrites) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	if slices.ContainsFunc(tx.Put, func(r rows.Row) bool { return r.Table == tableLeaseEnds }) {
		l.count++
	}
	return l.clockedLease.Commit(ctx, tx)
}

// Guards against an owner that grants leases to workers whose ends may be recorded in a row that it
// can't read, and on which the next owner relies.
func TestRowThatCannotBeReadIsReplacedBeforeLeasesAreGranted(t *testing.T) {
	store := newLostWorkerStore(t)
	store[tableLeaseEnds] = []rows.Row{newRow(tableLeaseEnds, keyLeaseEnds, []byte{0xc1})}
	tenure := loadAfter(t, store, 1<<20, 0)
	for range 5 {
		e := tenure.pass(50 * time.Millisecond)
		if replaced := string(store[tableLeaseEnds][0].Value) != "\xc1"; !replaced {
			t.Fatal("the row is not replaced by the first commit")
		}
		tenure.answerPolls(e)
	}
	if row := storedLeaseEnds(t, store); row.Epoch != tenure.epoch || len(row.Workers) != 0 {
		t.Errorf("recorded %+v", row)
	}
}

// gapLease is the ownership after some time without an owner.
type gapLease struct {
	clockedLease
	gap time.Duration
}

func (l gapLease) PriorCommitAge() (time.Duration, bool) { return l.gap, true }

// Guards against a task that is started again, because its worker had no time to report its end
// after a long time without an owner.
func TestRecordedLeaseEndsLeaveTimeForFirstContactAfterAGap(t *testing.T) {
	incarnation := cell.Incarnation{Worker: "w1", StartUnixMs: 1}
	for _, tt := range []struct{ gap, want time.Duration }{
		{time.Second, 0}, {maxReleaseGap + time.Millisecond, firstContactGrace}, {20 * time.Second, firstContactGrace},
	} {
		tenure := newTestTenure(memoryStore{})
		began := tenure.clock.Boot()
		tenure.lease = gapLease{gap: tt.gap}
		tenure.recordedReadings = map[cell.Incarnation]int{incarnation: tenure.lease.MaxStoreClockAt(began - time.Second)}
		if got := tenure.recordedLeaseEnds(began)[incarnation] - began; got != tt.want {
			t.Errorf("after %v without an owner: the ends count %v after the load began, want %v", tt.gap, got, tt.want)
		}
	}
}

// release releases the cell.
func (t *testTenure) release() {
	t.options.Successors = func() []string { return nil }
	t.ctx, t.cancel = context.WithCancelCause(context.Background())
	t.releaseOwnership()
	t.calls.Wait()
}

// Guards against an end of leases that moves on with each owner which passes it on, because each
// conversion between the clocks adds to it.
func TestRecordedLeaseEndIsPassedOnAsItIs(t *testing.T) {
	store := newLostWorkerStore(t)
	first := loadAfter(t, store, 0, 0)
	store[tableLeaseEnds] = first.leaseEndsAtRelease()
	second := loadAfter(t, store, first.epoch, time.Second)
	second.lease = slowClockLease{second.lease.(clockedLease)}
	if second.runsTask(time.Second) {
		t.Fatal("the task is started while its worker may hold a lease")
	}
	row, err := second.leaseEndsRow(second.readingsOf(second.cell.LeaseEnds()))
	if err != nil {
		t.Fatal(err)
	}
	before, after := storedLeaseEnds(t, store), decodedLeaseEnds(t, row)
	if len(before.Workers) != 1 || len(after.Workers) != 1 || after.Workers[0] != before.Workers[0] {
		t.Errorf("recorded %+v, then %+v", before.Workers, after.Workers)
	}
	if after.Epoch != second.epoch {
		t.Errorf("epoch %d, want %d", after.Epoch, second.epoch)
	}
}

// storedLeaseEnds returns the stored row.
func storedLeaseEnds(t *testing.T, store memoryStore) api.LeaseEndsRow {
	t.Helper()
	if n := len(store[tableLeaseEnds]); n != 1 {
		t.Fatalf("%d rows are recorded", n)
	}
	return decodedLeaseEnds(t, store[tableLeaseEnds][0])
}

func decodedLeaseEnds(t *testing.T, r rows.Row) api.LeaseEndsRow {
	t.Helper()
	var row api.LeaseEndsRow
	if _, err := row.UnmarshalMsg(r.Value); err != nil {
		t.Fatal(err)
	}
	return row
}

// slowClockLease converts each time to a later reading.
type slowClockLease struct{ clockedLease }

func (l slowClockLease) MaxStoreClockAt(boot time.Duration) int {
	return l.clockedLease.MaxStoreClockAt(boot) + 1000
}

// Guards against an end of leases recorded as passed without a reading of the clock of the table service.
func TestNoLeaseEndIsRecordedWithoutAClock(t *testing.T) {
	tenure := loadAfter(t, newLostWorkerStore(t), 0, 0)
	tenure.lease = fastLease{}
	if list := tenure.leaseEndsAtRelease(); len(list) != 0 {
		t.Errorf("%d rows are recorded", len(list))
	}
}

// countedCalls counts the polls and starts that are made.
type countedCalls struct {
	Workers
	made chan string
}

func (w countedCalls) Poll(_ context.Context, p *cell.Poll) (*cell.Report, error) {
	w.made <- p.Worker.ID
	return nil, context.Canceled
}

func (w countedCalls) Start(_ context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	w.made <- s.Worker.ID
	return cell.StartUnanswered, 0
}

// Guards against a lease that is granted after the ends of all leases were recorded.
func TestNoLeaseIsGrantedAfterTheRelease(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	workers := countedCalls{made: make(chan string, 10)}
	tenure.options.Workers = workers
	tenure.releasing = true
	ref := cell.WorkerRef{ID: "w1"}
	tenure.dispatch(cell.Effects{Polls: []cell.Poll{{Worker: ref}}, Starts: []cell.Start{{Worker: ref}}})
	tenure.calls.Wait()
	if n := len(workers.made); n > 0 {
		t.Errorf("%d calls after the release", n)
	}
}
