package jobs

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// testClock uses package time, which is fake within a synctest bubble.
type testClock struct{}

func (testClock) Now() time.Time      { return time.Now() }
func (testClock) Boot() time.Duration { return time.Duration(time.Now().UnixNano()) }

// fakeRecords is an in-memory Records with one partition row.
type fakeRecords struct {
	mu               sync.Mutex
	seq              int64
	partitionVersion int64 // version of the partition row
	rows             map[string]Record
	down             bool
	loseNextAnswers  int // creations that succeed without a response
	conflicts        int // writes that failed because the record has another version
}

func newFakeRecords() *fakeRecords { return &fakeRecords{rows: map[string]Record{}} }

// lease returns a lease of a new owner and changes the partition row, as
// package ownership does.
func (f *fakeRecords) lease(incarnation, previous string, epoch int) api.PartitionLease {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	f.partitionVersion = f.seq
	return api.PartitionLease{Partition: "desk-workers", Incarnation: incarnation, PreviousIncarnation: previous, Epoch: epoch, RowVersion: int(f.seq)}
}

func (f *fakeRecords) Load(_ context.Context, _, _ string, _ int) ([]Record, string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, "", errkind.New(errkind.StoreUnavailable, "", "down")
	}
	var out []Record
	for _, r := range f.rows {
		out = append(out, Record{Row: copyRow(r.Row), Version: r.Version})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Row.Spec.Id < out[b].Row.Spec.Id })
	return out, "", nil
}

func (f *fakeRecords) Get(_ context.Context, ref api.JobRef) (Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Record{}, errkind.New(errkind.StoreUnavailable, "", "down")
	}
	r := f.rows[jobKey(ref.Team, ref.Id)]
	r.Row = copyRow(r.Row)
	return r, nil
}

func (f *fakeRecords) List(ctx context.Context, p, _, after string, n int) ([]Record, error) {
	all, _, err := f.Load(ctx, p, "", 0)
	var out []Record
	for _, r := range all {
		if r.Row.Spec.Id > after && len(out) < min(n, 3) { // short pages
			out = append(out, r)
		}
	}
	return out, err
}

func (f *fakeRecords) Save(_ context.Context, lease api.PartitionLease, r Record) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	key := jobKey(r.Row.Spec.Team, r.Row.Spec.Id)
	switch {
	case f.down:
		return 0, errkind.New(errkind.StoreUnavailable, "", "down")
	case f.partitionVersion != int64(lease.RowVersion):
		return 0, ErrSuperseded
	case f.rows[key].Version != r.Version:
		f.conflicts++
		return 0, ErrRecordChanged
	}
	f.seq++
	f.rows[key] = Record{Row: copyRow(r.Row), Version: f.seq}
	if f.loseNextAnswers > 0 && r.Version == 0 {
		f.loseNextAnswers--
		return 0, errkind.New(errkind.OutcomeUnknown, "", "answer lost")
	}
	return f.seq, nil
}

func (f *fakeRecords) Delete(_ context.Context, _ api.PartitionLease, r Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rows, jobKey(r.Row.Spec.Team, r.Row.Spec.Id))
	return nil
}

func (f *fakeRecords) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// loseNextAnswer makes the next creation of a record succeed without a
// response.
func (f *fakeRecords) loseNextAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNextAnswers = 1
}

func (f *fakeRecords) conflictCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conflicts
}

func (f *fakeRecords) state(key string) api.JobState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key].Row.State
}

type fakeTask struct {
	report  api.TaskReport
	endsAt  time.Time
	expires time.Time
}

// fakeWorkers runs tasks on fake VMs under the rules of docs/platform.md and
// records every violation of a guarantee.
type fakeWorkers struct {
	mu           sync.Mutex
	runTime      time.Duration
	epoch        map[string]int
	tasks        map[string]map[string]*fakeTask // by VM and task
	lastAttempt  map[string]int                  // highest attempt by VM and task
	disconnected map[string]bool                 // by VM, or by incarnation and VM
	delays       map[string]time.Duration        // of the answers, by VM
	draining     map[string]bool                 // by VM
	throttles    map[string]int                  // last percentage by task
	usagePercent int                             // usage of the tasks, of their size; 0 for all of it
	// loseThrottles is the number of calls with throttles that fail before they arrive.
	loseThrottles int
	starts        int
	failFirst     int // attempts up to this number fail
	violations    []string
}

func newFakeWorkers(run time.Duration) *fakeWorkers {
	return &fakeWorkers{runTime: run, epoch: map[string]int{}, tasks: map[string]map[string]*fakeTask{}, lastAttempt: map[string]int{}, disconnected: map[string]bool{}, delays: map[string]time.Duration{}, draining: map[string]bool{}, throttles: map[string]int{}}
}

// clientOf returns the client of the node with the given incarnation.
func (f *fakeWorkers) clientOf(incarnation string) WorkerClient { return fakeClient{f, incarnation} }

type fakeClient struct {
	workers     *fakeWorkers
	incarnation string
}

func (c fakeClient) Sync(_ context.Context, vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error) {
	time.Sleep(time.Millisecond)
	f := c.workers
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected[vm.Id] || f.disconnected[c.incarnation+" "+vm.Id] {
		return nil, errkind.New(errkind.UpstreamUnavailable, "", "worker is disconnected")
	}
	if len(in.Throttles) > 0 && f.loseThrottles > 0 {
		f.loseThrottles--
		return nil, errkind.New(errkind.UpstreamUnavailable, "", "the call was lost")
	}
	report, err := f.sync(vm, in)
	if delay := f.delays[vm.Id]; delay > 0 {
		f.mu.Unlock()
		time.Sleep(delay)
		f.mu.Lock()
	}
	return report, err
}

func (f *fakeWorkers) setDraining(vm string, draining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining[vm] = draining
}

// setDelay delays the answers to later calls of a VM.
func (f *fakeWorkers) setDelay(vm string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays[vm] = delay
}

func (f *fakeWorkers) setDisconnected(name string, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected[name] = disconnected
}

func (f *fakeWorkers) sync(vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error) {
	if in.Epoch < f.epoch[vm.Id] {
		return nil, errkind.New(errkind.Fenced, "", "epoch %d is lower than %d", in.Epoch, f.epoch[vm.Id])
	}
	f.epoch[vm.Id] = in.Epoch
	f.advance()
	now := time.Now()
	tasks := f.tasks[vm.Id]
	if tasks == nil {
		tasks = map[string]*fakeTask{}
		f.tasks[vm.Id] = tasks
	}
	for _, task := range tasks {
		if in.LeaseUntilMs > 0 {
			task.expires = time.UnixMilli(int64(in.LeaseUntilMs))
		}
	}
	for _, s := range in.Starts {
		f.start(vm, s, now, time.UnixMilli(int64(in.LeaseUntilMs)))
	}
	for _, s := range in.Stops {
		f.lastAttempt[vm.Id+" "+s.TaskId] = max(f.lastAttempt[vm.Id+" "+s.TaskId], s.Attempt)
		task, ok := tasks[s.TaskId]
		if !ok {
			task = &fakeTask{report: api.TaskReport{TaskId: s.TaskId, Attempt: s.Attempt}}
			tasks[s.TaskId] = task
			task.report.State = api.TaskReportStateStopped
		}
		if task.report.State == api.TaskReportStateRunning {
			task.report.State = api.TaskReportStateStopped
		}
	}
	for _, throttle := range in.Throttles {
		f.throttles[throttle.TaskId] = throttle.Percent
	}
	for _, id := range in.Forget {
		if task, ok := tasks[id]; ok && task.report.State != api.TaskReportStateRunning {
			delete(tasks, id)
		}
	}
	report := &api.WorkerReport{Vm: vm.Id, ClockMs: int(now.UnixMilli()), Epoch: in.Epoch, Capacity: vm.Capacity, Draining: f.draining[vm.Id]}
	for _, task := range tasks {
		r := task.report
		if f.usagePercent > 0 {
			r.Usage.CpuMillis = r.Usage.CpuMillis * f.usagePercent / 100
		}
		report.Tasks = append(report.Tasks, r)
	}
	return report, nil
}

func (f *fakeWorkers) start(vm api.VM, s api.TaskStart, now, lease time.Time) {
	if s.Attempt <= f.lastAttempt[vm.Id+" "+s.TaskId] || !lease.After(now) {
		return
	}
	f.lastAttempt[vm.Id+" "+s.TaskId] = s.Attempt
	used := s.Resources.CpuMillis
	for other, tasks := range f.tasks {
		for id, task := range tasks {
			if task.report.State != api.TaskReportStateRunning {
				continue
			}
			if id == s.TaskId {
				f.violations = append(f.violations, fmt.Sprintf("task %s runs on %s and %s", id, other, vm.Id))
			}
			if other == vm.Id {
				used += task.report.Usage.CpuMillis
			}
		}
	}
	if used > vm.Capacity.CpuMillis {
		f.violations = append(f.violations, fmt.Sprintf("VM %s holds %d of %d", vm.Id, used, vm.Capacity.CpuMillis))
	}
	f.starts++
	report := api.TaskReport{TaskId: s.TaskId, Attempt: s.Attempt, State: api.TaskReportStateRunning, Usage: s.Resources}
	f.tasks[vm.Id][s.TaskId] = &fakeTask{report: report, endsAt: now.Add(f.runTime), expires: lease}
}

// advance ends the tasks on all VMs that have finished or whose lease has
// expired.
func (f *fakeWorkers) advance() {
	now := time.Now()
	for _, tasks := range f.tasks {
		for _, task := range tasks {
			switch {
			case task.report.State != api.TaskReportStateRunning:
			case !now.Before(task.expires):
				task.report.State = api.TaskReportStateStopped
			case !now.Before(task.endsAt):
				task.report.State = api.TaskReportStateExited
				if task.report.Attempt <= f.failFirst {
					task.report.ExitCode = 1
				}
			}
		}
	}
}

func (f *fakeWorkers) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	n := 0
	for _, tasks := range f.tasks {
		for _, task := range tasks {
			if task.report.State == api.TaskReportStateRunning {
				n++
			}
		}
	}
	return n
}

// taskCount returns the number of tasks that a VM reports.
func (f *fakeWorkers) taskCount(vm string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.tasks[vm])
}

func (f *fakeWorkers) setUsagePercent(percent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usagePercent = percent
}

// loseNextThrottle makes the next call with throttles fail before it arrives.
func (f *fakeWorkers) loseNextThrottle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseThrottles = 1
}

// throttle returns the last percentage to which a task was throttled, or 0.
func (f *fakeWorkers) throttle(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.throttles[task]
}

func (f *fakeWorkers) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

func (f *fakeWorkers) violationList() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// fakeLeadership is a Leadership whose answers the test sets.
type fakeLeadership struct {
	mu         sync.Mutex
	lost       bool
	cannotLead map[string]bool
}

func (f *fakeLeadership) CheckLead() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return errkind.New(errkind.OwnerUnavailable, "", "lease lost")
	}
	return nil
}

func (f *fakeLeadership) CannotLead(incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cannotLead[incarnation]
}

func (f *fakeLeadership) setLost(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
}

func (f *fakeLeadership) setCannotLead(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cannotLead[incarnation] = true
}

// demandLedger grants what was last demanded, as package quota does.
type demandLedger struct {
	mu   sync.Mutex
	held map[string]api.Resources
}

func (l *demandLedger) Allotment(team string) api.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[team]
}

func (l *demandLedger) ReportDemand(team string, _, wanted api.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[team] = wanted
}

// unlimitedLedger grants practically unlimited allotments.
type unlimitedLedger struct{}

func (unlimitedLedger) Allotment(string) api.Resources {
	return api.Resources{CpuMillis: 1 << 40, MemoryMb: 1 << 40, Accelerators: 1 << 20}
}
func (unlimitedLedger) ReportDemand(string, api.Resources, api.Resources) {}
