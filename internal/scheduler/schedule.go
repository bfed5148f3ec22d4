package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// passState is the state of one call of Schedule.
type passState struct {
	now         time.Time
	max         int
	out         []Decision
	misfits     []vec // sizes for which no VM had room in this pass
	refused     bool  // the last choice passed over a reserved VM with room
	preemptions int   // searches for tasks to preempt in this pass

	// Buffers that are used again in each pass.
	victims    []*team
	groups     []*group
	candidates []candidate
	domains    []domainChoice
	endings    []ending
}

// Schedule returns the decisions due at now, about max at most; a gang that is
// larger than max comes out alone and whole. A Place counts as held at once.
func (c *Cell) Schedule(now time.Time, max int) []Decision {
	c.pass.now, c.pass.max, c.pass.out = now, max, nil
	c.pass.misfits = c.pass.misfits[:0]
	c.passes++
	c.pass.preemptions = 0
	c.fireTimers(now)
	c.findInfeasible(now)
	c.reportFailures()
	c.stopControlled()
	c.takeActions()
	c.enforceBudgets()
	c.drain()
	c.relieve()
	c.wakeChanged()
	sweep := c.sweepDue()
	if sweep {
		c.wakeGangs()
	}
	complete := true
	for l := range levels {
		complete = complete && c.placeLevel(l)
	}
	if complete {
		c.clearFreed()
	}
	if sweep {
		c.preemptForParked()
		c.reserve()
	}
	out := c.pass.out
	c.pass.out = nil
	return out
}

// left returns how many further decisions this pass may make.
func (c *Cell) left() int { return c.pass.max - len(c.pass.out) }

func (c *Cell) emit(d Decision) { c.pass.out = append(c.pass.out, d) }

// reportFailures emits the jobs that have failed since the last pass.
func (c *Cell) reportFailures() {
	n := 0
	for n < len(c.failing) && c.left() > 0 {
		f := c.failing[n]
		c.emit(Decision{Kind: FailJob, Job: f.job.ID, Reason: f.reason})
		c.finish(f.job)
		n++
	}
	c.failing = append(c.failing[:0], c.failing[n:]...)
}

// stopControlled emits the stops of tasks of ended jobs and broken gangs.
func (c *Cell) stopControlled() {
	rest := c.control[:0]
	for _, j := range c.control {
		if c.left() > 0 && c.stopJob(j) {
			j.inCtl = false
			continue
		}
		rest = append(rest, j)
	}
	clear(c.control[len(rest):])
	c.control = rest
}

// stopJob stops what must not go on of the job and reports whether that is
// complete.
func (c *Cell) stopJob(j *job) bool {
	if !j.ended && j.scattered() {
		j.broken = true
	}
	if !j.ended && !j.broken {
		return true
	}
	if !j.ended && j.holding == 0 {
		c.settleGang(j, c.pass.now)
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
		if c.left() <= 0 {
			return false
		}
		c.emit(c.stop(t, kind, reason))
	}
	return true
}

// placeLevel places work of one level, the team with the lowest weighted
// dominant share first, until nothing fits. It reports false when the pass was
// full before that.
func (c *Cell) placeLevel(l level) bool {
	for c.left() > 0 {
		g := c.nextReady(l)
		if p := c.nextParked(l); p != nil && (g == nil || p.ahead(g)) {
			g = p
		}
		if g == nil {
			return true
		}
		if g.tasks > c.left() && len(c.pass.out) > 0 {
			return false
		}
		c.tryGroup(g)
	}
	return false
}

// nextReady returns the first group of the team with waiting work that is
// furthest below its share.
func (c *Cell) nextReady(l level) *group {
	var best *group
	for _, t := range c.order {
		if q := t.queues[l].heap; len(q) > 0 && (best == nil || q[0].ahead(best)) {
			best = q[0]
		}
	}
	return best
}

// tryGroup places the first job of the group, or one task of it, or else parks
// the group.
func (c *Cell) tryGroup(g *group) {
	j := g.jobs[0]
	if c.resize(j) {
		return
	}
	g.triedPass = c.passes
	if !g.team.withinBudget(g.need()) {
		c.park(g, parkedForBudget)
		return
	}
	if c.placeFirst(g) {
		g.triedPass = 0
		return
	}
	c.park(g, parkedForRoom)
	if g.level == levelUrgent {
		c.makeRoom(g)
	}
}

// placeFirst places the first job of the group, or one task of it.
func (c *Cell) placeFirst(g *group) bool {
	j := g.jobs[0]
	if j.gang() {
		return c.placeGang(j)
	}
	v := c.vmFor(j)
	if v == nil {
		return false
	}
	c.place(c.takePending(j), v, "")
	return true
}

// vmFor returns the VM for a task of the job, that of its claim if its room is
// free, or nil.
func (c *Cell) vmFor(j *job) *vm {
	if cl := j.claimable(); cl != nil {
		c.dropClaim(cl)
		return cl.vm
	}
	if c.knownMisfit(j.size) {
		return nil
	}
	c.pass.refused = false
	v := c.choose(j)
	switch {
	case v == nil && !c.pass.refused:
		c.pass.misfits = append(c.pass.misfits, j.size)
	case v != nil && len(j.claims) >= len(j.pending):
		c.dropClaim(j.claims[len(j.claims)-1])
	}
	return v
}

// knownMisfit reports whether a size that is not larger found no VM in this pass.
func (c *Cell) knownMisfit(size vec) bool {
	for _, m := range c.pass.misfits {
		if m.fits(size) {
			return true
		}
	}
	return false
}

// place puts the task on the VM and emits the decision.
func (c *Cell) place(t *task, v *vm, group string) {
	t.attempt++
	t.state = taskPlaced
	t.placedAt = c.pass.now
	t.peak = vec{}
	t.hardStop, t.checkpointing, t.throttled = false, false, false
	t.job.placements++
	c.noteBackfill(t, v)
	c.occupy(t, v, t.job.size)
	c.emit(Decision{Kind: Place, Task: t.id, Job: t.job.ID, VM: v.ID, Attempt: t.attempt, Group: group})
}

// choose returns the best VM for a task of the job, or nil if none has room.
func (c *Cell) choose(j *job) *vm {
	if j.Class == api.ClassBatch {
		return c.chooseBatch(j)
	}
	return c.chooseSpread(j)
}
