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
	// uncertain means that the row may exist though version is 0, because a write
	// of it had no known result.
	uncertain bool

	waiting  []func(error) // called when the write that covers the present row ends
	inFlight []func(error) // called when the write in flight ends
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

// update recomputes the state of a job from its tasks and marks it for saving.
func (t *tenure) update(j *job) {
	j.dirty = true
	if j.finished() {
		return
	}
	var active, done, failed, canceled int
	for _, task := range j.row.Tasks {
		switch task.State {
		case api.TaskStateDone:
			done++
		case api.TaskStateFailed:
			failed++
		case api.TaskStateCanceled:
			canceled++
		case api.TaskStateStarting, api.TaskStateRunning, api.TaskStateStopping:
			active++
		}
	}
	if done+failed+canceled == len(j.row.Tasks) {
		t.finish(j, finalState(failed, canceled))
		return
	}
	if active > 0 {
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
	for _, j := range t.jobs {
		if j.dirty && !j.saving {
			t.save(j)
		}
	}
}

func (t *tenure) save(j *job) {
	j.dirty = false
	j.saving = true
	j.inFlight, j.waiting = j.waiting, nil
	record := Record{Row: copyRow(j.row), Version: j.version}
	t.begin(func(ctx context.Context) func() {
		version, err := t.p.opts.Records.Save(ctx, t.lease, record)
		return func() { t.saved(j, record, version, err) }
	})
}

func (t *tenure) saved(j *job, record Record, version int64, err error) {
	j.saving = false
	callbacks := j.inFlight
	j.inFlight = nil
	switch {
	case err == nil:
		j.version = version
		t.recorded(j, record.Row)
	case errors.Is(err, ErrRecordChanged) && record.Version == 0:
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
		j.dirty = true
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
	t.cell.Cancel(j.key, t.now())
	delete(t.jobs, j.key)
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
		j.dirty = true // the next write meets the same question or succeeds
	case existing.Row.Spec != j.row.Spec:
		t.rejectUnsaved(j, errkind.New(errkind.RequestIDConflict, "id", "job %q exists with another specification", j.row.Spec.Id))
	case finishedState(existing.Row.State):
		j.row = existing.Row
		t.rejectUnsaved(j, nil)
	default:
		j.version = existing.Version
		j.dirty = true
	}
}

// rejectUnsaved forgets a job that was not stored and answers its submitters.
func (t *tenure) rejectUnsaved(j *job, err error) {
	t.forgetUnsaved(j)
	for _, f := range j.waiting {
		f(err)
	}
}

// recorded acts on a row that is now stored: starts may be sent, ended tasks may
// be forgotten by their workers, finished jobs leave memory.
func (t *tenure) recorded(j *job, row api.JobRow) {
	for i, task := range row.Tasks {
		current := j.row.Tasks[i]
		if task.State == api.TaskStateStarting && current.State == api.TaskStateStarting && current.Attempt == task.Attempt {
			t.queueStart(j, i)
		}
		if finishedTask(task.State) || task.State == api.TaskStatePending {
			t.queueForget(task.Vm, taskID(j.key, i), task.Attempt)
		}
	}
	if j.finished() && !j.dirty {
		delete(t.jobs, j.key)
	}
}
