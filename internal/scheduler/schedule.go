package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// passState is the state of one Schedule call, called a pass.
type passState struct {
	now                time.Time
	limit              int
	decisions          []Decision
	unplaceableSizes   []resourceVec // sizes that fit on no VM in this pass
	skippedReserved    bool          // the last search for a VM skipped a reserved VM with enough capacity
	preemptionSearches int           // preemption searches in this pass

	// Buffers that are reused in each pass.
	teams   []*team
	groups  []*group
	victims []victim
	domains []domainCandidate
	ends    []expectedEnd
}

// Schedule returns the decisions due at now, about limit at most. A gang with
// more tasks than limit is returned whole and in a call of its own. The resources
// of a Place decision are allocated at once.
func (c *State) Schedule(now time.Time, limit int) []Decision {
	c.pass.now, c.pass.limit, c.pass.decisions = now, limit, nil
	c.pass.unplaceableSizes = c.pass.unplaceableSizes[:0]
	c.passCount++
	c.pass.preemptionSearches = 0
	c.fireTimers(now)
	c.failInfeasibleJobs(now)
	c.reportFailures()
	c.emitQueuedStops()
	c.emitActions()
	c.enforceBudgets()
	c.drainLeavingVMs()
	c.stopOnOverfullVMs()
	c.requeueAfterChanges()
	sweep := c.sweepDue()
	if sweep {
		c.requeueGangs()
	}
	complete := true
	for prio := range priorityCount {
		complete = complete && c.placePriority(prio)
	}
	if complete {
		c.clearFreedVMs()
	}
	if sweep {
		c.preemptForUnschedulable()
		c.updateReservations()
	}
	out := c.pass.decisions
	c.pass.decisions = nil
	return out
}

// remainingDecisions returns how many more decisions this pass may return.
func (c *State) remainingDecisions() int { return c.pass.limit - len(c.pass.decisions) }

func (c *State) emit(d Decision) { c.pass.decisions = append(c.pass.decisions, d) }

// reportFailures emits FailJob decisions for the jobs that have failed since
// the last pass.
func (c *State) reportFailures() {
	n := 0
	for n < len(c.jobFailures) && c.remainingDecisions() > 0 {
		f := c.jobFailures[n]
		c.emit(Decision{Kind: FailJob, Job: f.job.ID, Reason: f.reason})
		c.removeIfFinished(f.job)
		n++
	}
	c.jobFailures = append(c.jobFailures[:0], c.jobFailures[n:]...)
}

// emitQueuedStops emits the stops for tasks of ended jobs and restarting gangs.
func (c *State) emitQueuedStops() {
	rest := c.stopQueue[:0]
	for _, j := range c.stopQueue {
		if c.remainingDecisions() > 0 && c.stopJob(j) {
			j.inStopQueue = false
			continue
		}
		rest = append(rest, j)
	}
	clear(c.stopQueue[len(rest):])
	c.stopQueue = rest
}

// stopJob stops the tasks of an ended job or a restarting gang and reports
// whether the job needs no further stops.
func (c *State) stopJob(j *job) bool {
	if !j.ended && j.partiallyPlaced() {
		j.restarting = true
	}
	if !j.ended && !j.restarting {
		return true
	}
	if !j.ended && j.placedTasks == 0 {
		c.scheduleGangRestart(j, c.pass.now)
		return true
	}
	kind, reason := Stop, "the job has failed"
	if !j.ended {
		reason = "another task of the gang has ended"
		if j.Checkpointable {
			kind = Checkpoint
		}
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.stoppable() {
			continue
		}
		if c.remainingDecisions() <= 0 {
			return false
		}
		c.emit(c.stopTask(t, kind, reason))
	}
	return true
}

// placePriority places tasks of one priority until nothing fits, the team with
// the lowest weighted dominant share first. It returns false if the pass
// reached its limit of decisions before that.
func (c *State) placePriority(prio priority) bool {
	for c.remainingDecisions() > 0 {
		g := c.nextQueued(prio)
		if p := c.nextUnschedulable(prio); p != nil && (g == nil || p.precedes(g)) {
			g = p
		}
		if g == nil {
			return true
		}
		if g.tasks > c.remainingDecisions() && len(c.pass.decisions) > 0 {
			return false
		}
		c.tryGroup(g)
	}
	return false
}

// nextQueued returns the first queued group of the team with the lowest
// weighted share.
func (c *State) nextQueued(prio priority) *group {
	var best *group
	for _, t := range c.sortedTeams {
		if q := t.queues[prio].heap; len(q) > 0 && (best == nil || q[0].precedes(best)) {
			best = q[0]
		}
	}
	return best
}

// tryGroup places the first job of the group, or one task of it. If that does
// not fit, the group becomes unschedulable.
func (c *State) tryGroup(g *group) {
	j := g.jobs[0]
	if c.updateSize(j) {
		return
	}
	g.lastTriedPass = c.passCount
	if !g.team.withinBudget(g.nextDemand()) {
		c.markUnschedulable(g, waitsForBudget)
		return
	}
	if c.placeFirst(g) {
		g.lastTriedPass = 0
		return
	}
	c.markUnschedulable(g, waitsForCapacity)
	if g.priority == priorityUrgent {
		c.preemptFor(g)
	}
}

// placeFirst places the first job of the group, or one task of it, and reports
// whether it did.
func (c *State) placeFirst(g *group) bool {
	j := g.jobs[0]
	if j.isGang() {
		return c.placeGang(j)
	}
	v := c.findVM(j)
	if v == nil {
		return false
	}
	c.placeTask(c.popPending(j), v, "")
	return true
}

// findVM returns a VM for a task of the job, or nil. The VM of a claim whose
// capacity is free is preferred.
func (c *State) findVM(j *job) *vm {
	if cl := j.usableClaim(); cl != nil {
		c.releaseClaim(cl)
		return cl.vm
	}
	if c.knownUnplaceable(j.size) {
		return nil
	}
	c.pass.skippedReserved = false
	v := c.chooseVM(j)
	switch {
	case v == nil && !c.pass.skippedReserved:
		c.pass.unplaceableSizes = append(c.pass.unplaceableSizes, j.size)
	case v != nil && len(j.claims) >= len(j.pending):
		c.releaseClaim(j.claims[len(j.claims)-1])
	}
	return v
}

// knownUnplaceable reports whether a size that is not larger fitted on no VM in
// this pass.
func (c *State) knownUnplaceable(size resourceVec) bool {
	for _, m := range c.pass.unplaceableSizes {
		if m.fits(size) {
			return true
		}
	}
	return false
}

// placeTask allocates the task on the VM and emits the decision.
func (c *State) placeTask(t *task, v *vm, group string) {
	t.attempt++
	t.state = taskPlaced
	t.placedAt = c.pass.now
	t.peak = resourceVec{}
	t.checkpointAborted, t.checkpointing, t.throttled = false, false, false
	t.job.placements++
	c.recordBackfill(t, v)
	c.allocate(t, v, t.job.size)
	c.emit(Decision{Kind: Place, Task: t.id, Job: t.job.ID, VM: v.ID, Attempt: t.attempt, Group: group})
}

// chooseVM returns the best VM for a task of the job, or nil if none fits.
func (c *State) chooseVM(j *job) *vm {
	if j.Class == api.ClassBatch {
		return c.chooseTightest(j)
	}
	return c.chooseSpread(j)
}
