package integration

import (
	"fmt"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
)

// tracker derives from the recorded history which tasks and requests run on the VMs. It
// is not safe for concurrent use.
type tracker struct {
	recorder *history.Recorder
	lastSeq  int64
	running  map[string]history.Record // start record of each running task and request
	starts   []history.Record          // all start records so far
}

func (c *Cell) newTracker() *tracker {
	return &tracker{recorder: c.Recorder, running: map[string]history.Record{}}
}

// update processes the records that were added since the last call.
func (tr *tracker) update() *tracker {
	for _, r := range tr.recorder.RecordsAfter(tr.lastSeq) {
		tr.lastSeq = r.Seq
		id := fmt.Sprint(r.Run, r.Task, r.Attempt, r.VM)
		switch r.Kind {
		case history.TaskStart, history.RequestStart:
			tr.running[id] = r
			tr.starts = append(tr.starts, r)
		case history.TaskStop, history.RequestEnd:
			delete(tr.running, id)
		case history.VMGone:
			for id, w := range tr.running {
				if w.VM == r.VM {
					delete(tr.running, id)
				}
			}
		}
	}
	return tr
}

// usage returns the declared resources of all running tasks and requests of a team.
func (tr *tracker) usage(team string) (sum api.Resources) {
	for _, r := range tr.update().running {
		if r.Team != team {
			continue
		}
		sum = addResources(sum, r.Resources)
		if r.Run > 0 {
			sum.Slots++
		}
	}
	return sum
}

func addResources(a, b api.Resources) api.Resources {
	a.Accelerators += b.Accelerators
	a.CpuMillis += b.CpuMillis
	a.MemoryMb += b.MemoryMb
	a.Slots += b.Slots
	return a
}

// withinLimit reports whether every resource is within its limit.
func withinLimit(used, limit api.Resources) bool {
	return used.Accelerators <= limit.Accelerators && used.CpuMillis <= limit.CpuMillis &&
		used.MemoryMb <= limit.MemoryMb && used.Slots <= limit.Slots
}

// runningTasks returns the VM of each running task of a job.
func (tr *tracker) runningTasks(j *Job) map[string]string {
	out := map[string]string{}
	for _, r := range tr.update().running {
		if r.Task != "" && r.Team == j.team && jobIDOf(r.Task) == j.submission.Id {
			out[r.Task] = r.VM
		}
	}
	return out
}

// startsAfter returns the start records later than the time after for which match returns
// true.
func (tr *tracker) startsAfter(after time.Duration, match func(history.Record) bool) []history.Record {
	var out []history.Record
	for _, r := range tr.update().starts {
		if r.At > after && match(r) {
			out = append(out, r)
		}
	}
	return out
}
