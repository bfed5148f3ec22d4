package cell

import "time"

// Throttling of opportunistic tasks that share a worker with long-running tasks that
// have a latency target.
const (
	paceInterval     = 300 * time.Millisecond // between changes on a worker
	paceRaisePercent = 20                     // step by which the pace is raised
	paceRaiseRatio   = 0.7                    // the pace is raised while the tail latency is below this share of the target
)

// adjustPaces suspends opportunistic tasks on workers where a long-running task misses
// its latency target, and raises their pace stepwise once the latency is well below it.
func (c *Cell) adjustPaces() {
	for _, w := range c.fleet {
		if w.ended || w.unresponsiveSince != 0 || w.paceReportAt == w.reportedAt || c.now-w.paceChangedAt < paceInterval {
			continue
		}
		w.paceReportAt = w.reportedAt
		worstRatio, hasTarget := worstTailRatio(w)
		if !hasTarget {
			c.setPace(w, fullPacePercent)
			continue
		}
		switch {
		case worstRatio > 1:
			c.setPace(w, 0)
		case worstRatio < paceRaiseRatio:
			c.setPace(w, min(fullPacePercent, minPace(w)+paceRaisePercent))
		}
	}
}

// worstTailRatio returns the highest ratio of tail latency to target of the long-running
// tasks on the worker, and whether there is such a task.
func worstTailRatio(w *worker) (float64, bool) {
	worstRatio, hasTarget := 0.0, false
	for _, r := range w.runs {
		target := r.task.step.spec.TargetLatencyMs
		if target > 0 && r.phase == runActive {
			hasTarget = true
			worstRatio = max(worstRatio, float64(r.usage)/float64(target))
		}
	}
	return worstRatio, hasTarget
}

// minPace returns the lowest pace of the opportunistic tasks on the worker.
func minPace(w *worker) int {
	lowest := fullPacePercent
	for _, r := range w.runs {
		if r.task.step.spec.Opportunistic {
			lowest = min(lowest, r.pacePercent)
		}
	}
	return lowest
}

// setPace sets the pace of the opportunistic tasks on a worker.
func (c *Cell) setPace(w *worker, percent int) {
	for _, r := range w.runs {
		if !r.task.step.spec.Opportunistic || r.phase != runActive || r.pacePercent == percent {
			continue
		}
		r.pacePercent = percent
		w.paceChangedAt = c.now
		c.effects.Paces = append(c.effects.Paces, Pace{Worker: w.ref(), Task: r.name, Attempt: r.attempt, Percent: percent})
	}
}

// PaceFailed handles an unanswered change of the pace of a run.
func (c *Cell) PaceFailed(p *Pace) {
	w := c.workerByRef(p.Worker)
	if w == nil {
		return
	}
	if r := w.findRun(p.Task, p.Attempt); r != nil {
		r.pacePercent = paceUnknown
	}
}

// paceUnknown differs from any valid pace, so that the next adjustment sends the pace
// again.
const paceUnknown = -1
