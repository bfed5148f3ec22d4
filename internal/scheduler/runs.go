package scheduler

import (
	"sort"
	"time"
)

// taskRun is one attempt of a task on a VM. Entries of ended attempts are
// removed lazily.
type taskRun struct {
	task      *task
	attempt   int
	startedAt time.Time
}

// taskRunList holds the runs of a team, sorted by start unless unsorted is set.
type taskRunList struct {
	runs         []taskRun
	currentCount int // runs that have not ended
	unsorted     bool
}

// minCompactedRuns is the minimum length of a list from which ended runs are
// removed.
const minCompactedRuns = 64

// isCurrent reports whether the run has not ended.
func (r taskRun) isCurrent() bool { return r.task.occupiesVM() && r.task.attempt == r.attempt }

// addRun records that the task occupies a VM since the given time.
func (t *team) addRun(task *task, at time.Time) {
	l := &t.runs
	if n := len(l.runs); n > 0 && l.runs[n-1].startedAt.After(at) {
		l.unsorted = true
	}
	l.runs = append(l.runs, taskRun{task: task, attempt: task.attempt, startedAt: at})
	l.currentCount++
}

// endRun records the end of a run. It removes the ended runs once they are at
// least half of the list.
func (t *team) endRun() {
	l := &t.runs
	l.currentCount--
	if len(l.runs) < minCompactedRuns || l.currentCount > len(l.runs)/2 {
		return
	}
	kept := l.runs[:0]
	for _, r := range l.runs {
		if r.isCurrent() {
			kept = append(kept, r)
		}
	}
	clear(l.runs[len(kept):])
	l.runs = kept
}

// sortedRuns returns the runs of the team, the most recently started last. It
// may include ended runs.
func (s *State) sortedRuns(t *team) []taskRun {
	l := &t.runs
	if l.unsorted {
		sort.SliceStable(l.runs, func(i, k int) bool { return l.runs[i].startedAt.Before(l.runs[k].startedAt) })
		l.unsorted = false
	}
	return l.runs
}
