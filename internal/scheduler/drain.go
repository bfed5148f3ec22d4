package scheduler

import "github.com/endivehill/endivehill/internal/api"

// maxDownDivisor limits how many tasks of a service are down while they are moved
// off leaving VMs: its number of tasks divided by maxDownDivisor, at least one.
const maxDownDivisor = 4

// drainLeavingVMs stops tasks on leaving VMs that can continue elsewhere. Tasks of
// batch jobs and gangs that cannot be checkpointed run to their end.
func (s *State) drainLeavingVMs() {
	for _, v := range s.leavingVMs {
		for i := 0; i < len(v.tasks) && s.remainingDecisions() > 0; i++ {
			if t := v.tasks[i]; t.state == taskRunning && s.movable(t) {
				s.preemptTask(t, s.stopKind(t, false), "the VM is leaving", false)
			}
		}
	}
}

// movable reports whether the task should be stopped now to continue on another
// VM.
func (s *State) movable(t *task) bool {
	j := t.job
	if j.ended || j.restarting {
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
	return down < max(1, j.Tasks/maxDownDivisor) && s.chooseVM(j) != nil
}

// overfull reports whether the tasks on the VM, without those being stopped,
// exceed its capacity. This happens after its capacity was lowered or after a
// takeover.
func (v *vm) overfull() bool { return !v.allocated.sub(v.releasing).fits(v.capacity) }

// stopOnOverfullVMs stops tasks on overfull VMs, batch and gangs before
// services, and the most recently placed first.
func (s *State) stopOnOverfullVMs() {
	list := s.overfullVMs
	s.overfullVMs = nil
	for _, v := range list {
		for s.remainingDecisions() > 0 && s.vms[v.ID] == v && v.overfull() {
			t := v.firstToStop()
			if t == nil {
				break
			}
			s.preemptTask(t, s.stopKind(t, false), "the tasks on the VM exceed its capacity", false)
		}
		if s.remainingDecisions() <= 0 && v.overfull() {
			s.overfullVMs = append(s.overfullVMs, v)
		}
	}
}

// firstToStop returns the task that is stopped first on an overfull VM, or nil.
func (v *vm) firstToStop() *task {
	var best *task
	excess := v.allocated.sub(v.releasing).sub(v.capacity)
	for _, t := range v.tasks {
		if t.stoppable() && t.reducesExcess(excess) && (best == nil || t.stopsBefore(best)) {
			best = t
		}
	}
	return best
}

// stopsBefore reports whether the task is stopped before o on an overfull VM.
func (t *task) stopsBefore(o *task) bool {
	if service := t.job.Class == api.ClassService; service != (o.job.Class == api.ClassService) {
		return !service
	}
	if !t.placedAt.Equal(o.placedAt) {
		return t.placedAt.After(o.placedAt)
	}
	return t.id < o.id
}
