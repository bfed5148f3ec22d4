package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// When a run that makes no progress is copied.
const (
	copyAfterSilence = 250 * time.Millisecond // of its worker
	copyAfterStall   = 700 * time.Millisecond // without progress
)

// placeCopies starts copies of speculative runs on workers that are silent or on
// which they stand still. The first copy that is done counts.
func (c *Cell) placeCopies() {
	for _, w := range c.fleet {
		silent := w.silentSince != 0 && c.now-w.silentSince >= copyAfterSilence
		for _, r := range w.runs {
			if !r.task.step.spec.Speculative || len(r.task.runs) > 1 || r.discard || r.phase != runActive {
				continue
			}
			if silent || c.standsStill(r, copyAfterStall) {
				c.placeCopy(r)
			}
		}
	}
}

// placeCopy places a copy of a run on another worker, if there is room.
func (c *Cell) placeCopy(r *run) {
	t, s := r.task, r.task.step
	if ended(s.job.state) || !s.job.team.allows(s.size) {
		return
	}
	w, ticket := c.choose(s, t)
	if w == nil || w == r.worker {
		return
	}
	c.logRun(event.RunCopied, r, "to", w.info.ID)
	c.place(t, w, t.attempt+1, ticket)
	c.logPlaced(s)
}

// standsStill reports whether the reports of its worker show no progress of a run
// for the time.
func (c *Cell) standsStill(r *run, limit time.Duration) bool {
	return r.worker.silentSince == 0 && r.worker.reportedAt-r.movedAt > limit
}
