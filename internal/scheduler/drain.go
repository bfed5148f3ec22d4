package scheduler

import "github.com/endivehill/endivehill/internal/api"

// movedPart is the part of the tasks of a service that is moved off leaving VMs
// at the same time, at least one task.
const movedPart = 4

// drain moves work off leaving VMs as far as it can go on elsewhere. Batch work
// that cannot be checkpointed is left to end by itself.
func (c *Cell) drain() {
	for _, v := range c.leaving {
		for i := 0; i < len(v.tasks) && c.left() > 0; i++ {
			if t := v.tasks[i]; t.state == taskRunning && c.movable(t) {
				c.preemptTask(t, c.stopKind(t, false), "the VM is leaving", false)
			}
		}
	}
}

// movable reports whether the task should be stopped now to go on elsewhere.
func (c *Cell) movable(t *task) bool {
	j := t.job
	if j.ended || j.broken {
		return false
	}
	if j.Class != api.ClassService {
		return j.Checkpointable
	}
	down := 0
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskRunning, taskDone, taskFailed, taskCanceled:
		default:
			down++
		}
	}
	return down < max(1, j.Tasks/movedPart) && c.choose(j) != nil
}

// overfull reports whether the VM holds more than its capacity, tasks being
// stopped not counted, as it may after its capacity was lowered or a takeover.
func (v *vm) overfull() bool { return !v.held.sub(v.releasing).fits(v.capacity) }

// relieve stops work on overfull VMs, batch and gangs before services and the
// most recently started first.
func (c *Cell) relieve() {
	list := c.crowded
	c.crowded = nil
	for _, v := range list {
		for c.left() > 0 && c.vms[v.ID] == v && v.overfull() {
			t := v.lastStarted()
			if t == nil {
				break
			}
			c.preemptTask(t, c.stopKind(t, false), "the VM holds more than its capacity", false)
		}
		if c.left() <= 0 && v.overfull() {
			c.crowded = append(c.crowded, v)
		}
	}
}

// lastStarted returns the task to be stopped first, nil if there is none.
func (v *vm) lastStarted() *task {
	var best *task
	lack := v.held.sub(v.releasing).sub(v.capacity)
	for _, t := range v.tasks {
		if t.stoppable() && t.helps(lack) && (best == nil || t.goesBefore(best)) {
			best = t
		}
	}
	return best
}

// goesBefore orders tasks for a stop that frees a VM.
func (t *task) goesBefore(o *task) bool {
	if service := t.job.Class == api.ClassService; service != (o.job.Class == api.ClassService) {
		return !service
	}
	if !t.placedAt.Equal(o.placedAt) {
		return t.placedAt.After(o.placedAt)
	}
	return t.id < o.id
}
