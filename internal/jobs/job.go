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

// Errors of Records.Save.
var (
	ErrSuperseded    = errors.New("the partition has a newer owner")
	ErrRecordChanged = errors.New("the job record has another version")
)

// job is one job in memory. row is the state that should be stored; version is
// that of the last completed write.
type job struct {
	key     string // team/id
	row     api.JobRow
	version int64
	dirty   bool // row differs from what was last given to a write
	saving  bool // a write or read of the row is in flight; at most one is
	counts  map[api.TaskState]int
	// uncertain means that the row may exist though version is 0, because a write
	// of it had no known result.
	uncertain bool

	waiting  []func(error) // called when the write that covers the present row ends
	inFlight []func(error) // called when the write in flight ends

	// Indexes of tasks placed or ended since the last write began, and those that
	// the write in flight covers. Their workers are told once it is stored.
	changed []int
	writing []int
}

func jobKey(team, id string) string { return team + "/" + id }

func taskID(key string, index int) string { return string(scheduler.NewTaskID(key, index)) }

func (j *job) finished() bool { return finishedState(j.row.State) }

func finishedState(s api.JobState) bool {
	return s == api.JobStateDone || s == api.JobStateFailed || s == api.JobStateCanceled
}

func finishedTask(s api.TaskState) bool {
	return s == api.TaskStateDone || s == api.TaskStateFailed || s == api.TaskStateCanceled
}

// copyRow returns a deep copy, since a write in flight must not see later changes.
func copyRow(row api.JobRow) api.JobRow {
	row.Tasks = append([]api.TaskRow(nil), row.Tasks...)
	return row
}

// schedulerJob converts a specification for the decision core.
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

// add takes a job into memory.
func (t *tenure) add(j *job) {
	t.jobs[j.key] = j
	j.counts = map[api.TaskState]int{}
	for i, task := range j.row.Tasks {
		j.counts[task.State]++
		t.count(task.State, 1)
		t.index(j, i, task)
	}
}

// remove takes a job out of memory.
func (t *tenure) remove(j *job) {
	delete(t.jobs, j.key)
	delete(t.dirty, j.key)
	for i, task := range j.row.Tasks {
		t.count(task.State, -1)
		t.unindex(j, i, task)
	}
}

// setTask changes the state of a task and what is counted and indexed by it. vm
// and attempt are those that the task has from now on.
func (t *tenure) setTask(j *job, i int, state api.TaskState, vm string, attempt int) {
	task := &j.row.Tasks[i]
	t.unindex(j, i, *task)
	t.count(task.State, -1)
	j.counts[task.State]--
	task.State, task.Vm, task.Attempt = state, vm, attempt
	j.counts[state]++
	t.count(state, 1)
	t.index(j, i, *task)
}

func (t *tenure) count(state api.TaskState, n int) {
	switch {
	case state == api.TaskStatePending:
		t.queued += n
	case activeTask(state):
		t.active += n
	}
}

// index lists an active task under its VM.
func (t *tenure) index(j *job, i int, task api.TaskRow) {
	if !activeTask(task.State) {
		return
	}
	on, ok := t.onVM[task.Vm]
	if !ok {
		on = map[heldTask]struct{}{}
		t.onVM[task.Vm] = on
	}
	on[heldTask{j, i}] = struct{}{}
}

func (t *tenure) unindex(j *job, i int, task api.TaskRow) {
	if !activeTask(task.State) {
		return
	}
	delete(t.onVM[task.Vm], heldTask{j, i})
	if len(t.onVM[task.Vm]) == 0 {
		delete(t.onVM, task.Vm)
	}
}

// markDirty has the row of a job written.
func (t *tenure) markDirty(j *job) {
	j.dirty = true
	t.dirty[j.key] = j
}

// update brings the state of a job in line with its tasks and marks it for
// saving.
func (t *tenure) update(j *job) {
	t.markDirty(j)
	if j.finished() {
		return
	}
	failed, canceled := j.counts[api.TaskStateFailed], j.counts[api.TaskStateCanceled]
	if j.counts[api.TaskStateDone]+failed+canceled == len(j.row.Tasks) {
		t.finish(j, finalState(failed, canceled))
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

func (t *tenure) finish(j *job, state api.JobState) {
	j.row.State = state
	j.row.FinishedUnixMs = int(t.now().UnixMilli())
	event.JobFinished.Log(t.logger, "job", j.key, "state", state, "reason", j.row.Reason)
}

// saveDirty starts a write for each changed job that has none in flight.
func (t *tenure) saveDirty() {
	for key, j := range t.dirty {
		if !j.saving {
			delete(t.dirty, key)
			t.save(j)
		}
	}
}

func (t *tenure) save(j *job) {
	j.dirty = false
	j.saving = true
	j.inFlight, j.waiting = j.waiting, nil
	j.writing, j.changed = j.changed, nil
	record := Record{Row: copyRow(j.row), Version: j.version}
	t.begin(func(ctx context.Context) func() {
		version, err := t.p.opts.Records.Save(ctx, t.lease, record)
		return func() { t.saved(j, record, version, err) }
	})
}

func (t *tenure) saved(j *job, record Record, version int64, err error) {
	j.saving = false
	callbacks, written := j.inFlight, j.writing
	j.inFlight, j.writing = nil, nil
	switch {
	case err == nil:
		j.version = version
		t.recorded(j, record.Row, written)
	case errors.Is(err, ErrRecordChanged) && record.Version == 0:
		j.changed = append(written, j.changed...)
		j.waiting = append(callbacks, j.waiting...)
		t.resolveExisting(j)
		return
	case errors.Is(err, ErrSuperseded), errors.Is(err, ErrRecordChanged):
		// Only the owner writes job records, so another version shows a newer owner.
		for _, f := range callbacks {
			f(errkind.Wrap(err, errkind.OutcomeUnknown, "", "job %s", j.key))
		}
		t.superseded(err.Error())
		return
	case record.Version == 0 && !j.uncertain && errkind.Is(err, errkind.StoreUnavailable):
		t.forgetUnsaved(j)
		callbacks = append(callbacks, j.waiting...) // of submissions repeated meanwhile
	default:
		if record.Version == 0 {
			// The row may exist. The submitter learns that; the job is kept and saved again.
			j.uncertain = true
			for _, f := range callbacks {
				f(errkind.Wrap(err, errkind.OutcomeUnknown, "", "the record of job %s may have been stored", j.key))
			}
			callbacks = nil
		}
		event.JobSaveFailed.Log(t.logger, "job", j.key, "err", err)
		t.markDirty(j)
		j.changed = append(written, j.changed...)
		j.waiting = append(callbacks, j.waiting...)
		return
	}
	for _, f := range callbacks {
		f(err)
	}
}

// forgetUnsaved removes a job whose first write failed, so that the refusal that
// its submitter gets is true.
func (t *tenure) forgetUnsaved(j *job) {
	for i, task := range j.row.Tasks {
		if task.State == api.TaskStateStarting { // placed, but no start was sent
			t.cell.Unplace(scheduler.NewTaskID(j.key, i), task.Attempt)
		}
	}
	t.cell.Cancel(j.key, t.now())
	t.remove(j)
}

// resolveExisting handles a first write that found a row: the row is either an
// earlier write of this owner whose answer was lost, or a job that finished
// before.
func (t *tenure) resolveExisting(j *job) {
	ref := api.JobRef{Partition: t.lease.Partition, Team: j.row.Spec.Team, Id: j.row.Spec.Id}
	j.saving = true
	t.begin(func(ctx context.Context) func() {
		existing, err := t.p.opts.Records.Get(ctx, ref)
		return func() { t.resolved(j, existing, err) }
	})
}

func (t *tenure) resolved(j *job, existing Record, err error) {
	j.saving = false
	switch {
	case err != nil || existing.Version == 0:
		t.markDirty(j) // the next write meets the same question or succeeds
	case existing.Row.Spec != j.row.Spec:
		t.forgetUnsaved(j)
		j.answer(errkind.New(errkind.RequestIDConflict, "id", "job %q exists with another specification", j.row.Spec.Id))
	case finishedState(existing.Row.State):
		t.forgetUnsaved(j)
		j.row = existing.Row
		j.answer(nil)
	default:
		j.version = existing.Version
		t.markDirty(j)
	}
}

// answer tells the submitters of a job that was not stored what became of it.
func (j *job) answer(err error) {
	for _, f := range j.waiting {
		f(err)
	}
	j.waiting = nil
}

// recorded acts on a row that is now stored: the starts of changed tasks may be
// sent, ended ones may be forgotten by their workers, finished jobs leave memory.
func (t *tenure) recorded(j *job, row api.JobRow, changed []int) {
	for _, i := range changed {
		task, current := row.Tasks[i], j.row.Tasks[i]
		if task.State == api.TaskStateStarting && current.State == api.TaskStateStarting && current.Attempt == task.Attempt {
			t.queueStart(j, i)
		}
		if finishedTask(task.State) || task.State == api.TaskStatePending {
			t.queueForget(task.Vm, taskID(j.key, i), task.Attempt)
		}
	}
	if j.finished() && !j.dirty {
		t.remove(j)
	}
}
