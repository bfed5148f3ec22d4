package scheduler

import (
	"fmt"
	"time"
)

// queuedDecision is a decision for the next Schedule call, which emits it if it
// still applies.
type queuedDecision struct {
	task       *task
	attempt    int
	kind       DecisionKind
	cpuPercent int
	reason     string
}

const (
	// percentUnthrottled lifts a throttle.
	percentUnthrottled = 100
	// criticalMemoryFraction is the fraction of the memory of a VM in use above
	// which an oversized task is stopped without waiting for the throttle to
	// take effect.
	criticalMemoryFraction = 0.95
)

// ReportUsage records the measured usage of the tasks on a VM. The measurement
// may be old.
func (s *State) ReportUsage(vmID string, usage []TaskUsage, now time.Time) {
	v, ok := s.vms[vmID]
	if !ok {
		return
	}
	var vmUsage resourceVec
	for _, u := range usage {
		vmUsage = vmUsage.add(toResourceVec(u.Usage))
	}
	for _, u := range usage {
		t := s.findTask(u.Task)
		if t == nil || t.vm != v || t.attempt != u.Attempt || !t.stoppable() {
			continue
		}
		used := toResourceVec(u.Usage)
		t.peak = t.peak.max(used)
		if !s.growAllocation(t, t.peak) {
			s.growAllocation(t, used)
		}
		s.checkOversized(t, used, vmUsage, now)
	}
}

// growAllocation raises the allocation of the task to its usage if its VM and
// the budget of its team allow it, and reports whether the allocation covers
// the usage.
func (s *State) growAllocation(t *task, used resourceVec) bool {
	v, tm := t.vm, t.job.team
	more := used.max(t.size).sub(t.size)
	if more == (resourceVec{}) {
		return true
	}
	if !more.fits(v.available.max(resourceVec{})) || !tm.withinBudget(more) {
		return false
	}
	t.size = t.size.add(more)
	v.allocated = v.allocated.add(more)
	tm.allocated = tm.allocated.add(more)
	s.updateShare(tm)
	s.updateAvailable(v)
	return true
}

// checkOversized throttles a task that exceeds its size by more than the
// tolerance, and stops it if the throttle does not help in time, or at once if
// the memory of the VM runs out. The VM accepts no new tasks while the task
// exceeds its size.
func (s *State) checkOversized(t *task, used, vmUsage resourceVec, now time.Time) {
	if used.fits(s.withTolerance(t.size)) {
		s.clearOversized(t)
		if t.peak.fits(s.withTolerance(t.size)) {
			s.unthrottle(t)
		}
		return
	}
	t.job.peak = t.job.peak.max(used)
	t.job.sizeVersion = staleSizeVersion
	if t.oversizedSince.IsZero() {
		t.oversizedSince = now
		t.vm.oversizedTasks++
		s.updateAvailable(t.vm)
	}
	if !t.throttled {
		t.throttled = true
		s.queuedDecisions = append(s.queuedDecisions, queuedDecision{t, t.attempt, DecisionThrottle, s.policy.ThrottlePercent, "the task uses more than its size"})
	}
	memoryCritical := float64(vmUsage[dimMemory]) > criticalMemoryFraction*float64(t.vm.capacity[dimMemory]) && used[dimMemory] > t.size[dimMemory]
	if memoryCritical || now.Sub(t.oversizedSince) >= s.policy.ThrottleGrace {
		s.stopOversized(t)
	}
}

// stopOversized stops the task. Its next attempt gets its peak usage as its
// size. A task that keeps exceeding its size fails its job.
func (s *State) stopOversized(t *task) {
	if t.oversizedStopAttempt == t.attempt {
		return
	}
	t.oversizedStopAttempt = t.attempt
	t.oversizedStops++
	if t.oversizedStops >= t.job.MaxAttempts && !t.job.ended {
		s.failJob(t.job, fmt.Sprintf("task %q outgrew its size %d times", t.id, t.oversizedStops))
		return
	}
	s.queuedDecisions = append(s.queuedDecisions, queuedDecision{t, t.attempt, s.stopKind(t, false), 0, "the task uses more than its size"})
}

// clearOversized records that the task is within its size.
func (s *State) clearOversized(t *task) {
	if !t.oversizedSince.IsZero() {
		t.oversizedSince = time.Time{}
		t.vm.oversizedTasks--
		s.updateAvailable(t.vm)
	}
}

// unthrottle lifts the throttle of a task. Its size must cover its peak usage, or
// it would exceed its size again without the throttle.
func (s *State) unthrottle(t *task) {
	if !t.throttled {
		return
	}
	t.throttled = false
	s.queuedDecisions = append(s.queuedDecisions, queuedDecision{t, t.attempt, DecisionThrottle, percentUnthrottled, "the task is within its size"})
}

// withTolerance returns the size plus the tolerated excess.
func (s *State) withTolerance(size resourceVec) resourceVec {
	for d := range size {
		size[d] += int64(s.policy.UsageTolerance * float64(size[d]))
	}
	return size
}

// emitQueuedDecisions emits the queued decisions that still apply.
func (s *State) emitQueuedDecisions() {
	n := 0
	for n < len(s.queuedDecisions) && s.remainingDecisions() > 0 {
		s.emitQueuedDecision(s.queuedDecisions[n])
		n++
	}
	rest := copy(s.queuedDecisions, s.queuedDecisions[n:])
	clear(s.queuedDecisions[rest:])
	s.queuedDecisions = s.queuedDecisions[:rest]
}

func (s *State) emitQueuedDecision(d queuedDecision) {
	t := d.task
	if !t.occupiesVM() || t.attempt != d.attempt {
		return
	}
	switch {
	case d.kind == DecisionThrottle && t.stoppable():
		s.emit(Decision{Kind: DecisionThrottle, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Percent: d.cpuPercent, Reason: d.reason})
	case d.kind == DecisionStop && t.state == taskStopping && !t.checkpointAborted:
		t.checkpointAborted = true
		s.emit(Decision{Kind: DecisionStop, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Reason: d.reason})
	case d.kind != DecisionThrottle && t.stoppable():
		s.preemptTask(t, d.kind, d.reason, false)
	}
}
