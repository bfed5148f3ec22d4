package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	// retryPreemption is the wait after a failed search for tasks to preempt, so
	// that work that cannot be helped does not cost a search in every sweep.
	retryPreemption = 500 * time.Millisecond
	// unknownCheckpoint is the assumed time to write a checkpoint. It is short, so
	// that a checkpoint is tried and its time is learned.
	unknownCheckpoint = 200 * time.Millisecond
	// restartCost is the assumed loss of any preemption besides the work since
	// the last checkpoint.
	restartCost = time.Second
	// protectedCost puts tasks of teams within their share behind all others.
	protectedCost = 1e6
	// recentWeight makes the cost of a task grow slightly with its age, so that of
	// equal tasks the most recently started one goes first.
	recentWeight = 0.01
	// scanFactor bounds the tasks looked at per VM to be examined.
	scanFactor = 8
)

// request is work for which room is to be made.
type request struct {
	job    *job
	urgent bool
	under  bool // its team is below its entitlement
}

// eviction is a set of tasks whose end makes room on a VM.
type eviction struct {
	vm    *vm
	tasks []*task
	cost  float64
}

// mayPreempt reports whether tasks may be preempted for the group.
func (c *Cell) mayPreempt(g *group) bool {
	c.entitle()
	j := g.jobs[0]
	_, ok := c.requestOf(j, g.need())
	return ok && len(j.claims) < len(j.pending) && g.reason == parkedForRoom
}

// makeRoom preempts tasks for the jobs of a group that does not fit.
func (c *Cell) makeRoom(g *group) {
	c.entitle()
	if g.tasks > 0 {
		c.makeRoomForGang(g)
		return
	}
	for _, j := range g.jobs {
		for len(j.claims) < len(j.pending) {
			if c.pass.preemptions >= c.policy.PreemptionsMax || c.left() <= 0 {
				return
			}
			if !c.makeRoomForTask(j) {
				c.delayPreemption(g)
				return
			}
		}
	}
}

// delayPreemption keeps a group that cannot be helped from costing a search in
// every sweep. Urgent work is tried in every sweep.
func (c *Cell) delayPreemption(g *group) {
	if g.level != levelUrgent {
		g.preemptAt = c.pass.now.Add(retryPreemption)
	}
}

// makeRoomForTask preempts the cheapest tasks that make room for one task of the
// job and claims the room.
func (c *Cell) makeRoomForTask(j *job) bool {
	if !j.team.withinBudget(j.team.claimed.add(j.size)) {
		return false
	}
	r, ok := c.requestOf(j, j.size)
	if !ok {
		return false
	}
	c.pass.preemptions++
	e := c.cheapestEviction(r)
	if e.vm == nil {
		return false
	}
	c.evict(e, r)
	c.addClaim(j, e.vm, c.pass.now)
	return true
}

// requestOf reports whether the job may preempt anything for size.
func (c *Cell) requestOf(j *job, size vec) (request, bool) {
	r := request{job: j, urgent: j.level == levelUrgent, under: c.under(j.team, size)}
	return r, r.urgent || r.under || j.Class == api.ClassService
}

// evict stops the tasks of the eviction.
func (c *Cell) evict(e eviction, r request) {
	for _, t := range e.tasks {
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

// preemptTask stops a task; the rest of its gang follows.
func (c *Cell) preemptTask(t *task, kind Kind, reason string, urgent bool) {
	c.emit(c.stop(t, kind, reason))
	if kind == Checkpoint {
		limit := c.policy.CheckpointLimit
		if urgent {
			limit = c.policy.UrgentStop
		}
		c.addTimer(timer{at: c.pass.now.Add(limit), kind: timerStop, task: t, gen: int64(t.attempt)})
	}
	if t.job.gang() {
		t.job.broken = true
		c.toControl(t.job)
	}
}

// stopKind returns how to stop the task. Urgent work does not wait for a
// checkpoint that is known to take long.
func (c *Cell) stopKind(t *task, urgent bool) Kind {
	if !t.job.Checkpointable {
		return Stop
	}
	if urgent && c.checkpointTime(t.job) > c.policy.UrgentStop {
		return Stop
	}
	return Checkpoint
}

// cheapestEviction examines a bounded number of VMs, those of the most recently
// started tasks of the teams furthest over their share first.
func (c *Cell) cheapestEviction(r request) eviction {
	var best eviction
	c.searches++
	vmsLeft, tasksLeft := c.policy.PreemptionVMs, c.policy.PreemptionVMs*scanFactor
	for _, t := range c.victimTeams(r) {
		entries := c.runsOf(t)
		for i := c.lastOld(entries, r) - 1; i >= 0 && vmsLeft > 0 && tasksLeft > 0; i-- {
			tasksLeft--
			v := entries[i].task.vm
			if !entries[i].current() || v.searched == c.searches || !c.eligible(entries[i].task, r) {
				continue
			}
			v.searched = c.searches
			if !v.takesWork() || !r.job.size.fits(v.capacity) || (v.reservation != nil && !r.urgent && v.reservation.job != r.job) {
				continue
			}
			vmsLeft--
			if e := c.eviction(v, r); e.vm != nil && (best.vm == nil || e.cost < best.cost) {
				best = e
			}
		}
	}
	return best
}

// victimTeams returns the teams whose work may be preempted, the one furthest
// over its share first.
func (c *Cell) victimTeams(r request) []*team {
	list := c.pass.victims[:0]
	for _, t := range c.order {
		own := t == r.job.team
		if r.urgent || (own && r.job.Class == api.ClassService) || (!own && r.under && c.excess(t) > 0) {
			list = append(list, t)
			t.over = c.excess(t)
		}
	}
	slices.SortStableFunc(list, func(a, b *team) int { return cmp.Compare(b.over, a.over) })
	c.pass.victims = list
	return list
}

// lastOld returns the number of entries that have run for the minimum time.
func (c *Cell) lastOld(entries []run, r request) int {
	if r.urgent {
		return len(entries)
	}
	limit := c.pass.now.Add(-c.policy.MinRun)
	return sort.Search(len(entries), func(i int) bool { return entries[i].at.After(limit) })
}

// eligible reports whether the task may be preempted for the request.
func (c *Cell) eligible(t *task, r request) bool {
	j := t.job
	if t.state != taskRunning || t.marked || j.ended || j.broken || j.level == levelUrgent || j.Class == api.ClassService {
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
	return r.under && c.over(j.team, t.size)
}

// eviction returns the cheapest tasks on the VM whose end makes room for the
// request, or nothing if there are not enough.
func (c *Cell) eviction(v *vm, r request) eviction {
	room, need := v.avail, r.job.size
	chosen := c.candidates(v, r)
	n := 0
	for _, cand := range chosen {
		if need.fits(room) {
			break
		}
		n++
		t := cand.task
		if !r.urgent && t.job.team != r.job.team && !c.over(t.job.team, t.size) {
			chosen[n-1].task = nil
			continue
		}
		t.job.team.doomed = t.job.team.doomed.add(t.size)
		room = room.add(t.size)
	}
	chosen = chosen[:n]
	e := eviction{vm: v}
	for i := n - 1; i >= 0; i-- {
		t := chosen[i].task
		if t == nil {
			continue
		}
		t.job.team.doomed = vec{}
		if need.fits(room.sub(t.size)) {
			room = room.sub(t.size)
			continue
		}
		e.tasks = append(e.tasks, t)
		e.cost += chosen[i].cost
	}
	if !need.fits(room) {
		return eviction{}
	}
	if r.job.Class != api.ClassBatch {
		e.cost *= float64(1 + r.job.onRack(v))
	}
	return e
}

// candidate is a task that may be preempted and what that costs in seconds.
type candidate struct {
	task *task
	cost float64
}

// candidates returns the tasks on the VM that may be preempted, cheapest first.
func (c *Cell) candidates(v *vm, r request) []candidate {
	list := c.pass.candidates[:0]
	for _, t := range v.tasks {
		if c.eligible(t, r) {
			list = append(list, candidate{task: t, cost: c.preemptionCost(t, r)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.id, b.task.id))
	})
	c.pass.candidates = list
	return list
}

// preemptionCost estimates what is lost when the task is stopped, in seconds
// weighted by the part of the VM it holds.
func (c *Cell) preemptionCost(t *task, r request) float64 {
	age := c.pass.now.Sub(t.started)
	loss := age
	if c.stopKind(t, r.urgent) == Checkpoint {
		loss = min(age, c.checkpointTime(t.job))
	}
	cost := (loss + restartCost).Seconds() + recentWeight*age.Seconds()
	cost *= 1 + t.size.shareOf(t.vm.capacity)
	if t.job.gang() {
		cost *= float64(t.job.holding)
	}
	if t.job.team != r.job.team && !c.over(t.job.team, t.size) {
		cost += protectedCost
	}
	return cost
}

// enforceBudgets stops work of teams that hold more than their budget, as after
// a limit was lowered.
func (c *Cell) enforceBudgets() {
	for _, t := range c.order {
		if !t.used.sub(t.releasing).fits(t.budget) {
			c.shrinkTeam(t)
		}
	}
}

// shrinkTeam stops the most recently started work of the team, batch and gangs
// before services, until it is within its budget.
func (c *Cell) shrinkTeam(t *team) {
	for _, services := range []bool{false, true} {
		entries := c.runsOf(t)
		for i := len(entries) - 1; i >= 0 && c.left() > 0; i-- {
			over := t.used.sub(t.releasing).sub(t.budget).max(vec{})
			if over == (vec{}) {
				return
			}
			if e := entries[i]; e.current() && e.task.stoppable() && e.task.helps(over) && services == (e.task.job.Class == api.ClassService) {
				c.preemptTask(e.task, c.stopKind(e.task, false), "the team is over its limit", false)
			}
		}
	}
}

// stoppable reports whether a stop of the task can be asked for.
func (t *task) stoppable() bool { return t.state == taskRunning || t.state == taskPlaced }

// helps reports whether the end of the task reduces a lack.
func (t *task) helps(lack vec) bool {
	for d := range lack {
		if lack[d] > 0 && t.size[d] > 0 {
			return true
		}
	}
	return false
}
