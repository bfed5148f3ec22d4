package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// RestoreTask sets the recorded state of a task after a takeover. Its job must
// have been added before. A task that is starting, running or stopping is
// allocated on the VM even if it does not fit there.
func (s *State) RestoreTask(id TaskID, vmID string, attempt int, state api.TaskState, started time.Time) error {
	t := s.findTask(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "task", "task %q is not part of a submitted job", id)
	}
	if t.occupiesVM() {
		s.deallocate(t)
		t.state = taskWaiting
	}
	t.attempt = max(t.attempt, attempt)
	if attempt > 0 {
		t.job.placements++
	}
	if state == api.TaskStatePending {
		return nil
	}
	s.removePending(t)
	t.started = started
	t.placedAt = started
	t.timerGeneration++
	switch state {
	case api.TaskStateStarting:
		s.restoreAllocation(t, vmID, taskPlaced)
	case api.TaskStateRunning:
		s.restoreAllocation(t, vmID, taskRunning)
	case api.TaskStateStopping:
		s.restoreAllocation(t, vmID, taskStopping)
		if t.job.Checkpointable {
			// The stop may wait for a checkpoint. The job was added at waitingSince.
			s.addCheckpointTimeout(t, t.job.waitingSince.Add(s.policy.CheckpointTimeout))
		}
	case api.TaskStateDone:
		s.completeTask(t)
	case api.TaskStateFailed:
		t.job.unfinished--
		t.state = taskFailed
		s.removeIfFinished(t.job)
	case api.TaskStateCanceled:
		t.job.unfinished--
		t.state = taskCanceled
		s.removeIfFinished(t.job)
	}
	return nil
}

// HoldUnfenced keeps a task allocated that may still run on a VM that cannot be
// fenced, so that it is not placed elsewhere. Unless TaskStarted or TaskExited is
// called for it or the VM is removed before, the task counts as lost at until, or
// never if until is the zero time.
func (s *State) HoldUnfenced(id TaskID, vmID string, until time.Time) error {
	t := s.findTask(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "task", "task %q is not part of a submitted job", id)
	}
	if t.occupiesVM() && t.vm.ID != vmID {
		s.deallocate(t)
		t.state = taskWaiting
	}
	s.removePending(t)
	t.job.placements++
	t.timerGeneration++
	if t.occupiesVM() {
		s.setReleasing(t, false)
		t.state = taskUnfenced
	} else {
		s.restoreAllocation(t, vmID, taskUnfenced)
	}
	if !until.IsZero() {
		s.addTimer(timer{at: until, kind: timerUnfencedTask, task: t, generation: t.timerGeneration})
	}
	return nil
}

// removePending removes a task that occupies no VM from the queue. All members
// of a gang are removed together.
func (s *State) removePending(t *task) {
	if t.state != taskPending {
		return
	}
	if t.job.isGang() {
		s.dropAllPending(t.job, taskWaiting)
		s.queueStop(t.job)
		return
	}
	s.dropPending(t)
	t.state = taskWaiting
}

// restoreAllocation allocates a task on the VM that it is recorded on, and adds
// the VM if it is unknown.
func (s *State) restoreAllocation(t *task, vmID string, state taskState) {
	v, ok := s.vms[vmID]
	if !ok {
		v = s.addVM(vmID)
	}
	t.state = state
	s.allocate(t, v, t.job.size)
	s.setReleasing(t, state == taskStopping)
}
