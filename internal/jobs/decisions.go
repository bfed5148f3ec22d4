package jobs

import (
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// schedule gets decisions from the scheduler and carries them out.
func (o *owner) schedule() {
	o.applyDecisions(o.scheduler.Schedule(o.now(), maxDecisions))
}

func (o *owner) applyDecisions(decisions []scheduler.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case scheduler.DecisionPlace:
			o.recordPlacement(d)
		case scheduler.DecisionStop:
			o.queueStop(d, api.StopModeStop)
		case scheduler.DecisionCheckpoint:
			o.queueStop(d, api.StopModeCheckpoint)
		case scheduler.DecisionThrottle:
			o.queueThrottle(d)
		case scheduler.DecisionFailJob:
			if j, ok := o.jobs[d.Job]; ok {
				o.failJob(j, d.Reason)
			}
		}
	}
}

// recordPlacement records a placement. The start is sent once the record is
// stored.
func (o *owner) recordPlacement(d scheduler.Decision) {
	j, index, ok := o.findTask(string(d.Task))
	if !ok || j.finished() {
		o.scheduler.RevertPlacement(d.Task, d.Attempt)
		return
	}
	o.setTask(j, index, api.TaskStateStarting, d.VM, d.Attempt)
	j.row.Tasks[index].StartedUnixMs = int(o.now().UnixMilli())
	j.changedTasks = append(j.changedTasks, index)
	o.updateJob(j)
}

// queueStart queues a recorded start for the worker.
func (o *owner) queueStart(j *job, index int) {
	task := j.row.Tasks[index]
	w, ok := o.workers[task.Vm]
	if !ok {
		return // the VM was removed in the meantime; its tasks are placed again
	}
	id := taskID(j.key, index)
	// The end of an earlier attempt on this VM is recorded, but a worker
	// forgets by task ID: if it got the forget command after this start, it
	// would drop the end of the new attempt.
	delete(w.forget, id)
	w.starts[id] = api.TaskStart{
		TaskId:     id,
		Attempt:    task.Attempt,
		Team:       j.row.Spec.Team,
		Resources:  j.row.Spec.Resources,
		Payload:    j.row.Spec.Payload,
		Checkpoint: task.Checkpoint,
	}
	o.requestCall(w)
}

func (o *owner) queueStop(d scheduler.Decision, mode api.StopMode) {
	j, index, ok := o.findTask(string(d.Task))
	if !ok {
		return
	}
	task := j.row.Tasks[index]
	if !taskActive(task.State) || task.Attempt != d.Attempt {
		return
	}
	w, ok := o.workers[task.Vm]
	if !ok {
		return
	}
	o.setTask(j, index, api.TaskStateStopping, task.Vm, task.Attempt)
	delete(w.starts, string(d.Task))
	w.stops[string(d.Task)] = api.TaskStop{TaskId: string(d.Task), Attempt: d.Attempt, Mode: mode}
	o.requestCall(w)
	o.updateJob(j)
}

func (o *owner) queueThrottle(d scheduler.Decision) {
	if w, ok := o.workers[d.VM]; ok {
		w.throttles[string(d.Task)] = api.TaskThrottle{TaskId: string(d.Task), Attempt: d.Attempt, Percent: d.Percent}
		o.requestCall(w)
	}
}

// queueForget queues a command by which a worker forgets a task whose end is
// recorded.
func (o *owner) queueForget(vm, id string, attempt int) {
	w, ok := o.workers[vm]
	if !ok || attempt == 0 {
		return
	}
	w.forget[id] = struct{}{}
}

// failJob fails a job: active tasks are stopped and pending ones fail.
func (o *owner) failJob(j *job, reason string) {
	if j.finished() {
		return
	}
	j.row.Reason = reason
	o.applyDecisions(o.scheduler.Cancel(j.key, o.now()))
	o.endPendingTasks(j, api.TaskStateFailed)
}

// endAttempt records the end of an attempt and reports it to the scheduler.
func (o *owner) endAttempt(j *job, index int, outcome scheduler.Outcome, r api.TaskReport) {
	task := &j.row.Tasks[index]
	o.scheduler.TaskExited(scheduler.NewTaskID(j.key, index), task.Attempt, outcome, o.now())
	o.partition.options.Metrics.attemptEnded(j.row, outcome)
	task.ExitCode = r.ExitCode
	if r.Checkpoint != "" {
		task.Checkpoint = r.Checkpoint
	}
	state := api.TaskStatePending
	switch {
	case outcome == scheduler.OutcomeSuccess:
		state = api.TaskStateDone
	case j.row.Reason != "": // the job was canceled or failed
		state = o.canceledOrFailed(j)
	}
	o.setTask(j, index, state, task.Vm, task.Attempt)
	j.changedTasks = append(j.changedTasks, index)
	o.updateJob(j)
}

func (o *owner) canceledOrFailed(j *job) api.TaskState {
	if j.row.Reason == canceledReason {
		return api.TaskStateCanceled
	}
	return api.TaskStateFailed
}
