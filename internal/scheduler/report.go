package scheduler

import (
	"fmt"
	"time"
)

// action is a decision to be made by the next Schedule, if it still applies.
type action struct {
	task    *task
	attempt int
	kind    Kind
	percent int
	reason  string
}

const (
	percentUnlimited = 100
	// crowded is the fraction of the memory of a VM above which a task that has
	// outgrown its size is stopped without waiting for the throttle to help.
	crowded = 0.95
)

// Report takes the measured usage of the tasks on a VM. It may be old.
func (c *Cell) Report(vmID string, usage []TaskUsage, now time.Time) {
	v, ok := c.vms[vmID]
	if !ok {
		return
	}
	var sum vec
	for _, u := range usage {
		sum = sum.add(toVec(u.Usage))
	}
	for _, u := range usage {
		t := c.find(u.Task)
		if t == nil || t.vm != v || t.attempt != u.Attempt || !t.stoppable() {
			continue
		}
		used := toVec(u.Usage)
		t.peak = t.peak.max(used)
		if !c.grow(t, t.peak) {
			c.grow(t, used)
		}
		c.checkGrowth(t, used, sum, now)
	}
}

// grow counts the task for its measured usage if its VM and the budget of its
// team have room, and reports whether it is counted for all of it.
func (c *Cell) grow(t *task, used vec) bool {
	v, tm := t.vm, t.job.team
	more := used.max(t.size).sub(t.size)
	if more == (vec{}) {
		return true
	}
	if !more.fits(v.avail.max(vec{})) || !tm.withinBudget(more) {
		return false
	}
	t.size = t.size.add(more)
	v.held = v.held.add(more)
	tm.used = tm.used.add(more)
	c.updateShare(tm)
	c.refresh(v)
	return true
}

// checkGrowth throttles a task that has outgrown its size and stops it if that
// does not help in time, or at once if the memory of the VM runs out. While the
// task is over its size its VM takes no new work.
func (c *Cell) checkGrowth(t *task, used, sum vec, now time.Time) {
	if used.fits(c.withSlack(t.size)) {
		c.contain(t)
		if t.peak.fits(c.withSlack(t.size)) {
			c.unthrottle(t)
		}
		return
	}
	t.job.peak = t.job.peak.max(used)
	t.job.sizeVersion = staleSize
	if t.outgrownAt.IsZero() {
		t.outgrownAt = now
		t.vm.outgrown++
		c.refresh(t.vm)
	}
	if !t.throttled {
		t.throttled = true
		c.actions = append(c.actions, action{t, t.attempt, Throttle, c.policy.ThrottlePercent, "the task uses more than its size"})
	}
	full := float64(sum[dimMemory]) > crowded*float64(t.vm.capacity[dimMemory]) && used[dimMemory] > t.size[dimMemory]
	if full || now.Sub(t.outgrownAt) >= c.policy.ThrottleGrace {
		c.stopOutgrown(t)
	}
}

// stopOutgrown has the task stopped. Its next start counts it for its peak; a
// task that keeps outgrowing what can be given to it fails.
func (c *Cell) stopOutgrown(t *task) {
	if t.outgrownAttempt == t.attempt {
		return
	}
	t.outgrownAttempt = t.attempt
	t.outgrown++
	if t.outgrown >= t.job.MaxAttempts && !t.job.ended {
		c.fail(t.job, fmt.Sprintf("task %q outgrew its size %d times", t.id, t.outgrown))
		return
	}
	c.actions = append(c.actions, action{t, t.attempt, c.stopKind(t, false), 0, "the task uses more than its size"})
}

// contain records that the task is within its size.
func (c *Cell) contain(t *task) {
	if !t.outgrownAt.IsZero() {
		t.outgrownAt = time.Time{}
		t.vm.outgrown--
		c.refresh(t.vm)
	}
}

// unthrottle lifts the throttle of a task that is counted for all that it uses
// without one.
func (c *Cell) unthrottle(t *task) {
	if !t.throttled {
		return
	}
	t.throttled = false
	c.actions = append(c.actions, action{t, t.attempt, Throttle, percentUnlimited, "the task is within its size"})
}

// withSlack returns the size with the slack that is tolerated.
func (c *Cell) withSlack(size vec) vec {
	for d := range size {
		size[d] += int64(c.policy.GrowthSlack * float64(size[d]))
	}
	return size
}

// takeActions emits the decisions that were found necessary since the last pass.
func (c *Cell) takeActions() {
	n := 0
	for n < len(c.actions) && c.left() > 0 {
		c.act(c.actions[n])
		n++
	}
	rest := copy(c.actions, c.actions[n:])
	clear(c.actions[rest:])
	c.actions = c.actions[:rest]
}

func (c *Cell) act(a action) {
	t := a.task
	if !t.held() || t.attempt != a.attempt {
		return
	}
	switch {
	case a.kind == Throttle && t.stoppable():
		c.emit(Decision{Kind: Throttle, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Percent: a.percent, Reason: a.reason})
	case a.kind == Stop && t.state == taskStopping && !t.hardStop:
		t.hardStop = true
		c.emit(Decision{Kind: Stop, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Reason: a.reason})
	case a.kind != Throttle && t.stoppable():
		c.preemptTask(t, a.kind, a.reason, false)
	}
}
