package requests

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

const testPartition = "desk-executors-0"

// testClock uses package time, which is fake within a synctest bubble.
type testClock struct{ start time.Time }

func newTestClock() testClock { return testClock{time.Now().Add(-time.Hour)} }

func (c testClock) Now() time.Time      { return time.Now() }
func (c testClock) Boot() time.Duration { return time.Since(c.start) }

// fakeExecutors are executors that follow the fencing protocol and count what
// runs.
type fakeExecutors struct {
	mu        sync.Mutex
	byVM      map[string]*fakeExecutor
	runs      map[string]int // by request ID
	order     []string       // request IDs in the order of their starts
	runTime   time.Duration
	countOnly bool // statuses contain only the number of requests
	// behave decides the result of a call before it runs; nil lets it run. ran
	// reports that the call counts as run although err is returned.
	behave func(vm string, in *api.ExecutorCall) (ran bool, err error)
	status int
	body   []byte
	// delayAfterLoss is how long a call whose answer was lost stays active.
	delayAfterLoss time.Duration
}

type fakeExecutor struct {
	epoch      int
	active     map[*api.ExecutorCall]bool
	peakActive int
	draining   bool
	down       bool
}

func newFakeExecutors() *fakeExecutors {
	return &fakeExecutors{byVM: map[string]*fakeExecutor{}, runs: map[string]int{}, status: 200, body: []byte("ok")}
}

func (f *fakeExecutors) executor(vm string) *fakeExecutor {
	e := f.byVM[vm]
	if e == nil {
		e = &fakeExecutor{active: map[*api.ExecutorCall]bool{}}
		f.byVM[vm] = e
	}
	return e
}

func (f *fakeExecutors) set(vm string, change func(*fakeExecutor)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.executor(vm))
}

func (f *fakeExecutors) setBehavior(behave func(string, *api.ExecutorCall) (bool, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave = behave
}

func (f *fakeExecutors) behavior() func(string, *api.ExecutorCall) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behave
}

func (f *fakeExecutors) Fence(_ context.Context, vm api.VM, _ string, token int64) (*api.ExecutorStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.executor(vm.Id)
	if e.down {
		return nil, errkind.New(errkind.UpstreamUnavailable, "", "refused")
	}
	if int(token) < e.epoch {
		return nil, errkind.New(errkind.Fenced, "", "epoch %d is below %d", token, e.epoch)
	}
	e.epoch = int(token)
	st := &api.ExecutorStatus{Vm: vm.Id, Epoch: e.epoch, Active: len(e.active), Draining: e.draining}
	for c := range e.active {
		if !f.countOnly {
			st.Requests = append(st.Requests, api.ActiveRequest{Team: c.Team, RequestId: c.RequestId})
		}
	}
	return st, nil
}

func (f *fakeExecutors) Execute(ctx context.Context, vm api.VM, in *api.ExecutorCall) (*api.ExecutorAnswer, error) {
	var ran bool
	var failure error
	if behave := f.behavior(); behave != nil {
		ran, failure = behave(vm.Id, in)
	}
	if err := f.begin(vm.Id, in, failure, ran); err != nil {
		return nil, err
	}
	if failure != nil {
		time.AfterFunc(f.delayAfterLoss, func() { f.finish(vm.Id, in) })
		return nil, failure
	}
	defer f.finish(vm.Id, in)
	select {
	case <-time.After(f.runTime):
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no answer")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &api.ExecutorAnswer{Status: f.status, ContentType: "text/plain", Body: append([]byte(in.RequestId+" "), f.body...)}, nil
}

func (f *fakeExecutors) begin(vm string, in *api.ExecutorCall, failure error, ran bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.executor(vm)
	switch {
	case e.down:
		return errkind.New(errkind.UpstreamUnavailable, "", "refused")
	case in.Epoch < e.epoch:
		return errkind.New(errkind.Fenced, "", "epoch %d is below %d", in.Epoch, e.epoch)
	case e.draining:
		return errkind.New(errkind.UpstreamUnavailable, "", "draining")
	case failure != nil && !ran:
		return failure
	}
	e.epoch = in.Epoch
	e.active[in] = true
	e.peakActive = max(e.peakActive, len(e.active))
	f.runs[in.RequestId]++
	f.order = append(f.order, in.RequestId)
	return nil
}

func (f *fakeExecutors) finish(vm string, in *api.ExecutorCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.executor(vm).active, in)
}

func (f *fakeExecutors) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fakeExecutors) activeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.byVM {
		n += len(e.active)
	}
	return n
}

// fakeLedger gives each team a fixed allotment.
type fakeLedger struct {
	mu     sync.Mutex
	slots  map[string]int
	wanted map[string]int
	used   map[string][]int // all reported values
}

func (l *fakeLedger) Allotment(team string) api.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n, ok := l.slots[team]; ok {
		return api.Resources{Slots: n}
	}
	return api.Resources{Slots: 1000}
}

func (l *fakeLedger) ReportDemand(team string, used, wanted api.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[team] = append(l.used[team], used.Slots)
	l.wanted[team] = wanted.Slots
}

// testCell is a cell in memory: a table, executors and the owners of one
// partition.
type testCell struct {
	t          testing.TB
	clock      testClock
	table      *standin.Table
	batcher    platform.Batcher // table by default
	objects    *standin.Objects
	executors  *fakeExecutors
	ledger     *fakeLedger
	fleet      []api.VM
	config     *api.Configuration
	maxQueued  int
	metrics    *Metrics
	epoch      int
	superseded chan api.PartitionLease
}

func newTestCell(t testing.TB, executors int) *testCell {
	cell := &testCell{
		t:          t,
		clock:      newTestClock(),
		table:      standin.NewTable(),
		objects:    standin.NewObjects(),
		executors:  newFakeExecutors(),
		ledger:     &fakeLedger{slots: map[string]int{}, wanted: map[string]int{}, used: map[string][]int{}},
		config:     testConfig(),
		superseded: make(chan api.PartitionLease, 10),
	}
	cell.batcher = cell.table
	for i := range executors {
		cell.fleet = append(cell.fleet, testVM(i))
	}
	return cell
}

func testVM(i int) api.VM {
	return api.VM{
		Id:              fmt.Sprintf("vm-%d", i),
		Pool:            "desk",
		State:           api.VMStateLive,
		Capacity:        api.Resources{Slots: 8},
		Connections:     64,
		ExecutorAddress: fmt.Sprintf("127.0.0.1:%d", 7000+i),
	}
}

func testConfig() *api.Configuration {
	limit := api.Resources{Slots: 1000}
	queue := func(name, team string, idempotent bool, u api.Urgency) api.Queue {
		return api.Queue{Name: name, Team: team, Pool: "desk", Class: api.ClassRequest, Idempotent: idempotent, Urgency: u, DeadlineMs: 30000}
	}
	return &api.Configuration{
		Teams: []api.Team{{Name: "gallery", Share: 3, Limit: limit}, {Name: "kiln", Share: 1, Limit: limit}, {Name: "none", Share: 1}},
		Queues: []api.Queue{
			queue("gallery.quote", "gallery", true, api.UrgencyNormal),
			queue("gallery.rush", "gallery", true, api.UrgencyUrgent),
			queue("gallery.charge", "gallery", false, api.UrgencyNormal),
			queue("kiln.watch", "kiln", true, api.UrgencyNormal),
			queue("none.work", "none", true, api.UrgencyNormal),
			{Name: "kiln.fire", Team: "kiln", Pool: "desk", Class: api.ClassBatch},
		},
	}
}

// startOwner starts an owner with the next epoch, as after a takeover.
func (c *testCell) startOwner() *Partition {
	p := New(Options{
		Partition:  testPartition,
		Executor:   c.executors,
		Table:      c.table,
		Batcher:    c.batcher,
		Objects:    c.objects,
		Ledger:     c.ledger,
		Clock:      c.clock,
		MaxQueued:  c.maxQueued,
		Metrics:    c.metrics,
		Superseded: func(l api.PartitionLease) { c.superseded <- l },
	})
	c.t.Cleanup(p.Close)
	p.SetConfig(c.config)
	p.SetFleet(c.fleet)
	p.Acquire(c.acquireLease())
	return p
}

// acquireLease writes the partition row and returns a lease with the next
// epoch.
func (c *testCell) acquireLease() api.PartitionLease {
	c.epoch++
	key := ownership.RowKey(testPartition)
	row, err := c.table.Get(c.t.Context(), key)
	if err != nil {
		c.t.Fatal(err)
	}
	version, err := c.table.Commit(c.t.Context(), []platform.Check{{Key: key, Version: row.Version}}, []platform.Write{{Key: key, Value: []byte{1}}})
	if err != nil {
		c.t.Fatal(err)
	}
	return api.PartitionLease{Partition: testPartition, Epoch: c.epoch, RowVersion: int(version)}
}

func request(queue, id, body string) *api.ExecuteRequest {
	team := queue[:len("gallery")]
	if queue[0] == 'k' || queue[0] == 'n' {
		team = queue[:4]
	}
	return &api.ExecuteRequest{Partition: testPartition, Team: team, Queue: queue, RequestId: id, Body: []byte(body), TimeoutMs: 30000}
}

// newID returns an ID of the current time. uuid.NewV7 never goes back in time,
// and the time of a synctest bubble is in the past.
func newID() string { return idAt(time.Now()) }

// idAt returns a UUID of version 7 with the given time.
func idAt(at time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

// asyncResponse is the response to a request that was made in a goroutine.
type asyncResponse struct {
	resp *api.ExecuteResponse
	err  error
	done chan struct{}
}

func executeAsync(ctx context.Context, p *Partition, req *api.ExecuteRequest) *asyncResponse {
	a := &asyncResponse{done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.resp, a.err = p.Execute(ctx, req)
	}()
	return a
}

func wantKind(t testing.TB, err error, kind errkind.Kind) {
	t.Helper()
	if err == nil || !errkind.Is(err, kind) {
		t.Fatalf("error is %v, want %s", err, kind)
	}
}
