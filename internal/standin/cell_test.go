package standin_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func configuration() *api.Configuration {
	capacity := api.Resources{CpuMillis: 16000, MemoryMb: 65536, Slots: 2}
	return &api.Configuration{Pools: []api.Pool{{
		Name: "desk", Connections: 64, VmCapacity: capacity,
		Racks: []api.Rack{{Name: "r1", FailureDomain: "a", Vms: 2}, {Name: "r2", FailureDomain: "b", Vms: 1}},
	}}}
}

// fixture is a cell with clients for its services.
type fixture struct {
	*standin.Cell
	vms      []api.VM
	objects  *platform.ObjectClient
	list     *platform.VMClient
	worker   *platform.WorkerClient
	executor *platform.ExecutorClient
}

func newFixture(t *testing.T, o standin.CellOptions) *fixture {
	t.Helper()
	cell, err := standin.NewCell(configuration(), o)
	if err != nil {
		t.Fatal(err)
	}
	options := platform.Options{Address: cell.PlatformAddress}
	f := &fixture{
		Cell:     cell,
		objects:  platform.NewObjectClient(options),
		list:     platform.NewVMClient(options),
		worker:   platform.NewWorkerClient(platform.UpstreamOptions{}),
		executor: platform.NewExecutorClient(platform.UpstreamOptions{}),
	}
	t.Cleanup(func() {
		cell.Close()
		f.objects.Close()
		f.list.Close()
		f.worker.CloseIdleConnections()
		f.executor.CloseIdleConnections()
	})
	f.vms = f.listed(t)
	return f
}

func (f *fixture) listed(t *testing.T) []api.VM {
	t.Helper()
	vms, err := f.list.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return vms
}

// waitFor polls until done is true, for at most 10 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition did not come true in 10 s")
		}
	}
}

// Guards against object keys or contents that change in transit, and against an
// outage that is reported as a missing object.
func TestObjects(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, standin.CellOptions{})
	const key = "answers/gallery/r 1%2F?x"
	if err := f.objects.Put(ctx, key, []byte{0, 1}); err != nil {
		t.Fatal(err)
	}
	if got, err := f.objects.Get(ctx, key); err != nil || string(got) != "\x00\x01" {
		t.Fatalf("got %q, %v", got, err)
	}
	if err := f.objects.Delete(ctx, key); err != nil {
		t.Fatal(err)
	}
	if _, err := f.objects.Get(ctx, key); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("deleted object: %v, want ErrNotFound", err)
	}
	f.Objects.SetFaults(standin.Faults{LoseAnswers: true})
	if err := f.objects.Put(ctx, key, nil); !errors.Is(err, platform.ErrAmbiguous) {
		t.Errorf("lost answer: %v, want ErrAmbiguous", err)
	}
	f.Objects.SetFaults(standin.Faults{Down: true})
	if _, err := f.objects.Get(ctx, key); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("outage: %v, want ErrUnavailable", err)
	}
}

// Guards against a VM list without a lag. Tests would then not cover the time
// between a change and its listing.
func TestVMListLags(t *testing.T) {
	f := newFixture(t, standin.CellOptions{ListLag: 50 * time.Millisecond})
	if len(f.vms) != 3 || f.vms[0].Id != "desk-r1-0" || f.vms[0].State != api.VMStateLive {
		t.Fatalf("list is %+v", f.vms)
	}
	f.VMs.SetLag(time.Hour)
	f.SetVMLeaving("desk-r1-0", false)
	f.LoseVM("desk-r1-1")
	if vms := f.listed(t); len(vms) != 3 || vms[0].State != api.VMStateLive {
		t.Errorf("list shows changes before the lag: %+v", vms)
	}
	f.VMs.SetLag(0)
	if vms := f.listed(t); len(vms) != 2 || vms[0].State != api.VMStateLeaving {
		t.Errorf("list does not show changes after the lag: %+v", vms)
	}
	f.VMs.SetFaults(standin.Faults{Down: true})
	if _, err := f.list.List(context.Background()); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("outage: %v, want ErrUnavailable", err)
	}
}

func executorCall(id, body string, epoch int) *api.ExecutorCall {
	return &api.ExecutorCall{Partition: "p", Epoch: epoch, Team: "t", Queue: "t.q", RequestId: id, Body: []byte(body)}
}

// Guards against an executor that runs a request that it refused, or accepts
// requests although it is fenced, draining or not the addressed VM, and against
// modes without an effect.
func TestExecutorModes(t *testing.T) {
	other := func(vm *api.VM) { vm.Id = "desk-r9-0" }
	tests := []struct {
		name   string
		mode   standin.ExecutorMode
		epoch  int
		target func(*api.VM)
		want   errkind.Kind // empty for an answer
		status int
		runs   int
	}{
		{name: "healthy", epoch: 5, status: 200, runs: 1},
		{name: "newer epoch", epoch: 6, status: 200, runs: 1},
		{name: "fenced", epoch: 4, want: errkind.Fenced},
		{name: "draining", epoch: 5, mode: standin.ExecutorMode{Draining: true}, want: errkind.UpstreamUnavailable},
		{name: "another VM", epoch: 5, target: other, want: errkind.UpstreamUnavailable},
		{name: "cut", epoch: 5, mode: standin.ExecutorMode{CutAnswers: true}, want: errkind.OutcomeUnknown, runs: 1},
		{name: "crossed", epoch: 5, mode: standin.ExecutorMode{CrossAnswers: true}, want: errkind.OutcomeUnknown, runs: 2},
		{name: "fails", epoch: 5, mode: standin.ExecutorMode{FailFast: true}, status: 500, runs: 1},
		{name: "hangs", epoch: 5, mode: standin.ExecutorMode{Hang: true}, want: errkind.OutcomeUnknown, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, standin.CellOptions{})
			vm := f.vms[0]
			if status, err := f.executor.Fence(context.Background(), vm, "p", 5); err != nil || status.Epoch != 5 {
				t.Fatalf("fence: %+v, %v", status, err)
			}
			if tt.mode.CrossAnswers {
				if _, err := f.executor.Execute(context.Background(), vm, executorCall("before", "", 5)); err != nil {
					t.Fatal(err)
				}
			}
			f.Executor(vm.Id).SetMode(tt.mode)
			if tt.target != nil {
				tt.target(&vm)
			}
			timeout := 10 * time.Second
			if tt.mode.Hang {
				timeout = time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			out, err := f.executor.Execute(ctx, vm, executorCall("r", `{"delay_ms":1,"answer_bytes":5000}`, tt.epoch))
			switch {
			case tt.want != "":
				if !errkind.Is(err, tt.want) {
					t.Errorf("got %v, want %s", err, tt.want)
				}
			case err != nil || out.Status != tt.status || tt.status == 200 && len(out.Body) != 5000:
				t.Errorf("got %+v, %v, want status %d", out, err, tt.status)
			}
			if got := countKind(f.Recorder.Records(), history.RequestStart); got != tt.runs {
				t.Errorf("%d executions, want %d", got, tt.runs)
			}
		})
	}
}

func countKind(records []history.Record, kind history.Kind) int {
	n := 0
	for _, rec := range records {
		if rec.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against an executor that runs more requests than it has slots without a
// trace in the history.
func TestOverfilledExecutorIsVisible(t *testing.T) {
	for requests, want := range map[int]int{2: 0, 3: 1} {
		f := newFixture(t, standin.CellOptions{})
		vm := f.vms[0]
		f.Executor(vm.Id).SetMode(standin.ExecutorMode{Hang: true})
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() { _, _ = f.executor.Execute(context.Background(), vm, executorCall(string(rune('a'+i)), "", 1)) })
		}
		waitFor(t, func() bool { return f.Executor(vm.Id).Active() == requests })
		f.Executor(vm.Id).SetMode(standin.ExecutorMode{})
		wg.Wait()
		found := checker.Check(f.Recorder.Records(), checker.DefaultOptions())
		if len(found) != want {
			t.Errorf("%d requests at once: %v, want %d violations", requests, found, want)
		}
		if n := countKind(f.Recorder.Records(), history.ConnOpen); n != requests {
			t.Errorf("%d connections recorded, want %d", n, requests)
		}
	}
}

// Guards against a lost VM that still answers calls or runs its work.
func TestLostVM(t *testing.T) {
	f := newFixture(t, standin.CellOptions{})
	vm := f.vms[0]
	f.sync(t, vm, &api.WorkerSync{Starts: []api.TaskStart{taskStart(1, `{"run_ms":-1}`)}})
	f.LoseVM(vm.Id)
	if _, err := f.worker.Sync(context.Background(), vm, &api.WorkerSync{Epoch: 1}); err == nil {
		t.Error("the worker of a lost VM answered")
	}
	if _, err := f.executor.Execute(context.Background(), vm, executorCall("r", "", 1)); err == nil {
		t.Error("the executor of a lost VM answered")
	}
	if got := f.Worker(vm.Id).Running(); len(got) != 0 {
		t.Errorf("tasks %v run on a lost VM", got)
	}
	replacement := f.AddVM(api.VM{Id: "desk-r1-9", Pool: "desk", Capacity: vm.Capacity, Connections: vm.Connections})
	f.sync(t, replacement, &api.WorkerSync{Starts: []api.TaskStart{taskStart(2, `{"run_ms":-1}`)}})
	if found := checker.Check(f.Recorder.Records(), checker.DefaultOptions()); len(found) != 0 {
		t.Errorf("violations: %v", found)
	}
}

func taskStart(attempt int, payload string) api.TaskStart {
	return api.TaskStart{TaskId: "t/j/0", Team: "t", Attempt: attempt, Payload: payload, Resources: api.Resources{CpuMillis: 1000, MemoryMb: 100}}
}

const longLeaseMs = 60_000

// sync sends in to the worker, with a lease of longLeaseMs unless in sets one.
func (f *fixture) sync(t *testing.T, vm api.VM, in *api.WorkerSync) *api.WorkerReport {
	t.Helper()
	in.Partition = "desk-workers"
	in.Epoch = max(in.Epoch, 1)
	if in.LeaseUntilMs == 0 {
		report, err := f.worker.Sync(context.Background(), vm, &api.WorkerSync{Partition: in.Partition, Epoch: in.Epoch})
		if err != nil {
			t.Fatal(err)
		}
		in.LeaseUntilMs = report.ClockMs + longLeaseMs
	}
	report, err := f.worker.Sync(context.Background(), vm, in)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// singleTask returns the only task of a report.
func singleTask(t *testing.T, r *api.WorkerReport) api.TaskReport {
	t.Helper()
	if len(r.Tasks) != 1 {
		t.Fatalf("report has tasks %+v, want one", r.Tasks)
	}
	return r.Tasks[0]
}

// awaitState polls the worker until its only task is in the state want.
func (f *fixture) awaitState(t *testing.T, vm api.VM, want api.TaskReportState) (last api.TaskReport) {
	t.Helper()
	waitFor(t, func() bool {
		last = singleTask(t, f.sync(t, vm, &api.WorkerSync{}))
		return last.State == want
	})
	return last
}

// Guards against tasks whose end does not match their payload, the stop command or
// the mode of the worker.
func TestWorkerTaskCourse(t *testing.T) {
	tests := []struct {
		name    string
		mode    standin.WorkerMode
		payload string
		stop    api.StopMode
		want    api.TaskReportState
		exit    int
	}{
		{name: "exits", payload: `{"run_ms":1}`, want: api.TaskReportStateExited},
		{name: "fails", payload: `{"run_ms":1,"exit_code":3}`, want: api.TaskReportStateFailed, exit: 3},
		{name: "drawn run time", want: api.TaskReportStateExited},
		{name: "stopped", payload: `{"run_ms":-1}`, stop: api.StopModeStop, want: api.TaskReportStateStopped},
		{name: "checkpointed", payload: `{"run_ms":-1}`, stop: api.StopModeCheckpoint, want: api.TaskReportStateCheckpointed},
		{name: "worker fails all", mode: standin.WorkerMode{FailAll: true}, payload: `{"run_ms":-1}`, want: api.TaskReportStateFailed, exit: 1},
		{name: "draining", mode: standin.WorkerMode{Draining: true}, want: api.TaskReportStateRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, standin.CellOptions{MeanRun: time.Millisecond, Seed: 1})
			vm := f.vms[0]
			f.Worker(vm.Id).SetMode(tt.mode)
			f.sync(t, vm, &api.WorkerSync{Starts: []api.TaskStart{taskStart(1, tt.payload)}})
			if tt.stop != "" {
				f.sync(t, vm, &api.WorkerSync{Stops: []api.TaskStop{{TaskId: "t/j/0", Attempt: 1, Mode: tt.stop}}})
			}
			if got := f.awaitState(t, vm, tt.want); got.ExitCode != tt.exit {
				t.Errorf("exit code %d, want %d", got.ExitCode, tt.exit)
			}
			if r := f.sync(t, vm, &api.WorkerSync{Forget: []string{"t/j/0"}}); len(r.Tasks) != 0 {
				t.Errorf("forgotten task is reported: %+v", r.Tasks)
			}
			records := f.Recorder.Records()
			if starts, stops := countKind(records, history.TaskStart), countKind(records, history.TaskStop); starts != stops {
				t.Errorf("%d starts and %d stops recorded", starts, stops)
			}
		})
	}
}

// Guards against a start that is executed twice, after a later attempt, without a
// lease or for an outdated owner.
func TestWorkerRefusesOutdatedCommands(t *testing.T) {
	f := newFixture(t, standin.CellOptions{})
	vm := f.vms[0]
	endless := func(attempt int) []api.TaskStart { return []api.TaskStart{taskStart(attempt, `{"run_ms":-1}`)} }
	f.sync(t, vm, &api.WorkerSync{LeaseUntilMs: 1, Starts: endless(1)}) // expired long ago on the worker's clock
	if got := f.Worker(vm.Id).Running(); len(got) != 0 {
		t.Fatalf("tasks %v run without a lease", got)
	}
	f.sync(t, vm, &api.WorkerSync{Forget: []string{"t/j/0"}})
	for _, attempt := range []int{2, 2, 1, 3} {
		f.sync(t, vm, &api.WorkerSync{Starts: endless(attempt)})
	}
	if n := countKind(f.Recorder.Records(), history.TaskStart); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
	f.sync(t, vm, &api.WorkerSync{Epoch: 7})
	_, err := f.worker.Sync(context.Background(), vm, &api.WorkerSync{Partition: "desk-workers", Epoch: 6,
		Stops: []api.TaskStop{{TaskId: "t/j/0", Attempt: 2}}})
	if !errkind.Is(err, errkind.Fenced) {
		t.Errorf("lower epoch: %v, want fenced", err)
	}
	if got := f.Worker(vm.Id).Running(); !slices.Equal(got, []string{"t/j/0"}) {
		t.Errorf("running tasks %v", got)
	}
}

// Guards against a task that runs after its lease has expired, or whose lease is
// shortened by a delayed renewal.
func TestWorkerStopsTasksWhenTheLeaseExpires(t *testing.T) {
	f := newFixture(t, standin.CellOptions{})
	vm := f.vms[0]
	first := f.sync(t, vm, &api.WorkerSync{})
	f.sync(t, vm, &api.WorkerSync{Starts: []api.TaskStart{taskStart(1, `{"run_ms":-1}`)}})
	report := f.sync(t, vm, &api.WorkerSync{LeaseUntilMs: first.ClockMs + 1})
	if got := singleTask(t, report); got.State != api.TaskReportStateRunning {
		t.Fatalf("a delayed renewal ended the task: %+v", got)
	}
	vm = f.vms[1]
	first, err := f.worker.Sync(context.Background(), vm, &api.WorkerSync{Partition: "desk-workers", Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	f.sync(t, vm, &api.WorkerSync{LeaseUntilMs: first.ClockMs + 1000, Starts: []api.TaskStart{taskStart(1, `{"run_ms":-1}`)}})
	waitFor(t, func() bool { return len(f.Worker(vm.Id).Running()) == 0 })
	if got := singleTask(t, f.sync(t, vm, &api.WorkerSync{})); got.State != api.TaskReportStateStopped || !strings.Contains(got.Reason, "lease") {
		t.Errorf("got %+v, want stopped because of the lease", got)
	}
}

// Guards against a checkpoint that loses progress, a throttle without an effect,
// and usage that is reported without a lag.
func TestWorkerCheckpointThrottleAndUsage(t *testing.T) {
	f := newFixture(t, standin.CellOptions{UsageLag: time.Millisecond})
	vm := f.vms[0]
	f.sync(t, vm, &api.WorkerSync{Starts: []api.TaskStart{taskStart(1, `{"run_ms":3600000,"cpu_millis":1500,"memory_mb":70}`)}})
	awaitUsage := func(want api.Resources) {
		t.Helper()
		waitFor(t, func() bool { return singleTask(t, f.sync(t, vm, &api.WorkerSync{})).Usage == want })
	}
	awaitUsage(api.Resources{CpuMillis: 1500, MemoryMb: 70})
	f.sync(t, vm, &api.WorkerSync{Throttles: []api.TaskThrottle{{TaskId: "t/j/0", Attempt: 1, Percent: 50}}})
	awaitUsage(api.Resources{CpuMillis: 500, MemoryMb: 70})
	f.sync(t, vm, &api.WorkerSync{Stops: []api.TaskStop{{TaskId: "t/j/0", Attempt: 1, Mode: api.StopModeCheckpoint}}})
	saved := f.awaitState(t, vm, api.TaskReportStateCheckpointed)
	if saved.Checkpoint == "" {
		t.Fatal("no checkpoint is reported")
	}
	if err := f.Objects.Put(context.Background(), saved.Checkpoint, []byte(`{"work_ms":1}`)); err != nil {
		t.Fatal(err)
	}
	next := taskStart(2, `{"run_ms":3600000}`)
	next.Checkpoint = saved.Checkpoint
	f.sync(t, vm, &api.WorkerSync{Starts: []api.TaskStart{next}})
	f.awaitState(t, vm, api.TaskReportStateExited)
}
