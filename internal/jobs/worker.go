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

// worker is the state that the owner keeps for one worker.
type worker struct {
	vm           api.VM
	listed       bool          // the VM list contains the VM
	neverListed  bool          // the VM list has not contained the VM since this ownership began
	fenced       bool          // the worker has confirmed the epoch of this ownership
	reconciled   bool          // a report was compared with the loaded job records
	callInFlight bool          // a call is in flight
	nextCall     time.Duration // boot time of the next call
	failures     int           // successive failed calls

	reportedAt  time.Duration // boot time when the last report arrived; 0 before the first
	clockMs     int           // the worker's clock in that report
	leaseExpiry time.Duration // boot time when all leases renewed by this owner have expired
	unreachable bool          // no report for unreachableAfter
	draining    bool          // the last report says that the worker drains

	starts    map[string]api.TaskStart    // not yet confirmed, by task ID
	stops     map[string]api.TaskStop     // not yet confirmed, by task ID
	throttles map[string]api.TaskThrottle // not yet received by the worker, by task ID
	forget    map[string]struct{}         // IDs of tasks to forget, because their end is recorded
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
	d := WorkerDump{VM: w.vm.Id, Fenced: w.fenced, Reachable: w.reportedAt != 0 && !w.unreachable, ReportAgeMs: -1, PendingStarts: len(w.starts), PendingStops: len(w.stops)}
	if w.reportedAt != 0 {
		d.ReportAgeMs = (now - w.reportedAt).Milliseconds()
	}
	return d
}

// fleetChanged applies the VM list. A VM that is no longer listed is kept until
// its leases have expired.
func (o *owner) fleetChanged() {
	for id, vm := range o.partition.fleet {
		w, ok := o.workers[id]
		if !ok {
			w = newWorker(vm)
			o.workers[id] = w
		}
		w.vm = vm
		w.listed, w.neverListed = true, false
		o.updateVM(w)
	}
	for id, w := range o.workers {
		if _, ok := o.partition.fleet[id]; !ok && w.listed {
			w.listed = false
			o.updateVM(w)
		}
	}
}

// updateVM passes the state of a VM to the scheduler.
func (o *owner) updateVM(w *worker) {
	state := scheduler.VMUnreachable
	switch {
	case !w.listed, !w.fenced, w.unreachable:
	case w.draining, w.vm.State == api.VMStateLeaving:
		state = scheduler.VMLeaving
	default:
		state = scheduler.VMLive
	}
	capacity := w.vm.Capacity
	capacity.Slots = 0 // executor slots belong to executor partitions
	o.scheduler.UpsertVM(scheduler.VM{
		ID:            w.vm.Id,
		Rack:          w.vm.Rack,
		FailureDomain: w.vm.FailureDomain,
		Capacity:      capacity,
		State:         state,
	})
}

// requestCall requests a call to a worker in the current reconciliation,
// because commands are queued for it.
func (o *owner) requestCall(w *worker) { o.requestedCalls[w] = struct{}{} }

// makeRequestedCalls calls the workers for which calls were requested. A worker
// whose last call failed waits for its next renewal.
func (o *owner) makeRequestedCalls() {
	for w := range o.requestedCalls {
		if !w.neverListed && !w.callInFlight && w.failures == 0 {
			o.callWorker(w, o.bootTime())
		}
	}
}

// reconcileWorkers calls each worker that is due and ends the tasks of workers
// whose leases have expired.
func (o *owner) reconcileWorkers() {
	now := o.bootTime()
	if now < o.nextWorkerScan {
		return
	}
	o.nextWorkerScan = now + workerScanInterval
	for id, w := range o.workers {
		o.updateReachable(w, now)
		if o.leasesExpired(w, now) {
			o.handleWorkerLost(w)
			if !w.listed {
				o.scheduler.RemoveVM(id, o.now())
				delete(o.workers, id)
				delete(o.requestedCalls, w)
				continue
			}
		}
		if !w.neverListed && !w.callInFlight && now >= w.nextCall {
			o.callWorker(w, now)
		}
	}
}

func (o *owner) updateReachable(w *worker, now time.Duration) {
	silent := w.fenced && now-w.reportedAt > unreachableAfter
	if silent == w.unreachable {
		return
	}
	w.unreachable = silent
	if silent {
		event.WorkerUnreachable.Log(o.logger, "vm", w.vm.Id)
	} else {
		event.WorkerRecovered.Log(o.logger, "vm", w.vm.Id)
	}
	o.updateVM(w)
}

// leasesExpired reports whether every task lease at an unreachable or unlisted
// worker has certainly expired.
func (o *owner) leasesExpired(w *worker, now time.Duration) bool {
	if w.fenced {
		return (w.unreachable || !w.listed) && now > w.leaseExpiry
	}
	if !o.ready {
		return false
	}
	// A VM that was never listed may still hold leases, because the list lags.
	return o.previousLeasesExpired() || !w.listed && !w.neverListed
}

// addUnlistedWorkers adds the VMs that have active tasks in the records and are
// not in the VM list. Their tasks are placed again once their leases have
// expired.
func (o *owner) addUnlistedWorkers() {
	for _, j := range o.jobs {
		for _, task := range j.row.Tasks {
			if _, ok := o.workers[task.Vm]; ok || !taskActive(task.State) {
				continue
			}
			w := newWorker(api.VM{Id: task.Vm})
			w.listed, w.neverListed = false, true
			o.workers[task.Vm] = w
		}
	}
}

// handleWorkerLost ends the active tasks of a worker as lost, so that they are
// placed again. The caller ensures that none of their leases is in force.
func (o *owner) handleWorkerLost(w *worker) {
	tasks := o.activeTasksOn(w.vm.Id)
	if len(tasks) == 0 {
		return
	}
	event.WorkerLost.Log(o.logger, "vm", w.vm.Id, "tasks", len(tasks))
	for _, ref := range tasks {
		o.endAttempt(ref.job, ref.index, scheduler.OutcomeLost, api.TaskReport{})
	}
	clear(w.starts)
	clear(w.stops)
	clear(w.throttles)
}

// taskRef identifies a task of a job in memory.
type taskRef struct {
	job   *job
	index int
}

// activeTasksOn returns the tasks that are recorded as active on a VM.
func (o *owner) activeTasksOn(vm string) []taskRef {
	return slices.Collect(maps.Keys(o.activeByVM[vm]))
}

func taskActive(s api.TaskState) bool {
	return s == api.TaskStateStarting || s == api.TaskStateRunning || s == api.TaskStateStopping
}

// callWorker sends one WorkerSync. The first WorkerSync to a worker only raises
// the epoch of the worker.
func (o *owner) callWorker(w *worker, now time.Duration) {
	in := &api.WorkerSync{Partition: o.lease.Partition, Epoch: o.lease.Epoch}
	o.addCommands(w, in)
	w.callInFlight = true
	delete(o.requestedCalls, w)
	w.nextCall = now + syncInterval
	vm := w.vm
	o.runAsync(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		report, err := o.partition.options.Workers.Sync(ctx, vm, in)
		received := o.partition.options.Clock.Boot()
		return func() { o.handleSync(w, in, report, received, err) }
	})
}

// addCommands adds the lease renewal and the queued commands for a fenced
// worker.
func (o *owner) addCommands(w *worker, in *api.WorkerSync) {
	if !w.fenced {
		return
	}
	in.LeaseUntilMs = w.clockMs + int(taskLease/time.Millisecond)
	// The worker's clock read clockMs no later than reportedAt, so the lease
	// ends by this time even if the call is delivered late.
	w.leaseExpiry = max(w.leaseExpiry, w.reportedAt+taskLease+leaseMargin)
	for _, start := range w.starts {
		in.Starts = append(in.Starts, start)
	}
	for _, stop := range w.stops {
		in.Stops = append(in.Stops, stop)
	}
	for _, throttle := range w.throttles {
		in.Throttles = append(in.Throttles, throttle)
	}
	for id := range w.forget {
		in.Forget = append(in.Forget, id)
	}
}

// removeReceived removes the commands of a call that the worker has answered, other than
// starts and stops, which its reports confirm.
func (w *worker) removeReceived(in *api.WorkerSync) {
	for _, id := range in.Forget {
		delete(w.forget, id)
	}
	for _, throttle := range in.Throttles {
		if w.throttles[throttle.TaskId] == throttle {
			delete(w.throttles, throttle.TaskId)
		}
	}
}

func (o *owner) handleSync(w *worker, in *api.WorkerSync, report *api.WorkerReport, received time.Duration, err error) {
	w.callInFlight = false
	if err != nil {
		w.failures++
		if errkind.Is(err, errkind.Fenced) {
			o.superseded("worker " + w.vm.Id + " has a higher epoch")
		}
		return
	}
	if o.workers[w.vm.Id] != w {
		return // the worker was removed during the call; its VM may have been listed again since
	}
	w.failures = 0
	w.reportedAt = received
	w.clockMs = report.ClockMs
	w.removeReceived(in)
	if !w.fenced {
		w.fenced = true
		o.requestCall(w) // renews the leases of adopted tasks immediately
		o.updateVM(w)
	}
	if report.Draining != w.draining {
		w.draining = report.Draining
		o.updateVM(w)
	}
	if o.ready {
		o.handleReport(w, report)
	}
}

// handleReport updates the records from a worker's report.
func (o *owner) handleReport(w *worker, report *api.WorkerReport) {
	var usage []scheduler.TaskUsage
	reported := make(map[string]bool, len(report.Tasks))
	for _, r := range report.Tasks {
		reported[r.TaskId] = true
		if u, ok := o.handleTaskReport(w, r); ok {
			usage = append(usage, u)
		}
	}
	o.scheduler.ReportUsage(w.vm.Id, usage, o.now())
	for _, ref := range o.activeTasksOn(w.vm.Id) {
		o.handleMissingTask(w, ref, reported)
	}
	w.reconciled = true
}

// handleMissingTask handles an active task that the worker does not report. A
// start that may not have arrived is repeated; any other task is lost.
func (o *owner) handleMissingTask(w *worker, ref taskRef, reported map[string]bool) {
	id := taskID(ref.job.key, ref.index)
	if reported[id] {
		return
	}
	task := ref.job.row.Tasks[ref.index]
	if task.State == api.TaskStateStarting && w.reconciled {
		return // the placement is not yet stored, or the start is still in w.starts
	}
	if task.State == api.TaskStateStopping && w.reconciled {
		if _, ok := w.stops[id]; ok {
			// The start may not have arrived either; the stop is repeated until
			// the worker confirms that this attempt has ended.
			return
		}
	}
	event.TaskMissing.Log(o.logger, "vm", w.vm.Id, "task", id, "attempt", task.Attempt, "state", task.State)
	o.endAttempt(ref.job, ref.index, scheduler.OutcomeLost, api.TaskReport{})
}

// handleTaskReport handles the report of one task. It returns the usage of the
// task if the task is running.
func (o *owner) handleTaskReport(w *worker, r api.TaskReport) (scheduler.TaskUsage, bool) {
	j, index, ok := o.findTask(r.TaskId)
	if !ok || j.row.Tasks[index].Vm != w.vm.Id || j.row.Tasks[index].Attempt != r.Attempt || !taskActive(j.row.Tasks[index].State) {
		o.handleUnmatchedReport(w, r, j, index)
		return scheduler.TaskUsage{}, false
	}
	delete(w.starts, r.TaskId)
	if r.State != api.TaskReportStateRunning {
		delete(w.stops, r.TaskId)
		o.endAttempt(j, index, outcomeOf(j, r), r)
		return scheduler.TaskUsage{}, false
	}
	task := &j.row.Tasks[index]
	if task.State == api.TaskStateStarting {
		o.setTask(j, index, api.TaskStateRunning, task.Vm, task.Attempt)
		task.StartedUnixMs = int(o.now().UnixMilli())
		o.partition.options.Metrics.taskStarted(j, r.Attempt, o.now())
		o.scheduler.TaskStarted(scheduler.TaskID(r.TaskId), r.Attempt, o.now())
		o.updateJob(j)
	}
	if _, ok := w.stops[r.TaskId]; task.State == api.TaskStateStopping && !ok {
		// An earlier owner decided to stop the task.
		w.stops[r.TaskId] = api.TaskStop{TaskId: r.TaskId, Attempt: r.Attempt, Mode: stopMode(j)}
		o.requestCall(w)
	}
	return scheduler.TaskUsage{Task: scheduler.TaskID(r.TaskId), Attempt: r.Attempt, Usage: r.Usage}, true
}

func (o *owner) findTask(id string) (*job, int, bool) {
	key, index, ok := scheduler.TaskID(id).Split()
	if !ok {
		return nil, 0, false
	}
	j, ok := o.jobs[key]
	if !ok || index >= len(j.row.Tasks) {
		return nil, 0, false
	}
	return j, index, true
}

// handleUnmatchedReport handles a report that matches no active task: the
// attempt ended earlier, or it is running although its lease was considered
// expired.
func (o *owner) handleUnmatchedReport(w *worker, r api.TaskReport, j *job, index int) {
	if r.State == api.TaskReportStateRunning {
		if _, ok := w.stops[r.TaskId]; !ok {
			event.UnknownTaskStopped.Log(o.logger, "vm", w.vm.Id, "task", r.TaskId, "attempt", r.Attempt)
			o.requestCall(w)
		}
		w.stops[r.TaskId] = api.TaskStop{TaskId: r.TaskId, Attempt: r.Attempt, Mode: api.StopModeStop}
		return
	}
	if stop, ok := w.stops[r.TaskId]; ok && stop.Attempt == r.Attempt {
		delete(w.stops, r.TaskId)
	}
	if _, starting := w.starts[r.TaskId]; starting {
		return // the worker forgets by task ID, which would include the new attempt
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
			return scheduler.OutcomeSuccess
		}
		return scheduler.OutcomeFailed
	case api.TaskReportStateStopped:
		return scheduler.OutcomeStopped
	case api.TaskReportStateCheckpointed:
		return scheduler.OutcomeCheckpointed
	case api.TaskReportStateRefused:
		return scheduler.OutcomeRefused
	}
	return scheduler.OutcomeFailed
}
