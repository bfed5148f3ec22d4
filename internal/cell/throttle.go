package cell

import "time"

// Throttling of opportunistic tasks that share a worker with long-running tasks that
// have a latency target.
const (
	throttleInterval     = 300 * time.Millisecond // between changes on a worker
	throttleRepeat       = time.Second            // between suspensions of tasks that should be suspended; an earlier change may be carried out late
	throttleRaisePercent = 20                     // percentage points added by a raise
	throttleRaiseRatio   = 0.7                    // raised while the tail latency is below this share of the target
)

// adjustThrottles suspends opportunistic tasks on workers where a long-running task misses
// its latency target, and raises their percentage stepwise once the latency is well below
// the target.
func (c *Cell) adjustThrottles() {
	for _, w := range c.fleet {
		if w.ended || w.unresponsiveSince != 0 || w.throttleReportAt == w.reportedAt || c.now-w.throttleChangedAt < throttleInterval {
			continue
		}
		w.throttleReportAt = w.reportedAt
		worstRatio, hasTarget := worstTailRatio(w)
		if !hasTarget {
			c.setThrottle(w, unthrottledPercent)
			continue
		}
		switch {
		case worstRatio > 1:
			c.setThrottle(w, 0)
		case worstRatio < throttleRaiseRatio:
			c.setThrottle(w, min(unthrottledPercent, lowestThrottle(w)+throttleRaisePercent))
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

// lowestThrottle returns the lowest percentage of full speed of the opportunistic tasks on
// the worker.
func lowestThrottle(w *worker) int {
	lowest := unthrottledPercent
	for _, r := range w.runs {
		if r.task.step.spec.Opportunistic {
			lowest = min(lowest, r.throttlePercent)
		}
	}
	return lowest
}

// setThrottle sets the throttle of the opportunistic tasks on a worker.
func (c *Cell) setThrottle(w *worker, percent int) {
	for _, r := range w.runs {
		repeat := percent == 0 && c.now-w.throttleChangedAt >= throttleRepeat
		if !r.task.step.spec.Opportunistic || r.phase != runActive || r.throttlePercent == percent && !repeat {
			continue
		}
		r.throttlePercent = percent
		w.throttleChangedAt = c.now
		c.effects.Throttles = append(c.effects.Throttles, Throttle{Worker: w.ref(), Token: w.token, Task: r.taskName, Attempt: r.attempt, Percent: percent, Timeout: w.overdueAfter(shortestThrottleTimeout)})
	}
}

// ThrottleFailed handles an unanswered change of the throttle of a run.
func (c *Cell) ThrottleFailed(throttle *Throttle) {
	w := c.workerByRef(throttle.Worker)
	if w == nil {
		return
	}
	if r := w.findRun(throttle.Task, throttle.Attempt); r != nil {
		r.throttlePercent = throttleUnknown
	}
}

// throttleUnknown differs from any valid percentage, so that the next adjustment sends
// the throttle again.
const throttleUnknown = -1
