package owner

import (
	"time"

	"github.com/endivehill/endivehill/internal/cell"
)

// firstContactTimeout is how long after the load of the records a tenure waits for the
// first answers of the workers.
const firstContactTimeout = 100 * time.Millisecond

// firstContact tracks whether every worker has answered a poll, or failed to, since the
// start of the tenure.
type firstContact struct {
	listed  int // workers in the first list that was received
	polled  map[cell.WorkerRef]bool
	pending int // first polls without an answer
}

// pollSent notes a poll and reports whether it is the first of the worker.
func (f *firstContact) pollSent(w cell.WorkerRef) bool {
	if f.polled[w] {
		return false
	}
	if f.polled == nil {
		f.polled = map[cell.WorkerRef]bool{}
	}
	f.polled[w] = true
	f.pending++
	return true
}

func (f *firstContact) complete() bool {
	return f.listed > 0 && len(f.polled) >= f.listed && f.pending == 0
}
