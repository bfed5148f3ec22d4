package integration

import (
	"fmt"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
)

// tracker follows what runs on the VMs, by the history. It is for one goroutine.
type tracker struct {
	recorder *history.Recorder
	seen     int64
	work     map[string]history.Record // starts of what runs
	starts   []history.Record          // all starts so far
}

func (c *Cell) tracker() *tracker {
	return &tracker{recorder: c.Recorder, work: map[string]history.Record{}}
}

// update takes the records in that were added since the last call.
func (k *tracker) update() *tracker {
	for _, r := range k.recorder.RecordsAfter(k.seen) {
		k.seen = r.Seq
		id := fmt.Sprint(r.Run, r.Task, r.Attempt, r.VM)
		switch r.Kind {
		case history.TaskStart, history.RequestStart:
			k.work[id] = r
			k.starts = append(k.starts, r)
		case history.TaskStop, history.RequestEnd:
			delete(k.work, id)
		case history.VMGone:
			for id, w := range k.work {
				if w.VM == r.VM {
					delete(k.work, id)
				}
			}
		}
	}
	return k
}

// usage returns what a team runs.
func (k *tracker) usage(team string) (sum api.Resources) {
	for _, r := range k.update().work {
		if r.Team != team {
			continue
		}
		sum.Accelerators += r.Resources.Accelerators
		sum.CpuMillis += r.Resources.CpuMillis
		sum.MemoryMb += r.Resources.MemoryMb
		if r.Run > 0 {
			sum.Slots++
		}
	}
	return sum
}

// within reports whether no resource exceeds its limit.
func within(used, limit api.Resources) bool {
	return used.Accelerators <= limit.Accelerators && used.CpuMillis <= limit.CpuMillis &&
		used.MemoryMb <= limit.MemoryMb && used.Slots <= limit.Slots
}

// running returns the VMs on which tasks of a job run, by task.
func (k *tracker) running(j *Job) map[string]string {
	out := map[string]string{}
	for _, r := range k.update().work {
		if r.Task != "" && r.Team == j.team && jobOf(r.Task) == j.in.Id {
			out[r.Task] = r.VM
		}
	}
	return out
}

// startsOf returns the starts on VMs that a function selects, after a time.
func (k *tracker) startsOf(after time.Duration, match func(history.Record) bool) []history.Record {
	var out []history.Record
	for _, r := range k.update().starts {
		if r.At > after && match(r) {
			out = append(out, r)
		}
	}
	return out
}
