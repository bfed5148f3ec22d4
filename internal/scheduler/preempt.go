package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	// preemptionRetryDelay is the wait after a failed preemption search, so
	// that work for which nothing can be preempted does not cost a search in
	// every sweep.
	preemptionRetryDelay = 500 * time.Millisecond
	// defaultCheckpointTime is the assumed time to write a checkpoint. It is
	// short, so that a checkpoint is tried and its time is learned.
	defaultCheckpointTime = 200 * time.Millisecond
	// restartCost is the assumed loss of any preemption besides the work since
	// the last checkpoint.
	restartCost = time.Second
	// withinShareCost ranks tasks of teams within their share after all others.
	withinShareCost = 1e6
	// ageWeight increases the cost slightly with the age of a task, so that of
	// equal tasks the most recently started one is preempted first.
	ageWeight = 0.01
	// tasksCheckedPerVM bounds the tasks checked in a search, per VM that may be
	// examined.
	tasksCheckedPerVM = 8
)

// preemptionRequest is a job for which tasks may be preempted.
type preemptionRequest struct {
	job        *job
	urgent     bool
	belowShare bool // its team is below its entitlement
}

// victimSet is a set of tasks on a VM whose preemption frees enough capacity.
type victimSet struct {
	vm    *vm
	tasks []*task
	cost  float64
}

// mayPreempt reports whether tasks may be preempted for the group.
func (c *State) mayPreempt(g *group) bool {
	c.updateEntitlements()
	j := g.jobs[0]
	_, ok := c.newPreemptionRequest(j, g.nextDemand())
	return ok && len(j.claims) < len(j.pending) && g.reason == waitsForCapacity
}

// preemptFor preempts tasks for the jobs of a group that does not fit.
func (c *State) preemptFor(g *group) {
	c.updateEntitlements()
	if g.tasks > 0 {
		c.preemptForGang(g)
		return
	}
	for _, j := range g.jobs {
		for len(j.claims) < len(j.pending) {
			if c.pass.preemptionSearches >= c.policy.MaxPreemptionSearches || c.remainingDecisions() <= 0 {
				return
			}
			if !c.preemptForTask(j) {
				c.delayPreemption(g)
				return
			}
		}
	}
}

// delayPreemption delays the next search for a group for which nothing can be
// preempted, so that it does not cost a search in every sweep. Urgent work is
// tried in every sweep.
func (c *State) delayPreemption(g *group) {
	if g.priority != priorityUrgent {
		g.preemptAt = c.pass.now.Add(preemptionRetryDelay)
	}
}

// preemptForTask preempts the cheapest victims for one task of the job and
// claims their capacity.
func (c *State) preemptForTask(j *job) bool {
	if !j.team.withinBudget(j.team.claimed.add(j.size)) {
		return false
	}
	r, ok := c.newPreemptionRequest(j, j.size)
	if !ok {
		return false
	}
	c.pass.preemptionSearches++
	victims := c.cheapestVictims(r)
	if victims.vm == nil {
		return false
	}
	c.preemptVictims(victims, r)
	c.addClaim(j, victims.vm, c.pass.now)
	return true
}

// newPreemptionRequest returns the request and whether the job may preempt
// tasks for size.
func (c *State) newPreemptionRequest(j *job, size resourceVec) (preemptionRequest, bool) {
	r := preemptionRequest{job: j, urgent: j.priority == priorityUrgent, belowShare: c.withinEntitlement(j.team, size)}
	return r, r.urgent || r.belowShare || j.Class == api.ClassService
}

// preemptVictims stops the tasks of the victim set.
func (c *State) preemptVictims(victims victimSet, r preemptionRequest) {
	for _, t := range victims.tasks {
		kind, reason := c.stopKind(t, r.urgent), "preempted for a team below its share"
		switch {
		case r.urgent:
			reason = "preempted for urgent work"
		case r.job.team == t.job.team:
			reason = "preempted for a service of its team"
		}
		c.preemptTask(t, kind, reason, r.urgent)
	}
}

// preemptTask stops a task. If it belongs to a gang, the other members are
// stopped too.
func (c *State) preemptTask(t *task, kind Kind, reason string, urgent bool) {
	c.emit(c.stopTask(t, kind, reason))
	if kind == Checkpoint {
		limit := c.policy.CheckpointTimeout
		if urgent {
			limit = c.policy.UrgentCheckpointTimeout
		}
		c.addTimer(timer{at: c.pass.now.Add(limit), kind: timerCheckpointTimeout, task: t, generation: int64(t.attempt)})
	}
	if t.job.isGang() {
		t.job.restarting = true
		c.queueStop(t.job)
	}
}

// stopKind returns how to stop the task. Urgent work does not wait for a
// checkpoint that is known to take long.
func (c *State) stopKind(t *task, urgent bool) Kind {
	if !t.job.Checkpointable {
		return Stop
	}
	if urgent && c.estimateCheckpointTime(t.job) > c.policy.UrgentCheckpointTimeout {
		return Stop
	}
	return Checkpoint
}

// cheapestVictims returns the cheapest victim set on a bounded number of VMs,
// which are those of the most recently started tasks of the teams furthest
// above their share.
func (c *State) cheapestVictims(r preemptionRequest) victimSet {
	var best victimSet
	c.searchCount++
	vmsLeft, tasksLeft := c.policy.MaxPreemptionVMs, c.policy.MaxPreemptionVMs*tasksCheckedPerVM
	for _, t := range c.victimTeams(r) {
		entries := c.sortedRuns(t)
		for i := c.countPastMinRun(entries, r) - 1; i >= 0 && vmsLeft > 0 && tasksLeft > 0; i-- {
			tasksLeft--
			v := entries[i].task.vm
			if !entries[i].isCurrent() || v.lastSearch == c.searchCount || !c.isPreemptible(entries[i].task, r) {
				continue
			}
			v.lastSearch = c.searchCount
			if !v.takesWork() || !r.job.size.fits(v.capacity) || (v.reservation != nil && !r.urgent && v.reservation.job != r.job) {
				continue
			}
			vmsLeft--
			if e := c.victimsOn(v, r); e.vm != nil && (best.vm == nil || e.cost < best.cost) {
				best = e
			}
		}
	}
	return best
}

// victimTeams returns the teams whose tasks may be preempted, the one furthest
// above its share first.
func (c *State) victimTeams(r preemptionRequest) []*team {
	list := c.pass.teams[:0]
	for _, t := range c.sortedTeams {
		own := t == r.job.team
		if r.urgent || (own && r.job.Class == api.ClassService) || (!own && r.belowShare && c.excessShare(t) > 0) {
			list = append(list, t)
			t.excess = c.excessShare(t)
		}
	}
	slices.SortStableFunc(list, func(a, b *team) int { return cmp.Compare(b.excess, a.excess) })
	c.pass.teams = list
	return list
}

// countPastMinRun returns the number of entries that have run for the minimum
// time.
func (c *State) countPastMinRun(entries []taskRun, r preemptionRequest) int {
	if r.urgent {
		return len(entries)
	}
	limit := c.pass.now.Add(-c.policy.MinRun)
	return sort.Search(len(entries), func(i int) bool { return entries[i].startedAt.After(limit) })
}

// isPreemptible reports whether the task may be preempted for the request.
func (c *State) isPreemptible(t *task, r preemptionRequest) bool {
	j := t.job
	if t.state != taskRunning || t.trialVictim || j.ended || j.restarting || j.priority == priorityUrgent || j.Class == api.ClassService {
		return false
	}
	if r.urgent {
		return j != r.job
	}
	if c.pass.now.Sub(t.started) < c.policy.MinRun {
		return false
	}
	if j.team == r.job.team {
		return r.job.Class == api.ClassService
	}
	return r.belowShare && c.aboveEntitlementWithout(j.team, t.size)
}

// victimsOn returns the cheapest tasks on the VM whose preemption frees enough
// capacity for the request, or an empty set if there are not enough.
func (c *State) victimsOn(v *vm, r preemptionRequest) victimSet {
	available, need := v.available, r.job.size
	chosen := c.victimCandidates(v, r)
	n := 0
	for _, cand := range chosen {
		if need.fits(available) {
			break
		}
		n++
		t := cand.task
		if !r.urgent && t.job.team != r.job.team && !c.aboveEntitlementWithout(t.job.team, t.size) {
			chosen[n-1].task = nil
			continue
		}
		t.job.team.consideredRelease = t.job.team.consideredRelease.add(t.size)
		available = available.add(t.size)
	}
	chosen = chosen[:n]
	e := victimSet{vm: v}
	for i := n - 1; i >= 0; i-- {
		t := chosen[i].task
		if t == nil {
			continue
		}
		t.job.team.consideredRelease = resourceVec{}
		if need.fits(available.sub(t.size)) {
			available = available.sub(t.size)
			continue
		}
		e.tasks = append(e.tasks, t)
		e.cost += chosen[i].cost
	}
	if !need.fits(available) {
		return victimSet{}
	}
	if r.job.Class != api.ClassBatch {
		e.cost *= float64(1 + r.job.tasksInRack(v))
	}
	return e
}

// victim is a task that may be preempted, with the cost of its preemption in
// seconds.
type victim struct {
	task *task
	cost float64
}

// victimCandidates returns the tasks on the VM that may be preempted, cheapest
// first.
func (c *State) victimCandidates(v *vm, r preemptionRequest) []victim {
	list := c.pass.victims[:0]
	for _, t := range v.tasks {
		if c.isPreemptible(t, r) {
			list = append(list, victim{task: t, cost: c.preemptionCost(t, r)})
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.id, b.task.id))
	})
	c.pass.victims = list
	return list
}

// preemptionCost estimates the loss if the task is stopped, in seconds weighted
// by the dominant share of the VM that it occupies.
func (c *State) preemptionCost(t *task, r preemptionRequest) float64 {
	age := c.pass.now.Sub(t.started)
	loss := age
	if c.stopKind(t, r.urgent) == Checkpoint {
		loss = min(age, c.estimateCheckpointTime(t.job))
	}
	cost := (loss + restartCost).Seconds() + ageWeight*age.Seconds()
	cost *= 1 + t.size.dominantShareOf(t.vm.capacity)
	if t.job.isGang() {
		cost *= float64(t.job.placedTasks)
	}
	if t.job.team != r.job.team && !c.aboveEntitlementWithout(t.job.team, t.size) {
		cost += withinShareCost
	}
	return cost
}

// enforceBudgets stops tasks of teams whose allocation exceeds their budget,
// for example after a limit was lowered.
func (c *State) enforceBudgets() {
	for _, t := range c.sortedTeams {
		if !t.allocated.sub(t.releasing).fits(t.budget) {
			c.stopOverBudget(t)
		}
	}
}

// stopOverBudget stops the most recently started tasks of the team, batch and
// gangs before services, until it is within its budget.
func (c *State) stopOverBudget(t *team) {
	for _, services := range []bool{false, true} {
		entries := c.sortedRuns(t)
		for i := len(entries) - 1; i >= 0 && c.remainingDecisions() > 0; i-- {
			over := t.allocated.sub(t.releasing).sub(t.budget).max(resourceVec{})
			if over == (resourceVec{}) {
				return
			}
			if e := entries[i]; e.isCurrent() && e.task.stoppable() && e.task.reducesShortage(over) && services == (e.task.job.Class == api.ClassService) {
				c.preemptTask(e.task, c.stopKind(e.task, false), "the team is over its limit", false)
			}
		}
	}
}

// stoppable reports whether a stop of the task can be requested.
func (t *task) stoppable() bool { return t.state == taskRunning || t.state == taskPlaced }

// reducesShortage reports whether the end of the task reduces the shortage.
func (t *task) reducesShortage(lack resourceVec) bool {
	for d := range lack {
		if lack[d] > 0 && t.size[d] > 0 {
			return true
		}
	}
	return false
}
