package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// Errors returned by Records.Save and Records.Delete.
var (
	ErrSuperseded    = errors.New("the partition has a newer owner")
	ErrRecordChanged = errors.New("the job record has another version")
)

// job is a job in memory. row is the state to be stored; version is that of the
// last completed write.
type job struct {
	key     string // team/id
	row     api.JobRow
	version int64
	dirty   bool // row has changes that no write has started to store
	saving  bool // a write or read of the row is in flight, at most one at a time
	counts  map[api.TaskState]int
	// maybeStored reports that the row may exist although version is 0, because
	// the outcome of a write is unknown.
	maybeStored bool

	nextCallbacks  []func(error) // called when the next write ends
	writeCallbacks []func(error) // called when the write in flight ends

	// Indexes of the tasks that were placed or ended since the last write
	// began, and of those that the write in flight covers. Workers are told
	// about them once the write has succeeded.
	changedTasks []int
	tasksInWrite []int
}

func jobKey(team, id string) string { return team + "/" + id }

func taskID(key string, index int) string { return string(scheduler.NewTaskID(key, index)) }

func (j *job) finished() bool { return jobFinished(j.row.State) }

func jobFinished(s api.JobState) bool {
	return s == api.JobStateDone || s == api.JobStateFailed || s == api.JobStateCanceled
}

func taskFinished(s api.TaskState) bool {
	return s == api.TaskStateDone || s == api.TaskStateFailed || s == api.TaskStateCanceled
}

// copyRow returns a deep copy, because a write in flight must not see later
// changes.
func copyRow(row api.JobRow) api.JobRow {
	row.Tasks = append([]api.TaskRow(nil), row.Tasks...)
	return row
}

// schedulerJob converts a specification for the scheduler.
func schedulerJob(spec api.JobSpec) scheduler.Job {
	j := scheduler.Job{
		ID:             jobKey(spec.Team, spec.Id),
		Team:           spec.Team,
		Queue:          spec.Queue,
		Class:          spec.Class,
		Urgency:        spec.Urgency,
		Tasks:          spec.Tasks,
		Resources:      spec.Resources,
		EstimatedRun:   time.Duration(spec.EstimatedRunMs) * time.Millisecond,
		Checkpointable: spec.Checkpointable,
		MaxAttempts:    spec.MaxAttempts,
	}
	if spec.DeadlineUnixMs > 0 {
		j.Deadline = time.UnixMilli(int64(spec.DeadlineUnixMs))
	}
	return j
}

// addJob adds a job to the memory of the owner.
func (o *owner) addJob(j *job) {
	o.jobs[j.key] = j
	j.counts = map[api.TaskState]int{}
	for i, task := range j.row.Tasks {
		j.counts[task.State]++
		o.countTask(task.State, 1)
		o.indexTask(j, i, task)
	}
}

// removeJob removes a job from the memory of the owner.
func (o *owner) removeJob(j *job) {
	delete(o.jobs, j.key)
	delete(o.dirty, j.key)
	for i, task := range j.row.Tasks {
		o.countTask(task.State, -1)
		o.unindexTask(j, i, task)
	}
}

// setTask changes the state, VM and attempt of a task and updates the counts
// and indexes that depend on them.
func (o *owner) setTask(j *job, i int, state api.TaskState, vm string, attempt int) {
	task := &j.row.Tasks[i]
	o.unindexTask(j, i, *task)
	o.countTask(task.State, -1)
	j.counts[task.State]--
	task.State, task.Vm, task.Attempt = state, vm, attempt
	j.counts[state]++
	o.countTask(state, 1)
	o.indexTask(j, i, *task)
}

func (o *owner) countTask(state api.TaskState, n int) {
	switch {
	case state == api.TaskStatePending:
		o.queued += n
	case taskActive(state):
		o.active += n
	}
}

// indexTask adds an active task to the index by VM.
func (o *owner) indexTask(j *job, i int, task api.TaskRow) {
	if !taskActive(task.State) {
		return
	}
	tasks, ok := o.activeByVM[task.Vm]
	if !ok {
		tasks = map[taskRef]struct{}{}
		o.activeByVM[task.Vm] = tasks
	}
	tasks[taskRef{j, i}] = struct{}{}
}

func (o *owner) unindexTask(j *job, i int, task api.TaskRow) {
	if !taskActive(task.State) {
		return
	}
	delete(o.activeByVM[task.Vm], taskRef{j, i})
	if len(o.activeByVM[task.Vm]) == 0 {
		delete(o.activeByVM, task.Vm)
	}
}

// markDirty schedules a write of the row of a job.
func (o *owner) markDirty(j *job) {
	j.dirty = true
	o.dirty[j.key] = j
}

// updateJob derives the state of a job from its tasks and marks the job for
// saving.
func (o *owner) updateJob(j *job) {
	o.markDirty(j)
	if j.finished() {
		return
	}
	failed, canceled := j.counts[api.TaskStateFailed], j.counts[api.TaskStateCanceled]
	if j.counts[api.TaskStateDone]+failed+canceled == len(j.row.Tasks) {
		o.finishJob(j, finalState(failed, canceled))
		return
	}
	if j.counts[api.TaskStateStarting]+j.counts[api.TaskStateRunning]+j.counts[api.TaskStateStopping] > 0 {
		j.row.State = api.JobStateRunning
	}
}

func finalState(failed, canceled int) api.JobState {
	switch {
	case failed > 0:
		return api.JobStateFailed
	case canceled > 0:
		return api.JobStateCanceled
	}
	return api.JobStateDone
}

func (o *owner) finishJob(j *job, state api.JobState) {
	j.row.State = state
	j.row.FinishedUnixMs = int(o.now().UnixMilli())
	event.JobFinished.Log(o.logger, "job", j.key, "state", state, "reason", j.row.Reason)
}

// saveDirtyJobs starts a write for each changed job that has no write in
// flight.
func (o *owner) saveDirtyJobs() {
	for key, j := range o.dirty {
		if !j.saving {
			delete(o.dirty, key)
			o.saveJob(j)
		}
	}
}

func (o *owner) saveJob(j *job) {
	j.dirty = false
	j.saving = true
	j.writeCallbacks, j.nextCallbacks = j.nextCallbacks, nil
	j.tasksInWrite, j.changedTasks = j.changedTasks, nil
	record := Record{Row: copyRow(j.row), Version: j.version}
	o.runAsync(func(ctx context.Context) func() {
		version, err := o.partition.options.Records.Save(ctx, o.lease, record)
		return func() { o.handleSaved(j, record, version, err) }
	})
}

func (o *owner) handleSaved(j *job, record Record, version int64, err error) {
	j.saving = false
	callbacks, written := j.writeCallbacks, j.tasksInWrite
	j.writeCallbacks, j.tasksInWrite = nil, nil
	switch {
	case err == nil:
		j.version = version
		o.handleStored(j, record.Row, written)
	case errors.Is(err, ErrRecordChanged) && record.Version == 0:
		j.changedTasks = append(written, j.changedTasks...)
		j.nextCallbacks = append(callbacks, j.nextCallbacks...)
		o.readExisting(j)
		return
	case errors.Is(err, ErrSuperseded), errors.Is(err, ErrRecordChanged):
		// Only the owner writes job records, so an unexpected version means a newer owner.
		for _, f := range callbacks {
			f(errkind.Wrap(err, errkind.OutcomeUnknown, "", "job %s", j.key))
		}
		o.superseded(err.Error())
		return
	case record.Version == 0 && !j.maybeStored && errkind.Is(err, errkind.StoreUnavailable):
		o.dropUnsaved(j)
		callbacks = append(callbacks, j.nextCallbacks...) // of submissions repeated in the meantime
	case record.Version == 0:
		// The row may exist. The submitter is told so; the job is kept and saved again.
		j.maybeStored = true
		for _, f := range callbacks {
			f(errkind.Wrap(err, errkind.OutcomeUnknown, "", "the record of job %s may have been stored", j.key))
		}
		event.JobSaveFailed.Log(o.logger, "job", j.key, "err", err)
		j.changedTasks = append(written, j.changedTasks...)
		o.readExisting(j)
		return
	default:
		event.JobSaveFailed.Log(o.logger, "job", j.key, "err", err)
		o.markDirty(j)
		j.changedTasks = append(written, j.changedTasks...)
		j.nextCallbacks = append(callbacks, j.nextCallbacks...)
		return
	}
	for _, f := range callbacks {
		f(err)
	}
}

// dropUnsaved removes a job whose first write failed, so that the job never
// runs after its submitter was told that it was refused.
func (o *owner) dropUnsaved(j *job) {
	for i, task := range j.row.Tasks {
		if task.State == api.TaskStateStarting { // placed, but the start was not sent
			o.scheduler.RevertPlacement(scheduler.NewTaskID(j.key, i), task.Attempt)
		}
	}
	o.scheduler.Cancel(j.key, o.now())
	o.removeJob(j)
}

// readExisting reads the row that the first write of a job found in its place or may have
// stored. A row that exists was stored by a write of this owner whose response was lost, or
// it belongs to a finished job with the same ID.
func (o *owner) readExisting(j *job) {
	ref := api.JobRef{Partition: o.lease.Partition, Team: j.row.Spec.Team, Id: j.row.Spec.Id}
	j.saving = true
	o.runAsync(func(ctx context.Context) func() {
		existing, err := o.partition.options.Records.Get(ctx, ref)
		return func() { o.handleExisting(j, existing, err) }
	})
}

func (o *owner) handleExisting(j *job, existing Record, err error) {
	j.saving = false
	switch {
	case err != nil || existing.Version == 0:
		o.markDirty(j) // the next write succeeds or finds the row again
	case existing.Row.Spec != j.row.Spec:
		o.dropUnsaved(j)
		j.notifySubmitters(errkind.New(errkind.RequestIDConflict, "id", "job %q exists with another specification", j.row.Spec.Id))
	case jobFinished(existing.Row.State):
		o.dropUnsaved(j)
		j.row = existing.Row
		j.notifySubmitters(nil)
	default:
		j.version = existing.Version
		o.markDirty(j)
	}
}

// notifySubmitters reports err to the submitters of a job that was not stored.
func (j *job) notifySubmitters(err error) {
	for _, f := range j.nextCallbacks {
		f(err)
	}
	j.nextCallbacks = nil
}

// handleStored acts on a row that was stored: it queues the starts of placed tasks
// and the forget commands of ended attempts, and removes a finished job from memory.
func (o *owner) handleStored(j *job, row api.JobRow, changed []int) {
	for _, i := range changed {
		task, current := row.Tasks[i], j.row.Tasks[i]
		if task.State == api.TaskStateStarting && current.State == api.TaskStateStarting && current.Attempt == task.Attempt {
			o.queueStart(j, i)
		}
		if taskFinished(task.State) || task.State == api.TaskStatePending {
			o.queueForget(task.Vm, taskID(j.key, i), task.Attempt)
		}
	}
	if j.finished() && !j.dirty {
		o.removeJob(j)
	}
}
