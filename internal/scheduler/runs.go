package scheduler

import (
	"sort"
	"time"
)

// run is a start of a task. Runs that have ended are removed lazily.
type run struct {
	task    *task
	attempt int
	at      time.Time
}

// runList is the runs of a team in order of their start.
type runList struct {
	list     []run
	live     int
	unsorted bool
}

// minRuns is the length below which ended runs are not worth removing.
const minRuns = 64

// current reports whether the run has not ended.
func (r run) current() bool { return r.task.held() && r.task.attempt == r.attempt }

// addRun records that the task is held since the given time.
func (t *team) addRun(task *task, at time.Time) {
	l := &t.runs
	if n := len(l.list); n > 0 && l.list[n-1].at.After(at) {
		l.unsorted = true
	}
	l.list = append(l.list, run{task: task, attempt: task.attempt, at: at})
	l.live++
}

// endRun records that a run has ended.
func (t *team) endRun() {
	l := &t.runs
	l.live--
	if len(l.list) < minRuns || l.live > len(l.list)/2 {
		return
	}
	kept := l.list[:0]
	for _, r := range l.list {
		if r.current() {
			kept = append(kept, r)
		}
	}
	clear(l.list[len(kept):])
	l.list = kept
}

// runsOf returns the runs of the team, the most recently started last. Some of
// them may have ended.
func (c *Cell) runsOf(t *team) []run {
	l := &t.runs
	if l.unsorted {
		sort.SliceStable(l.list, func(i, k int) bool { return l.list[i].at.Before(l.list[k].at) })
		l.unsorted = false
	}
	return l.list
}
