package scheduler

import "time"

// Report takes the measured usage of the tasks on a VM. It may be old.
func (c *Cell) Report(vmID string, usage []TaskUsage, now time.Time) {
	for _, u := range usage {
		t := c.find(u.Task)
		if t == nil || !t.held() || t.vm.ID != vmID || t.attempt != u.Attempt {
			continue
		}
		c.measure(t, toVec(u.Usage), now)
	}
}

// measure counts a task for its measured usage as far as its VM and the budget
// of its team have room.
func (c *Cell) measure(t *task, usage vec, _ time.Time) {
	v, tm := t.vm, t.job.team
	more := usage.max(t.size).sub(t.size)
	if more == (vec{}) || !more.fits(v.avail) || !tm.withinBudget(more) {
		return
	}
	t.size = t.size.add(more)
	v.held = v.held.add(more)
	tm.used = tm.used.add(more)
	c.updateShare(tm)
	c.refresh(v)
}
