package owner

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/work"
)

const (
	testQueue = "quotes"
	testTeam  = "team"
	testPool  = "desk"

	testAdvisedQueue = "advised"
)

// memoryStore is a table service that only returns rows.
type memoryStore map[string][]rows.Row // by table

func (s memoryStore) Commit(context.Context, *rows.Tx) (rows.Timestamp, error) {
	return rows.Timestamp{}, rows.ErrUnavailable
}

func (s memoryStore) Range(_ context.Context, table, _, _ string) (rows.Page, error) {
	return rows.Page{Rows: s[table]}, nil
}

func (s memoryStore) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrUnavailable
}

func (s memoryStore) put(t *testing.T, table, key string, value msgp.Marshaler) {
	t.Helper()
	data, err := value.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	s[table] = append(s[table], newRow(table, key, data))
}

// testTenure is a tenure whose passes and calls the test makes itself.
type testTenure struct {
	*tenure
	clock *clock.Fake
	logs  *bytes.Buffer
}

func newTestTenure(store rows.Store) *testTenure {
	c := clock.NewFake(time.Now())
	logs := &bytes.Buffer{}
	config := &work.Config{
		Version: 1,
		Queues: map[string]*work.Queue{
			testQueue:        {Name: testQueue, Pool: testPool, MaxAttempts: 3},
			testAdvisedQueue: {Name: testAdvisedQueue, Pool: testPool, MaxAttempts: 3, Advice: &work.Advice{CallDuration: 500 * time.Millisecond, ValidFor: 1500 * time.Millisecond}},
		},
		Teams: map[string]*work.Team{testTeam: {Name: testTeam, Limit: work.Resources{CPUMillis: 1 << 20, MemoryMB: 1 << 20}}},
		Pools: map[string]*work.Pool{testPool: {Name: testPool}},
	}
	o := New(Options{
		Settings: &settings.Cell{MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 1.5},
		Store:    store, Config: func() *work.Config { return config }, Clock: c, Logger: log.NewLogfmtLogger(logs),
		Fleet: recordedFleet{},
	})
	return &testTenure{&tenure{Owner: o, lease: fastLease{}, epoch: 7 << 20, ctx: context.Background()}, c, logs}
}

// pass runs a pass of the core and returns its calls.
func (t *testTenure) pass(d time.Duration) cell.Effects {
	t.clock.Advance(d)
	t.advanceClock()
	t.cell.Schedule()
	if b := t.cell.TakeBatch(); b != nil {
		t.commit(b)
	}
	return t.cell.DrainEffects()
}

// commit commits a batch.
func (t *testTenure) commit(b *cell.Batch) {
	tx, err := buildTx(b)
	if err == nil {
		err = t.addLeaseEnds(tx, b)
	}
	if err == nil {
		_, err = t.lease.Commit(t.ctx, tx)
	}
	if err != nil {
		panic(err)
	}
	t.leaseEndsCommitted(b)
	t.cell.Committed(b)
}

// answerPolls answers the polls of workers on which nothing runs.
func (t *testTenure) answerPolls(e cell.Effects) {
	for _, p := range e.Polls {
		t.cell.ReportReceived(p.Worker, p.Seq, &cell.Report{ClockMs: t.clock.Boot().Milliseconds(), IncarnationUnixMs: p.Worker.IncarnationUnixMs})
	}
}

func testWork(id string) *api.WorkRow {
	return &api.WorkRow{
		AcceptedUnixMs: int(time.Now().UnixMilli()),
		Work: api.WorkSpec{Id: id, Queue: testQueue, Team: testTeam, Steps: []api.StepSpec{
			{Count: 1, Size: api.Resources{CpuMillis: 1000, MemoryMb: 100}, EstimateMs: 500},
		}},
	}
}

// Guards against an accepted work that vanishes at a takeover because its progress can't
// be read.
func TestTakeoverKeepsWorksWithoutProgress(t *testing.T) {
	store := memoryStore{}
	store.put(t, tableWork, "0000000000000001", testWork("0000000000000001"))
	store.put(t, tableWork, "0000000000000002", testWork("0000000000000002"))
	store[tableProgress] = []rows.Row{newRow(tableProgress, "0000000000000002", []byte{0xc1})}
	tenure := newTestTenure(store)
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		state, err := tenure.cell.State(&api.WorkRef{Id: id, Queue: testQueue, Team: testTeam})
		if err != nil || state != api.WorkStateQueued && state != api.WorkStateRunning {
			t.Errorf("work %s: %q, %v", id, state, err)
		}
	}
	if bytes.Contains(tenure.logs.Bytes(), []byte("err=null")) {
		t.Errorf("the log has no error:\n%s", tenure.logs)
	}
}

// Guards against two runs of a task at the same time, and against a start with an attempt
// number that a worker already knows, after the progress of a work was lost.
func TestTaskOfUnknownProgressWaitsForEarlierRuns(t *testing.T) {
	store := memoryStore{}
	store.put(t, tableWork, "0000000000000001", testWork("0000000000000001"))
	tenure := newTestTenure(store)
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	tenure.cell.SetWorkers([]cell.WorkerInfo{{
		WorkerRef: cell.WorkerRef{ID: "w1", IncarnationUnixMs: 1, Address: "w1"}, Pool: testPool,
		Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000},
	}})
	const earlierAttempt = 41 // on a worker that no longer answers
	began := tenure.clock.Boot()
	leasesEnd := earlierReleaseRenewal + cell.LeaseBound(preferredTaskLease)
	for tenure.clock.Boot()-began < 2*leasesEnd {
		e := tenure.pass(100 * time.Millisecond)
		if len(e.Starts) == 0 {
			tenure.answerPolls(e)
			continue
		}
		if after := tenure.clock.Boot() - began; after < leasesEnd {
			t.Errorf("started after %v; a run of an earlier owner may last for %v", after, leasesEnd)
		}
		if e.Starts[0].Attempt <= earlierAttempt {
			t.Errorf("attempt %d after attempt %d", e.Starts[0].Attempt, earlierAttempt)
		}
		return
	}
	t.Error("the task is not started")
}

// slowPages is a table service whose table of finished works has many pages.
type slowPages struct {
	memoryStore
	pages int
	delay time.Duration
}

func (s slowPages) Range(ctx context.Context, table, _, from string) (rows.Page, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return rows.Page{}, ctx.Err()
	}
	if table != tableFinished {
		return rows.Page{}, nil
	}
	row := newRow(tableFinished, from+"1", nil)
	return rows.Page{Rows: []rows.Row{row}, Truncated: len(from) < s.pages}, nil
}

// Guards against a cell with so many finished works that no owner ever loads them, because
// the time limit was for all pages.
func TestRecordsOfALargeCellAreLoaded(t *testing.T) {
	const pages = 30
	store := slowPages{memoryStore{}, pages, 2 * loadPageTimeout / pages}
	if !newTestTenure(store).loadRecords() {
		t.Error("the records are not loaded")
	}
}
