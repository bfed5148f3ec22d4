package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// longestAbsence returns the longest time for which a task of a step has had no active run.
func (c *Cell) longestAbsence(s *step) time.Duration {
	longest := time.Duration(0)
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.active() {
			longest = max(longest, c.absence(t))
		}
	}
	return longest
}

// absence returns the time since the last active run of a task, under this owner or an earlier
// one, or since its step has waited if it has had none.
func (c *Cell) absence(t *task) time.Duration {
	if t.lastActiveAt == 0 {
		return c.now - t.step.waitingSince()
	}
	return c.now - t.lastActiveAt
}

// maxInactiveTasks bounds the tasks of a work whose absence is recorded, and so the size of the
// record.
const maxInactiveTasks = 256

// appendInactive appends since when a long-running task has had no active run, if it has had one.
func (c *Cell) appendInactive(out []api.InactiveTask, t *task) []api.InactiveTask {
	s := t.step
	if !s.spec.LongRunning || t.lastActiveAt == 0 || t.active() || len(out) >= maxInactiveTasks {
		return out
	}
	since := c.wall.Add(t.lastActiveAt - c.now)
	return append(out, api.InactiveTask{
		Occurrence: s.occurrence.number, Step: s.number, Index: t.index, SinceUnixMs: int(since.UnixMilli()),
	})
}

// maxRestoredAbsence bounds the absence that a record shows, which is wrong if the clocks of the
// nodes differ.
const maxRestoredAbsence = time.Minute

// restoreInactive restores the end of the last active run of a task.
func (c *Cell) restoreInactive(aw *activeWork, in *api.InactiveTask) {
	t := aw.task(in.Occurrence, in.Step, in.Index)
	if t == nil {
		return
	}
	absence := c.wall.Sub(time.UnixMilli(int64(in.SinceUnixMs)))
	t.lastActiveAt = c.now - min(max(0, absence), maxRestoredAbsence)
}

// active reports whether a worker has confirmed a run of the task that has not ended.
func (t *task) active() bool {
	for _, r := range t.runs {
		if r.activeAt != 0 {
			return true
		}
	}
	return false
}

// longestLongRunningAbsence returns the longest time for which a long-running task has had
// no active run.
func (c *Cell) longestLongRunningAbsence() time.Duration {
	longest := time.Duration(0)
	for _, s := range c.longRunningSteps() {
		longest = max(longest, c.longestAbsence(s))
	}
	return longest
}
