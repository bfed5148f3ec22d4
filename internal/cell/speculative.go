package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Times after which a speculative run is copied.
const (
	copyAfterUnresponsive = 250 * time.Millisecond // since its worker stopped responding
	copyAfterStall        = 700 * time.Millisecond // since its last progress
)

// placeSpeculativeCopies places copies of speculative runs that make no progress or whose
// worker does not respond, unless the requests for evacuation are not known. The first run that
// is done completes the task.
func (c *Cell) placeSpeculativeCopies() {
	if !c.evacuationsKnown() {
		return
	}
	for _, w := range c.fleet {
		unresponsive := w.unresponsiveSince != 0 && c.now-w.unresponsiveSince >= copyAfterUnresponsive
		for _, r := range w.runs {
			if !r.task.step.spec.Speculative || len(r.task.runs) > 1 || r.redundant || r.phase != runActive || !c.recordHasRoom(r.task.step, 1) {
				continue
			}
			if unresponsive || c.noProgressFor(r, copyAfterStall) {
				c.placeCopy(r)
			}
		}
	}
}

// placeCopy places a copy of a run on another worker, if there is room.
func (c *Cell) placeCopy(r *run) {
	t, s := r.task, r.task.step
	if isTerminal(s.work.state) || !s.work.team.allows(s.size) {
		return
	}
	w, ticket := c.chooseWorker(s, t)
	if w == nil || w == r.worker {
		return
	}
	c.logRun(event.SpeculativeRunStarted, r, "to", w.info.ID)
	c.placeTask(t, w, t.attempt+1, ticket)
	c.logPlaced(s)
}

// noProgressFor reports whether the worker of a run responds and has reported no progress
// of the run for longer than the limit.
func (c *Cell) noProgressFor(r *run, limit time.Duration) bool {
	return r.worker.unresponsiveSince == 0 && r.worker.reportedAt-r.progressAt > limit
}
