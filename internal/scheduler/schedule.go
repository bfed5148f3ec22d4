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
	groups  []*jobGroup
	victims []victim
	domains []domainCandidate
	ends    []expectedEnd
}

// Schedule returns the decisions due at now, at most limit of them, except that
// the tasks preempted for one job are stopped together and that a gang with more
// tasks than limit is placed whole, in a call without other placements. The
// resources of a DecisionPlace are allocated at once.
func (s *State) Schedule(now time.Time, limit int) []Decision {
	s.pass.now, s.pass.limit, s.pass.decisions = now, limit, nil
	s.pass.unplaceableSizes = s.pass.unplaceableSizes[:0]
	s.passCount++
	s.pass.preemptionSearches = 0
	s.fireTimers(now)
	s.failInfeasibleJobs(now)
	s.reportFailures()
	s.emitQueuedStops()
	s.emitQueuedDecisions()
	s.enforceBudgets()
	s.drainLeavingVMs()
	s.stopOnOverfullVMs()
	s.requeueAfterChanges()
	sweep := s.sweepDue()
	if sweep {
		s.requeueGangs()
	}
	complete := true
	for prio := range priorityCount {
		complete = complete && s.placePriority(prio)
	}
	if complete {
		s.clearFreedVMs()
	}
	if sweep {
		s.preemptForUnschedulable()
		s.updateReservations()
	}
	out := s.pass.decisions
	s.pass.decisions = nil
	return out
}

// remainingDecisions returns how many more decisions this pass may return.
func (s *State) remainingDecisions() int { return s.pass.limit - len(s.pass.decisions) }

func (s *State) emit(d Decision) { s.pass.decisions = append(s.pass.decisions, d) }

// reportFailures emits a DecisionFailJob for each failed job that has not been
// reported.
func (s *State) reportFailures() {
	n := 0
	for n < len(s.jobFailures) && s.remainingDecisions() > 0 {
		f := s.jobFailures[n]
		s.emit(Decision{Kind: DecisionFailJob, Job: f.job.ID, Reason: f.reason})
		s.removeIfFinished(f.job)
		n++
	}
	s.jobFailures = append(s.jobFailures[:0], s.jobFailures[n:]...)
}

// emitQueuedStops emits the stops for tasks of ended jobs and restarting gangs.
func (s *State) emitQueuedStops() {
	rest := s.stopQueue[:0]
	for _, j := range s.stopQueue {
		if s.remainingDecisions() > 0 && s.stopJob(j) {
			j.inStopQueue = false
			continue
		}
		rest = append(rest, j)
	}
	clear(s.stopQueue[len(rest):])
	s.stopQueue = rest
}

// stopJob stops the tasks of an ended job or a restarting gang and reports
// whether the job needs no further stops.
func (s *State) stopJob(j *job) bool {
	if !j.ended && j.partiallyPlaced() {
		j.restarting = true
	}
	if !j.ended && !j.restarting {
		return true
	}
	if !j.ended && j.placedTasks == 0 {
		s.scheduleGangRestart(j, s.pass.now)
		return true
	}
	kind, reason := DecisionStop, "the job has failed"
	if !j.ended {
		reason = "another task of the gang has ended"
		if j.Checkpointable {
			kind = DecisionCheckpoint
		}
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.stoppable() {
			continue
		}
		if s.remainingDecisions() <= 0 {
			return false
		}
		s.emit(s.stopTask(t, kind, reason))
		if kind == DecisionCheckpoint {
			s.addCheckpointTimeout(t, s.pass.now.Add(s.policy.CheckpointTimeout))
		}
	}
	return true
}

// placePriority places tasks of one priority until nothing fits, the team with
// the lowest weighted dominant share first. It returns false if the pass
// reached its limit of decisions before that.
func (s *State) placePriority(prio priority) bool {
	for s.remainingDecisions() > 0 {
		g := s.nextQueued(prio)
		if unschedulable := s.nextUnschedulable(prio); unschedulable != nil && (g == nil || unschedulable.precedes(g)) {
			g = unschedulable
		}
		if g == nil {
			return true
		}
		if g.tasks > s.remainingDecisions() && len(s.pass.decisions) > 0 {
			return false
		}
		s.tryGroup(g)
	}
	return false
}

// nextQueued returns the first queued group of the team with the lowest
// weighted share.
func (s *State) nextQueued(prio priority) *jobGroup {
	var best *jobGroup
	for _, t := range s.sortedTeams {
		if q := t.queues[prio].heap; len(q) > 0 && (best == nil || q[0].precedes(best)) {
			best = q[0]
		}
	}
	return best
}

// tryGroup places the first job of the group if it is a gang, else one task of
// it. If that does not fit, the group becomes unschedulable.
func (s *State) tryGroup(g *jobGroup) {
	j := g.jobs[0]
	if s.updateSize(j) {
		return
	}
	g.lastTriedPass = s.passCount
	if !g.team.withinBudget(g.nextDemand()) {
		s.markUnschedulable(g, waitsForBudget)
		return
	}
	if s.placeFirst(g) {
		g.lastTriedPass = 0
		return
	}
	s.markUnschedulable(g, waitsForCapacity)
	if g.priority == priorityUrgent {
		s.preemptFor(g)
	}
}

// placeFirst places the first job of the group if it is a gang, else one task of
// it, and reports whether it did.
func (s *State) placeFirst(g *jobGroup) bool {
	j := g.jobs[0]
	if j.isGang() {
		return s.placeGang(j)
	}
	v := s.findVM(j)
	if v == nil {
		return false
	}
	s.placeTask(s.popPending(j), v, "")
	return true
}

// findVM returns a VM for a task of the job, or nil. It prefers the VM of a claim
// whose capacity is free, and releases that claim. If it returns another VM, it
// releases a claim that the job no longer needs.
func (s *State) findVM(j *job) *vm {
	if cl := j.usableClaim(); cl != nil {
		s.releaseClaim(cl)
		return cl.vm
	}
	if s.knownUnplaceable(j.size) {
		return nil
	}
	s.pass.skippedReserved = false
	v := s.chooseVM(j)
	switch {
	case v == nil && !s.pass.skippedReserved:
		s.pass.unplaceableSizes = append(s.pass.unplaceableSizes, j.size)
	case v != nil && len(j.claims) >= len(j.pending):
		s.releaseClaim(j.claims[len(j.claims)-1])
	}
	return v
}

// knownUnplaceable reports whether an equal or smaller size was found to fit on
// no VM in this pass.
func (s *State) knownUnplaceable(size resourceVec) bool {
	for _, unplaceable := range s.pass.unplaceableSizes {
		if unplaceable.fits(size) {
			return true
		}
	}
	return false
}

// placeTask allocates the task on the VM and emits the decision.
func (s *State) placeTask(t *task, v *vm, gangStartID string) {
	t.attempt++
	t.state = taskPlaced
	t.placedAt = s.pass.now
	t.peak = resourceVec{}
	t.checkpointAborted, t.checkpointing, t.throttled = false, false, false
	t.job.placements++
	s.recordBackfill(t, v)
	s.allocate(t, v, t.job.size)
	s.emit(Decision{Kind: DecisionPlace, Task: t.id, Job: t.job.ID, VM: v.ID, Attempt: t.attempt, Group: gangStartID})
}

// chooseVM returns the best VM for a task of the job, or nil if none fits.
func (s *State) chooseVM(j *job) *vm {
	if j.Class == api.ClassBatch {
		return s.chooseTightest(j)
	}
	return s.chooseSpread(j)
}
