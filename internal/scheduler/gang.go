package scheduler

import "time"

// breakGang has the remaining members of a gang stopped after one has ended
// without success. The gang starts again as a whole, not before the given time.
func (c *Cell) breakGang(j *job, retry time.Time) {
	j.broken = true
	if retry.After(j.retryAt) {
		j.retryAt = retry
	}
	if j.holding > 0 {
		c.toControl(j)
	}
	c.settleGang(j, retry)
}

// settleGang starts the wait for the retry of a broken gang once no member of it
// is held.
func (c *Cell) settleGang(j *job, now time.Time) {
	if !j.gang() || !j.broken || j.ended || j.holding > 0 || j.open == 0 {
		return
	}
	if !j.retryAt.After(now) {
		c.requeueGang(j)
		return
	}
	c.addTimer(timer{at: j.retryAt, kind: timerGang, job: j, gen: int64(j.starts)})
}

// requeueGang makes all unfinished members of the gang pending.
func (c *Cell) requeueGang(j *job) {
	if !j.broken || j.ended || j.holding > 0 {
		return
	}
	j.broken = false
	j.retryAt = time.Time{}
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskWaiting {
			c.makePending(&j.tasks[i])
		}
	}
}

// incomplete reports whether the gang holds some but not all of its unfinished
// tasks.
func (j *job) incomplete() bool {
	return j.gang() && j.holding > 0 && j.holding < j.open
}
