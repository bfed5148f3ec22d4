package cell

import "time"

// Pacing of opportunistic tasks beside long-running ones with a latency target.
const (
	paceInterval = 300 * time.Millisecond // between two changes on a worker
	paceStep     = 20                     // percent by which the pace is raised
	calmShare    = 0.7                    // of its target, below which a long-running task is calm
)

// pace slows opportunistic tasks down on workers where a long-running task misses
// its latency target, and lets them work again when it is calm.
func (c *Cell) pace() {
	for _, w := range c.fleet {
		if w.gone || w.silentSince != 0 || w.pacedReport == w.reportedAt || c.now-w.pacedAt < paceInterval {
			continue
		}
		w.pacedReport = w.reportedAt
		worst, serving := worstTail(w)
		if !serving {
			c.paceAll(w, fullPace)
			continue
		}
		switch {
		case worst > 1:
			c.paceAll(w, 0)
		case worst < calmShare:
			c.paceAll(w, min(fullPace, lowestPace(w)+paceStep))
		}
	}
}

// worstTail returns the highest tail latency of a long-running task on the worker
// by its target, and whether there is such a task.
func worstTail(w *worker) (float64, bool) {
	worst, serving := 0.0, false
	for _, r := range w.runs {
		target := r.task.step.spec.TargetLatencyMs
		if target > 0 && r.phase == runActive {
			serving = true
			worst = max(worst, float64(r.usage)/float64(target))
		}
	}
	return worst, serving
}

// lowestPace returns the lowest pace of the opportunistic tasks on the worker.
func lowestPace(w *worker) int {
	lowest := fullPace
	for _, r := range w.runs {
		if r.task.step.spec.Opportunistic {
			lowest = min(lowest, r.pace)
		}
	}
	return lowest
}

// paceAll sets the pace of the opportunistic tasks on a worker.
func (c *Cell) paceAll(w *worker, percent int) {
	for _, r := range w.runs {
		if !r.task.step.spec.Opportunistic || r.phase != runActive || r.pace == percent {
			continue
		}
		r.pace = percent
		w.pacedAt = c.now
		c.effects.Paces = append(c.effects.Paces, Pace{Worker: w.ref(), Task: r.name, Attempt: r.attempt, Percent: percent})
	}
}

// PaceFailed notes that an order to change the pace of a run was not answered.
func (c *Cell) PaceFailed(p *Pace) {
	w := c.lookup(p.Worker)
	if w == nil {
		return
	}
	if r := w.run(p.Task, p.Attempt); r != nil {
		r.pace = paceUnknown
	}
}

// paceUnknown makes the next judgment of a worker send the pace again.
const paceUnknown = -1
