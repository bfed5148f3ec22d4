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
	aside       []*group
	misfits     []vec // sizes for which no VM had room in this pass
	refused     bool  // the last choice passed over a reserved VM with room
	entitled    bool
	preemptions int // searches for tasks to preempt in this pass

	// Buffers that are used again in each pass.
	victims    []*team
	candidates []candidate
	domains    []domainChoice
	endings    []ending
}

// Schedule returns the decisions due at now, about max at most; a gang that is
// larger than max comes out alone and whole. A Place counts as held at once.
func (c *Cell) Schedule(now time.Time, max int) []Decision {
	c.pass.now, c.pass.max, c.pass.out = now, max, nil
	c.pass.misfits = c.pass.misfits[:0]
	c.pass.entitled = false
	c.pass.preemptions = 0
	c.fireTimers(now)
	c.findInfeasible(now)
	c.reportFailures()
	c.stopControlled()
	c.takeActions()
	c.enforceBudgets()
	c.drain()
	c.relieve()
	for l := range levels {
		c.placeLevel(l)
	}
	c.reserve()
	c.restoreAside()
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
// dominant share first, until nothing fits.
func (c *Cell) placeLevel(l level) {
	for c.left() > 0 {
		t := c.neediest(l)
		if t == nil {
			return
		}
		g := t.queues[l].heap[0]
		if !c.placeFirst(g) {
			c.setAside(g)
		}
	}
}

// neediest returns the team with waiting work that is furthest below its share.
func (c *Cell) neediest(l level) *team {
	var best *team
	for _, t := range c.order {
		if len(t.queues[l].heap) == 0 {
			continue
		}
		if best == nil || t.share < best.share {
			best = t
		}
	}
	return best
}

// placeFirst places the first job of the group, or one task of it, and reports
// whether the group may be tried again.
func (c *Cell) placeFirst(g *group) bool {
	j := g.jobs[0]
	if c.resize(j) {
		return true
	}
	if !g.team.withinBudget(g.size.times(max(1, g.tasks))) {
		return false
	}
	if j.gang() {
		if c.placeGang(j) {
			return true
		}
		c.makeRoomForGang(g)
		return false
	}
	v := c.vmFor(j)
	if v == nil {
		c.makeRoom(g)
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
	t.hardStop, t.checkpointing = false, false
	t.job.placements++
	c.useSlack(t.job, v)
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
