package jobs

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// worker is what the owner knows of one worker.
type worker struct {
	vm       api.VM
	listed   bool          // the VM list has the VM
	unseen   bool          // the VM list did not have the VM since this tenure began
	fenced   bool          // the worker has confirmed the epoch of this tenure
	compared bool          // the first report was compared with the job records
	calling  bool          // a call is in flight
	next     time.Duration // boot time of the next call
	failures int           // calls that failed in a row

	reported time.Duration // boot time at which the last report arrived; 0 before the first
	clockMs  int           // the worker's clock in that report
	expiry   time.Duration // boot time after which no lease renewed by this owner is in force
	silent   bool          // no report for unreachableAfter

	starts    map[string]api.TaskStart    // not yet confirmed, by task ID
	stops     map[string]api.TaskStop     // not yet confirmed, by task ID
	throttles map[string]api.TaskThrottle // to be sent once, by task ID
	forget    map[string]struct{}         // ended tasks whose end is recorded
}

func newWorker(vm api.VM) *worker {
	return &worker{
		vm:        vm,
		listed:    true,
		starts:    map[string]api.TaskStart{},
		stops:     map[string]api.TaskStop{},
		throttles: map[string]api.TaskThrottle{},
		forget:    map[string]struct{}{},
	}
}

func (w *worker) dump(now time.Duration) WorkerDump {
	d := WorkerDump{VM: w.vm.Id, Fenced: w.fenced, Reachable: w.reported != 0 && !w.silent, ReportAgeMs: -1, PendingStarts: len(w.starts), PendingStops: len(w.stops)}
	if w.reported != 0 {
		d.ReportAgeMs = (now - w.reported).Milliseconds()
	}
	return d
}

// fleetChanged follows the VM list. A VM that is no longer listed is kept until
// its leases have expired.
func (t *tenure) fleetChanged() {
	for id, vm := range t.p.fleet {
		w, ok := t.workers[id]
		if !ok {
			w = newWorker(vm)
			t.workers[id] = w
		}
		w.vm = vm
		w.listed, w.unseen = true, false
		t.upsert(w)
	}
	for id, w := range t.workers {
		if _, ok := t.p.fleet[id]; !ok && w.listed {
			w.listed = false
			t.upsert(w)
		}
	}
}

// upsert tells the decision core the state of a VM.
func (t *tenure) upsert(w *worker) {
	state := scheduler.VMUnreachable
	switch {
	case !w.listed, !w.fenced, w.silent:
	case w.vm.State == api.VMStateLeaving:
		state = scheduler.VMLeaving
	default:
		state = scheduler.VMLive
	}
	capacity := w.vm.Capacity
	capacity.Slots = 0 // executor slots belong to executor partitions
	t.cell.UpsertVM(scheduler.VM{
		ID:            w.vm.Id,
		Rack:          w.vm.Rack,
		FailureDomain: w.vm.FailureDomain,
		Capacity:      capacity,
		State:         state,
	})
}

// hurry has a worker called as soon as possible, because commands wait for it.
func (t *tenure) hurry(w *worker) { t.urgent[w] = struct{}{} }

// callUrgent calls the workers that commands wait for. One that does not respond
// is left to its next renewal.
func (t *tenure) callUrgent() {
	for w := range t.urgent {
		if !w.unseen && !w.calling && w.failures == 0 {
			t.callWorker(w, t.boot())
		}
	}
}

// stepWorkers calls each worker that is due and gives up expired ones.
func (t *tenure) stepWorkers() {
	now := t.boot()
	if now < t.nextWorkers {
		return
	}
	t.nextWorkers = now + workersInterval
	for id, w := range t.workers {
		t.checkSilence(w, now)
		if t.leasesExpired(w, now) {
			t.workerLost(w)
			if !w.listed {
				t.cell.RemoveVM(id, t.now())
				delete(t.workers, id)
				delete(t.urgent, w)
				continue
			}
		}
		if !w.unseen && !w.calling && now >= w.next {
			t.callWorker(w, now)
		}
	}
}

func (t *tenure) checkSilence(w *worker, now time.Duration) {
	silent := w.fenced && now-w.reported > unreachableAfter
	if silent == w.silent {
		return
	}
	w.silent = silent
	if silent {
		event.WorkerUnreachable.Log(t.logger, "vm", w.vm.Id)
	} else {
		event.WorkerBack.Log(t.logger, "vm", w.vm.Id)
	}
	t.upsert(w)
}

// leasesExpired reports whether every task lease at an unreachable or unlisted
// worker has certainly expired.
func (t *tenure) leasesExpired(w *worker, now time.Duration) bool {
	if w.fenced {
		return (w.silent || !w.listed) && now > w.expiry
	}
	if !t.ready {
		return false
	}
	// That a VM was never listed shows no end of its leases: the list lags.
	return t.previousLeasesExpired() || !w.listed && !w.unseen
}

// addUnseen adds the VMs on which tasks are recorded and which the VM list does
// not have. Their tasks are placed anew once their leases have expired.
func (t *tenure) addUnseen() {
	for _, j := range t.jobs {
		for _, task := range j.row.Tasks {
			if _, ok := t.workers[task.Vm]; ok || !activeTask(task.State) {
				continue
			}
			w := newWorker(api.VM{Id: task.Vm})
			w.listed, w.unseen = false, true
			t.workers[task.Vm] = w
		}
	}
}

// workerLost places the tasks of a worker anew. It is only called when none of
// their leases can be in force.
func (t *tenure) workerLost(w *worker) {
	held := t.tasksOn(w.vm.Id)
	if len(held) == 0 {
		return
	}
	event.WorkerLost.Log(t.logger, "vm", w.vm.Id, "tasks", len(held))
	for _, task := range held {
		t.taskEnded(task.job, task.index, scheduler.Lost, api.TaskReport{})
	}
	clear(w.starts)
	clear(w.stops)
	clear(w.throttles)
}

type heldTask struct {
	job   *job
	index int
}

// tasksOn returns the tasks that are recorded on a VM and have not ended.
func (t *tenure) tasksOn(vm string) []heldTask { return slices.Collect(maps.Keys(t.onVM[vm])) }

func activeTask(s api.TaskState) bool {
	return s == api.TaskStateStarting || s == api.TaskStateRunning || s == api.TaskStateStopping
}

// callWorker sends one WorkerSync. The first one only raises the epoch.
func (t *tenure) callWorker(w *worker, now time.Duration) {
	in := &api.WorkerSync{Partition: t.lease.Partition, Epoch: t.lease.Epoch}
	forgotten := t.addCommands(w, in)
	w.calling = true
	delete(t.urgent, w)
	w.next = now + syncInterval
	vm := w.vm
	t.begin(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		report, err := t.p.opts.Workers.Sync(ctx, vm, in)
		received := t.p.opts.Clock.Boot()
		return func() { t.synced(w, report, received, forgotten, err) }
	})
}

// addCommands adds the renewal and the commands for a fenced worker and returns
// the tasks that the call tells it to forget.
func (t *tenure) addCommands(w *worker, in *api.WorkerSync) (forgotten []string) {
	if !w.fenced {
		return nil
	}
	in.LeaseUntilMs = w.clockMs + int(taskLease/time.Millisecond)
	// The worker's clock showed clockMs no later than reported, so the lease ends
	// by this time even if the call is delivered late.
	w.expiry = max(w.expiry, w.reported+taskLease+leaseMargin)
	for _, start := range w.starts {
		in.Starts = append(in.Starts, start)
	}
	for _, stop := range w.stops {
		in.Stops = append(in.Stops, stop)
	}
	for _, throttle := range w.throttles {
		in.Throttles = append(in.Throttles, throttle)
	}
	clear(w.throttles)
	for id := range w.forget {
		in.Forget = append(in.Forget, id)
	}
	return in.Forget
}

func (t *tenure) synced(w *worker, report *api.WorkerReport, received time.Duration, forgotten []string, err error) {
	w.calling = false
	if err != nil {
		w.failures++
		if errkind.Is(err, errkind.Fenced) {
			t.superseded("worker " + w.vm.Id + " has a higher epoch")
		}
		return
	}
	w.failures = 0
	w.reported = received
	w.clockMs = report.ClockMs
	for _, id := range forgotten {
		delete(w.forget, id)
	}
	if !w.fenced {
		w.fenced = true
		t.hurry(w) // renews the leases of adopted tasks at once
		t.upsert(w)
	}
	if report.Draining && w.vm.State != api.VMStateLeaving {
		w.vm.State = api.VMStateLeaving
		t.upsert(w)
	}
	if t.ready {
		t.handleReport(w, report)
	}
}

// handleReport brings the records in line with what the worker reports.
func (t *tenure) handleReport(w *worker, report *api.WorkerReport) {
	var usage []scheduler.TaskUsage
	reported := make(map[string]bool, len(report.Tasks))
	for _, r := range report.Tasks {
		reported[r.TaskId] = true
		if u, ok := t.handleTask(w, r); ok {
			usage = append(usage, u)
		}
	}
	t.cell.Report(w.vm.Id, usage, t.now())
	for _, held := range t.tasksOn(w.vm.Id) {
		t.handleAbsent(w, held, reported)
	}
	w.compared = true
}

// handleAbsent handles a recorded task that the worker does not report. A start
// that is still being sent is repeated; anything else is no longer there.
func (t *tenure) handleAbsent(w *worker, held heldTask, reported map[string]bool) {
	id := taskID(held.job.key, held.index)
	if reported[id] {
		return
	}
	task := held.job.row.Tasks[held.index]
	if task.State == api.TaskStateStarting && w.compared {
		return // not yet recorded, or its start is in w.starts
	}
	if task.State == api.TaskStateStopping && w.compared {
		if _, ok := w.stops[id]; ok {
			// The start may not have arrived either; the stop is repeated until the
			// worker confirms that this attempt has ended.
			return
		}
	}
	event.TaskMissing.Log(t.logger, "vm", w.vm.Id, "task", id, "attempt", task.Attempt, "state", task.State)
	t.taskEnded(held.job, held.index, scheduler.Lost, api.TaskReport{})
}

// handleTask handles the report of one task. It returns its usage if it runs.
func (t *tenure) handleTask(w *worker, r api.TaskReport) (scheduler.TaskUsage, bool) {
	j, index, ok := t.find(r.TaskId)
	if !ok || j.row.Tasks[index].Vm != w.vm.Id || j.row.Tasks[index].Attempt != r.Attempt || !activeTask(j.row.Tasks[index].State) {
		t.handleUnknown(w, r, j, index)
		return scheduler.TaskUsage{}, false
	}
	delete(w.starts, r.TaskId)
	if r.State != api.TaskReportStateRunning {
		delete(w.stops, r.TaskId)
		t.taskEnded(j, index, outcomeOf(j, r), r)
		return scheduler.TaskUsage{}, false
	}
	task := &j.row.Tasks[index]
	if task.State == api.TaskStateStarting {
		t.setTask(j, index, api.TaskStateRunning, task.Vm, task.Attempt)
		task.StartedUnixMs = int(t.now().UnixMilli())
		t.p.opts.Metrics.started(j, r.Attempt, t.now())
		t.cell.TaskStarted(scheduler.TaskID(r.TaskId), r.Attempt, t.now())
		t.update(j)
	}
	if _, ok := w.stops[r.TaskId]; task.State == api.TaskStateStopping && !ok {
		// The stop was decided by an earlier owner.
		w.stops[r.TaskId] = api.TaskStop{TaskId: r.TaskId, Attempt: r.Attempt, Mode: stopMode(j)}
		t.hurry(w)
	}
	return scheduler.TaskUsage{Task: scheduler.TaskID(r.TaskId), Attempt: r.Attempt, Usage: r.Usage}, true
}

func (t *tenure) find(id string) (*job, int, bool) {
	key, index, ok := scheduler.TaskID(id).Split()
	if !ok {
		return nil, 0, false
	}
	j, ok := t.jobs[key]
	if !ok || index >= len(j.row.Tasks) {
		return nil, 0, false
	}
	return j, index, true
}

// handleUnknown handles a report that does not match the record: a task that
// ended earlier, or one that runs although its lease was taken as expired.
func (t *tenure) handleUnknown(w *worker, r api.TaskReport, j *job, index int) {
	if r.State == api.TaskReportStateRunning {
		if _, ok := w.stops[r.TaskId]; !ok {
			event.UnknownTaskStopped.Log(t.logger, "vm", w.vm.Id, "task", r.TaskId, "attempt", r.Attempt)
			t.hurry(w)
		}
		w.stops[r.TaskId] = api.TaskStop{TaskId: r.TaskId, Attempt: r.Attempt, Mode: api.StopModeStop}
		return
	}
	if stop, ok := w.stops[r.TaskId]; ok && stop.Attempt == r.Attempt {
		delete(w.stops, r.TaskId)
	}
	if j == nil || !j.dirty && !j.saving {
		w.forget[r.TaskId] = struct{}{}
	}
}

func stopMode(j *job) api.StopMode {
	if j.row.Spec.Checkpointable && j.row.Reason == "" {
		return api.StopModeCheckpoint
	}
	return api.StopModeStop
}

func outcomeOf(j *job, r api.TaskReport) scheduler.Outcome {
	switch r.State {
	case api.TaskReportStateExited:
		if r.ExitCode == 0 && j.row.Spec.Class != api.ClassService {
			return scheduler.Success
		}
		return scheduler.Failed
	case api.TaskReportStateStopped:
		return scheduler.Stopped
	case api.TaskReportStateCheckpointed:
		return scheduler.Checkpointed
	case api.TaskReportStateRefused:
		return scheduler.Refused
	}
	return scheduler.Failed
}
