package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// RestoreTask sets the recorded state of a task after a takeover. Its job must have
// been added before. A task that is starting, running or stopping is allocated
// on the VM even if it does not fit there.
func (c *State) RestoreTask(id TaskID, vmID string, attempt int, state api.TaskState, started time.Time) error {
	t := c.findTask(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "task", "task %q is not part of a submitted job", id)
	}
	if t.occupiesVM() {
		c.deallocate(t)
		t.state = taskWaiting
	}
	t.attempt = max(t.attempt, attempt)
	if state == api.TaskStatePending {
		return nil
	}
	c.removePending(t)
	t.job.placements++
	t.started = started
	t.placedAt = started
	t.timerGeneration++
	switch state {
	case api.TaskStateStarting:
		c.restoreAllocation(t, vmID, taskPlaced)
	case api.TaskStateRunning:
		c.restoreAllocation(t, vmID, taskRunning)
	case api.TaskStateStopping:
		c.restoreAllocation(t, vmID, taskStopping)
	case api.TaskStateDone:
		c.completeTask(t)
	case api.TaskStateFailed:
		t.job.unfinished--
		t.state = taskFailed
		c.removeIfFinished(t.job)
	case api.TaskStateCanceled:
		t.job.unfinished--
		t.state = taskCanceled
		c.removeIfFinished(t.job)
	}
	return nil
}

// HoldUnfenced prevents a task that may still run on a VM that cannot be fenced from
// being placed elsewhere. The task counts as lost at until; with the zero time
// it stays allocated until its TaskStarted or TaskExited or the removal of the
// VM.
func (c *State) HoldUnfenced(id TaskID, vmID string, until time.Time) error {
	t := c.findTask(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "task", "task %q is not part of a submitted job", id)
	}
	if t.occupiesVM() && t.vm.ID != vmID {
		c.deallocate(t)
		t.state = taskWaiting
	}
	c.removePending(t)
	t.job.placements++
	t.timerGeneration++
	if t.occupiesVM() {
		c.setReleasing(t, false)
		t.state = taskUnfenced
	} else {
		c.restoreAllocation(t, vmID, taskUnfenced)
	}
	if !until.IsZero() {
		c.addTimer(timer{at: until, kind: timerUnfencedTask, task: t, generation: t.timerGeneration})
	}
	return nil
}

// removePending removes a task that occupies no VM from the queue. All members
// of a gang are removed together.
func (c *State) removePending(t *task) {
	if t.state != taskPending {
		return
	}
	if t.job.isGang() {
		c.dropAllPending(t.job, taskWaiting)
		c.queueStop(t.job)
		return
	}
	c.dropPending(t)
	t.state = taskWaiting
}

// restoreAllocation allocates a task on the VM that it is recorded on, and adds
// the VM if it is unknown.
func (c *State) restoreAllocation(t *task, vmID string, state taskState) {
	v, ok := c.vms[vmID]
	if !ok {
		v = c.addVM(vmID)
	}
	t.state = state
	c.allocate(t, v, t.job.size)
	c.setReleasing(t, state == taskStopping)
}
