package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Restore sets the recorded state of a task after a takeover. The job must have
// been submitted. A task that is starting, running or stopping is held on the
// VM, whether or not it still fits there.
func (c *Cell) Restore(id TaskID, vmID string, attempt int, state api.TaskState, started time.Time) error {
	t := c.find(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "task", "task %q is not part of a submitted job", id)
	}
	if t.held() {
		c.vacate(t)
		t.state = taskWaiting
	}
	t.attempt = max(t.attempt, attempt)
	if state == api.TaskStatePending {
		return nil
	}
	c.unqueue(t)
	t.job.placements++
	t.started = started
	t.placedAt = started
	t.timer++
	switch state {
	case api.TaskStateStarting:
		c.adopt(t, vmID, taskPlaced)
	case api.TaskStateRunning:
		c.adopt(t, vmID, taskRunning)
	case api.TaskStateStopping:
		c.adopt(t, vmID, taskStopping)
	case api.TaskStateDone:
		c.done(t)
	case api.TaskStateFailed:
		t.job.open--
		t.state = taskFailed
		c.finish(t.job)
	case api.TaskStateCanceled:
		t.job.open--
		t.state = taskCanceled
		c.finish(t.job)
	}
	return nil
}

// Hold keeps a task that may still run on a VM that cannot be fenced from being
// placed elsewhere. It counts as lost at the given time; with the zero time it
// is held until its TaskStarted or TaskExited or the removal of the VM.
func (c *Cell) Hold(id TaskID, vmID string, until time.Time) error {
	t := c.find(id)
	if t == nil {
		return errkind.New(errkind.NotFound, "task", "task %q is not part of a submitted job", id)
	}
	if t.held() && t.vm.ID != vmID {
		c.vacate(t)
		t.state = taskWaiting
	}
	c.unqueue(t)
	t.job.placements++
	t.timer++
	if t.held() {
		c.setReleasing(t, false)
		t.state = taskHeld
	} else {
		c.adopt(t, vmID, taskHeld)
	}
	if !until.IsZero() {
		c.addTimer(timer{at: until, kind: timerHold, task: t, gen: t.timer})
	}
	return nil
}

// unqueue takes a task that is not held out of the queue. All members of a gang
// leave it together.
func (c *Cell) unqueue(t *task) {
	if t.state != taskPending {
		return
	}
	if t.job.gang() {
		c.dropAllPending(t.job, taskWaiting)
		c.toControl(t.job)
		return
	}
	c.dropPending(t)
	t.state = taskWaiting
}

// adopt counts a task on a VM that it is known to be on.
func (c *Cell) adopt(t *task, vmID string, state taskState) {
	v, ok := c.vms[vmID]
	if !ok {
		v = c.addVM(vmID)
	}
	t.state = state
	c.occupy(t, v, t.job.size)
	c.setReleasing(t, state == taskStopping)
}
