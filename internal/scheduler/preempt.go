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
	// withinEntitlementCost ranks tasks whose preemption takes their team below
	// its entitlement after all others.
	withinEntitlementCost = 1e6
	// ageWeight increases the cost slightly with the age of a task, so that of
	// equal tasks the most recently started one is preempted first.
	ageWeight = 0.01
	// tasksCheckedPerVM bounds the tasks checked in a search, per VM that may be
	// examined.
	tasksCheckedPerVM = 8
)

// preemptionRequest is a job for which tasks may be preempted.
type preemptionRequest struct {
	job               *job
	urgent            bool
	withinEntitlement bool // its team stays within its entitlement with the requested resources
}

// victimSet is a set of tasks on a VM whose preemption frees enough capacity.
type victimSet struct {
	vm    *vm
	tasks []*task
	cost  float64
}

// mayPreempt reports whether tasks may be preempted for the group.
func (s *State) mayPreempt(g *jobGroup) bool {
	s.updateEntitlements()
	j := g.jobs[0]
	_, ok := s.newPreemptionRequest(j, g.nextDemand())
	return ok && len(j.claims) < len(j.pending) && g.reason == waitsForCapacity
}

// preemptFor preempts tasks for the jobs of a group that does not fit.
func (s *State) preemptFor(g *jobGroup) {
	s.updateEntitlements()
	if g.tasks > 0 {
		s.preemptForGang(g)
		return
	}
	for _, j := range g.jobs {
		for len(j.claims) < len(j.pending) {
			if s.pass.preemptionSearches >= s.policy.MaxPreemptionSearches || s.remainingDecisions() <= 0 {
				return
			}
			if !s.preemptForTask(j) {
				s.delayPreemption(g)
				return
			}
		}
	}
}

// delayPreemption delays the next search for a group by preemptionRetryDelay.
// Urgent work is tried in every sweep.
func (s *State) delayPreemption(g *jobGroup) {
	if g.priority != priorityUrgent {
		g.preemptAt = s.pass.now.Add(preemptionRetryDelay)
	}
}

// preemptForTask preempts the cheapest victims for one task of the job, claims
// their capacity and reports whether it did.
func (s *State) preemptForTask(j *job) bool {
	if !j.team.withinBudget(j.team.claimed.add(j.size)) {
		return false
	}
	r, ok := s.newPreemptionRequest(j, j.size)
	if !ok {
		return false
	}
	s.pass.preemptionSearches++
	victims := s.cheapestVictims(r)
	if victims.vm == nil {
		return false
	}
	s.preemptVictims(victims, r)
	s.addClaim(j, victims.vm, s.pass.now)
	return true
}

// newPreemptionRequest returns the request and whether the job may preempt
// tasks for size.
func (s *State) newPreemptionRequest(j *job, size resourceVec) (preemptionRequest, bool) {
	r := preemptionRequest{job: j, urgent: j.priority == priorityUrgent, withinEntitlement: s.withinEntitlement(j.team, size)}
	return r, r.urgent || r.withinEntitlement || j.Class == api.ClassService
}

// preemptVictims stops the tasks of the victim set.
func (s *State) preemptVictims(victims victimSet, r preemptionRequest) {
	for _, t := range victims.tasks {
		kind, reason := s.stopKind(t, r.urgent), "preempted for a team below its share"
		switch {
		case r.urgent:
			reason = "preempted for urgent work"
		case r.job.team == t.job.team:
			reason = "preempted for a service of its team"
		}
		s.preemptTask(t, kind, reason, r.urgent)
	}
}

// preemptTask stops a task. If it belongs to a gang, the other members are
// stopped too.
func (s *State) preemptTask(t *task, kind DecisionKind, reason string, urgent bool) {
	s.emit(s.stopTask(t, kind, reason))
	if kind == DecisionCheckpoint {
		limit := s.policy.CheckpointTimeout
		if urgent {
			limit = s.policy.UrgentCheckpointTimeout
		}
		s.addCheckpointTimeout(t, s.pass.now.Add(limit))
	}
	if t.job.isGang() {
		t.job.restarting = true
		s.queueStop(t.job)
	}
}

// stopKind returns how to stop the task. Urgent work does not wait for a
// checkpoint that is known to take long.
func (s *State) stopKind(t *task, urgent bool) DecisionKind {
	if !t.job.Checkpointable {
		return DecisionStop
	}
	if urgent && s.estimateCheckpointTime(t.job) > s.policy.UrgentCheckpointTimeout {
		return DecisionStop
	}
	return DecisionCheckpoint
}

// cheapestVictims returns the cheapest victim set on a bounded number of VMs,
// which are those of the most recently started tasks of the teams furthest
// above their entitlement.
func (s *State) cheapestVictims(r preemptionRequest) victimSet {
	var best victimSet
	s.searchCount++
	vmsLeft, tasksLeft := s.policy.MaxPreemptionVMs, s.policy.MaxPreemptionVMs*tasksCheckedPerVM
	for _, t := range s.victimTeams(r) {
		runs := s.sortedRuns(t)
		for i := s.countPastMinRun(runs, r) - 1; i >= 0 && vmsLeft > 0 && tasksLeft > 0; i-- {
			tasksLeft--
			v := runs[i].task.vm
			if !runs[i].isCurrent() || v.lastSearch == s.searchCount || !s.isPreemptible(runs[i].task, r) {
				continue
			}
			v.lastSearch = s.searchCount
			if !v.takesWork() || !r.job.size.fits(v.capacity) || (v.reservation != nil && !r.urgent && v.reservation.job != r.job) {
				continue
			}
			vmsLeft--
			if set := s.victimsOn(v, r); set.vm != nil && (best.vm == nil || set.cost < best.cost) {
				best = set
			}
		}
	}
	return best
}

// victimTeams returns the teams whose tasks may be preempted, the one furthest
// above its entitlement first.
func (s *State) victimTeams(r preemptionRequest) []*team {
	list := s.pass.teams[:0]
	for _, t := range s.sortedTeams {
		own := t == r.job.team
		if r.urgent || (own && r.job.Class == api.ClassService) || (!own && r.withinEntitlement && s.excessShare(t) > 0) {
			list = append(list, t)
			t.excess = s.excessShare(t)
		}
	}
	slices.SortStableFunc(list, func(a, b *team) int { return cmp.Compare(b.excess, a.excess) })
	s.pass.teams = list
	return list
}

// countPastMinRun returns the number of runs that are long enough to be
// preempted for the request.
func (s *State) countPastMinRun(entries []taskRun, r preemptionRequest) int {
	if r.urgent {
		return len(entries)
	}
	limit := s.pass.now.Add(-s.policy.MinRun)
	return sort.Search(len(entries), func(i int) bool { return entries[i].startedAt.After(limit) })
}

// isPreemptible reports whether the task may be preempted for the request.
func (s *State) isPreemptible(t *task, r preemptionRequest) bool {
	j := t.job
	if t.state != taskRunning || t.trialVictim || j.ended || j.restarting || j.priority == priorityUrgent || j.Class == api.ClassService {
		return false
	}
	if r.urgent {
		return j != r.job
	}
	if s.pass.now.Sub(t.started) < s.policy.MinRun {
		return false
	}
	if j.team == r.job.team {
		return r.job.Class == api.ClassService
	}
	return r.withinEntitlement && s.aboveEntitlementWithout(j.team, t.size)
}

// victimsOn returns the cheapest tasks on the VM whose preemption frees enough
// capacity for the request, or an empty set if there are not enough.
func (s *State) victimsOn(v *vm, r preemptionRequest) victimSet {
	available, need := v.available, r.job.size
	chosen := s.victimCandidates(v, r)
	n := 0
	for _, cand := range chosen {
		if need.fits(available) {
			break
		}
		n++
		t := cand.task
		if !r.urgent && t.job.team != r.job.team && !s.aboveEntitlementWithout(t.job.team, t.size) {
			chosen[n-1].task = nil
			continue
		}
		t.job.team.consideredRelease = t.job.team.consideredRelease.add(t.size)
		available = available.add(t.size)
	}
	chosen = chosen[:n]
	// Drop tasks that need not be preempted after all, the most expensive first.
	set := victimSet{vm: v}
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
		set.tasks = append(set.tasks, t)
		set.cost += chosen[i].cost
	}
	if !need.fits(available) {
		return victimSet{}
	}
	if r.job.Class != api.ClassBatch {
		// Prefer racks with few tasks of the job.
		set.cost *= float64(1 + r.job.tasksInRack(v))
	}
	return set
}

// victim is a task that may be preempted, with the cost of its preemption in
// seconds.
type victim struct {
	task *task
	cost float64
}

// victimCandidates returns the tasks on the VM that may be preempted, cheapest
// first.
func (s *State) victimCandidates(v *vm, r preemptionRequest) []victim {
	list := s.pass.victims[:0]
	for _, t := range v.tasks {
		if s.isPreemptible(t, r) {
			list = append(list, victim{task: t, cost: s.preemptionCost(t, r)})
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.id, b.task.id))
	})
	s.pass.victims = list
	return list
}

// preemptionCost estimates the loss if the task is stopped, in seconds. It is
// higher the more of the VM the task occupies and, since a gang stops as a whole,
// multiplied by the number of placed members of a gang.
func (s *State) preemptionCost(t *task, r preemptionRequest) float64 {
	age := s.pass.now.Sub(t.started)
	loss := age
	if s.stopKind(t, r.urgent) == DecisionCheckpoint {
		loss = min(age, s.estimateCheckpointTime(t.job))
	}
	cost := (loss + restartCost).Seconds() + ageWeight*age.Seconds()
	cost *= 1 + t.size.dominantShareOf(t.vm.capacity)
	if t.job.isGang() {
		cost *= float64(t.job.placedTasks)
	}
	if t.job.team != r.job.team && !s.aboveEntitlementWithout(t.job.team, t.size) {
		cost += withinEntitlementCost
	}
	return cost
}

// enforceBudgets stops tasks of teams whose allocation exceeds their budget,
// for example after a limit was lowered.
func (s *State) enforceBudgets() {
	for _, t := range s.sortedTeams {
		if !t.allocated.sub(t.releasing).fits(t.budget) {
			s.stopOverBudget(t)
		}
	}
}

// stopOverBudget stops the most recently started tasks of the team, batch and
// gangs before services, until it is within its budget.
func (s *State) stopOverBudget(t *team) {
	for _, services := range []bool{false, true} {
		runs := s.sortedRuns(t)
		for i := len(runs) - 1; i >= 0 && s.remainingDecisions() > 0; i-- {
			excess := t.allocated.sub(t.releasing).sub(t.budget).max(resourceVec{})
			if excess == (resourceVec{}) {
				return
			}
			if run := runs[i]; run.isCurrent() && run.task.stoppable() && run.task.reducesExcess(excess) && services == (run.task.job.Class == api.ClassService) {
				s.preemptTask(run.task, s.stopKind(run.task, false), "the team is over its limit", false)
			}
		}
	}
}

// stoppable reports whether a stop of the task can be requested.
func (t *task) stoppable() bool { return t.state == taskRunning || t.state == taskPlaced }

// reducesExcess reports whether the end of the task reduces the excess.
func (t *task) reducesExcess(excess resourceVec) bool {
	for d := range excess {
		if excess[d] > 0 && t.size[d] > 0 {
			return true
		}
	}
	return false
}
