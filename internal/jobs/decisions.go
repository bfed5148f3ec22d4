package jobs

import (
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// schedule asks the decision core what to do and carries it out.
func (t *tenure) schedule() {
	t.carryOut(t.cell.Schedule(t.now(), maxDecisions))
}

func (t *tenure) carryOut(decisions []scheduler.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case scheduler.Place:
			t.place(d)
		case scheduler.Stop:
			t.queueStop(d, api.StopModeStop)
		case scheduler.Checkpoint:
			t.queueStop(d, api.StopModeCheckpoint)
		case scheduler.Throttle:
			t.queueThrottle(d)
		case scheduler.FailJob:
			if j, ok := t.jobs[d.Job]; ok {
				t.failJob(j, d.Reason)
			}
		}
	}
}

// place records a placement. The start is sent when the record is stored.
func (t *tenure) place(d scheduler.Decision) {
	j, index, ok := t.find(string(d.Task))
	if !ok || j.finished() {
		t.cell.Unplace(d.Task, d.Attempt)
		return
	}
	t.setTask(j, index, api.TaskStateStarting, d.VM, d.Attempt)
	j.row.Tasks[index].StartedUnixMs = int(t.now().UnixMilli())
	j.changed = append(j.changed, index)
	t.update(j)
}

// queueStart hands a recorded start to the worker.
func (t *tenure) queueStart(j *job, index int) {
	task := j.row.Tasks[index]
	w, ok := t.workers[task.Vm]
	if !ok {
		return // the VM was removed meanwhile; its tasks are placed anew
	}
	id := taskID(j.key, index)
	// The end of an earlier attempt on this VM is recorded, but a worker forgets by
	// task: told so after this start, it would drop the end of the new attempt.
	delete(w.forget, id)
	w.starts[id] = api.TaskStart{
		TaskId:     id,
		Attempt:    task.Attempt,
		Team:       j.row.Spec.Team,
		Resources:  j.row.Spec.Resources,
		Payload:    j.row.Spec.Payload,
		Checkpoint: task.Checkpoint,
	}
	t.hurry(w)
}

func (t *tenure) queueStop(d scheduler.Decision, mode api.StopMode) {
	j, index, ok := t.find(string(d.Task))
	if !ok {
		return
	}
	task := j.row.Tasks[index]
	if !activeTask(task.State) || task.Attempt != d.Attempt {
		return
	}
	w, ok := t.workers[task.Vm]
	if !ok {
		return
	}
	t.setTask(j, index, api.TaskStateStopping, task.Vm, task.Attempt)
	delete(w.starts, string(d.Task))
	w.stops[string(d.Task)] = api.TaskStop{TaskId: string(d.Task), Attempt: d.Attempt, Mode: mode}
	t.hurry(w)
	t.update(j)
}

func (t *tenure) queueThrottle(d scheduler.Decision) {
	if w, ok := t.workers[d.VM]; ok {
		w.throttles[string(d.Task)] = api.TaskThrottle{TaskId: string(d.Task), Attempt: d.Attempt, Percent: d.Percent}
		t.hurry(w)
	}
}

// queueForget lets a worker drop a task whose end is recorded.
func (t *tenure) queueForget(vm, id string, attempt int) {
	w, ok := t.workers[vm]
	if !ok || attempt == 0 {
		return
	}
	w.forget[id] = struct{}{}
}

// failJob ends a job: what runs is stopped, the rest has failed.
func (t *tenure) failJob(j *job, reason string) {
	if j.finished() {
		return
	}
	j.row.Reason = reason
	t.carryOut(t.cell.Cancel(j.key, t.now()))
	t.endPending(j, api.TaskStateFailed)
}

// taskEnded records the end of an attempt and tells the decision core.
func (t *tenure) taskEnded(j *job, index int, outcome scheduler.Outcome, r api.TaskReport) {
	task := &j.row.Tasks[index]
	t.cell.TaskExited(scheduler.NewTaskID(j.key, index), task.Attempt, outcome, t.now())
	t.p.opts.Metrics.attemptEnded(j.row, outcome)
	task.ExitCode = r.ExitCode
	if r.Checkpoint != "" {
		task.Checkpoint = r.Checkpoint
	}
	state := api.TaskStatePending
	switch {
	case outcome == scheduler.Success:
		state = api.TaskStateDone
	case j.row.Reason != "": // the job was canceled or has failed
		state = t.endState(j)
	}
	t.setTask(j, index, state, task.Vm, task.Attempt)
	j.changed = append(j.changed, index)
	t.update(j)
}

func (t *tenure) endState(j *job) api.TaskState {
	if j.row.Reason == canceledReason {
		return api.TaskStateCanceled
	}
	return api.TaskStateFailed
}
