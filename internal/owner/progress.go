package owner

import (
	"errors"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// errNoProgress means that the progress of a stored work can't be read.
var errNoProgress = errors.New("the work has no readable progress row")

// unknownWorker is the ID of the worker on which the tasks of a work with unknown
// progress count as running. No worker registers under it.
const (
	unknownWorker      = "unknown"
	unknownWorkerStart = 1 // Unix time in milliseconds
)

// unknownProgress returns the progress of a work of which only the work row is known.
// Each task that is due counts as running on a worker that does not answer. So it is not
// started before the leases of earlier owners have expired, and then with a higher
// attempt number than any worker knows: no owner makes as many attempts of a task as the
// epoch rises. Tasks that were done run again.
func (t *tenure) unknownProgress(w *api.WorkSpec) *api.ProgressRow {
	row := &api.ProgressRow{State: api.WorkStateRunning, Team: w.Team, Queue: w.Queue}
	for n := range dueOccurrences(w, t.options.Clock.Now()) {
		for step := range w.Steps {
			for index := range w.Steps[step].Count {
				row.Tasks = append(row.Tasks, api.TaskProgress{
					Occurrence: n, Step: step, Index: index, Phase: api.TaskPhasePlaced,
					Attempt: t.epoch, Worker: unknownWorker, BornUnixMs: unknownWorkerStart,
				})
			}
		}
	}
	return row
}

// dueOccurrences returns the number of occurrences of a work that are due.
func dueOccurrences(w *api.WorkSpec, now time.Time) int {
	if w.RepeatCount <= 0 {
		return 1
	}
	count := 0
	for count < w.RepeatCount && int64(w.StartAtUnixMs+count*w.IntervalMs) <= now.UnixMilli() {
		count++
	}
	return count
}
