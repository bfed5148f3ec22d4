package scheduler

import (
	"fmt"
	"time"
)

// tentative is room on a VM taken while a gang is being fitted in.
type tentative struct {
	vm      *vm
	victims []*task // tasks whose room is counted on
}

// placeGang places all pending tasks of the gang or none.
func (c *Cell) placeGang(j *job) bool {
	n := len(j.pending)
	if len(j.claims) > 0 {
		return c.placeClaimedGang(j)
	}
	if c.copiesBound(j.size) < n {
		return false
	}
	c.trying = true
	chosen := c.fitGang(j, n)
	c.undoAll(j, chosen)
	if len(chosen) < n {
		return false
	}
	c.startGang(j, chosen)
	return true
}

// fitGang takes room for up to n tasks of the gang.
func (c *Cell) fitGang(j *job, n int) []tentative {
	chosen := make([]tentative, 0, n)
	for range n {
		v := c.choose(j)
		if v == nil {
			break
		}
		chosen = append(chosen, c.take(j, v, nil))
	}
	return chosen
}

// take counts a task of the gang on the VM in place of the victims.
func (c *Cell) take(j *job, v *vm, victims []*task) tentative {
	for _, t := range victims {
		t.marked = true
		v.held = v.held.sub(t.size)
		t.job.team.releasing = t.job.team.releasing.add(t.size)
	}
	v.held = v.held.add(j.size)
	v.slack = v.slack.sub(j.size)
	j.spread.change(v, v.rackOf(), 1)
	c.refresh(v)
	return tentative{vm: v, victims: victims}
}

// undoAll reverses all that was taken on trial.
func (c *Cell) undoAll(j *job, chosen []tentative) {
	for i := len(chosen) - 1; i >= 0; i-- {
		c.undo(j, chosen[i])
	}
	c.trying = false
}

// undo reverses take.
func (c *Cell) undo(j *job, ten tentative) {
	v := ten.vm
	for _, t := range ten.victims {
		t.marked = false
		v.held = v.held.add(t.size)
		t.job.team.releasing = t.job.team.releasing.sub(t.size)
	}
	v.held = v.held.sub(j.size)
	v.slack = v.slack.add(j.size)
	j.spread.change(v, v.rackOf(), -1)
	c.refresh(v)
}

// placeClaimedGang places the gang when all the room made for it is free.
func (c *Cell) placeClaimedGang(j *job) bool {
	chosen := make([]tentative, 0, len(j.claims))
	c.trying = true
	for _, cl := range j.claims {
		if !cl.ready() {
			break
		}
		chosen = append(chosen, c.take(j, cl.vm, nil))
	}
	c.undoAll(j, chosen)
	if len(chosen) < len(j.pending) {
		return false
	}
	c.dropClaims(j)
	c.startGang(j, chosen)
	return true
}

// startGang places the gang on the chosen VMs.
func (c *Cell) startGang(j *job, chosen []tentative) {
	j.starts++
	group := fmt.Sprintf("%s#%d", j.ID, j.starts)
	for _, ten := range chosen {
		c.place(c.takePending(j), ten.vm, group)
	}
}

// makeRoomForGang preempts tasks so that the whole gang fits, or none.
func (c *Cell) makeRoomForGang(g *group) {
	j := g.jobs[0]
	n := len(j.pending)
	if len(j.claims) > 0 || n > c.policy.PreemptionGang || c.pass.preemptions >= c.policy.PreemptionsMax {
		return
	}
	c.entitle()
	c.delayPreemption(g)
	r, ok := c.requestOf(j, j.size.times(n))
	if !ok || !j.team.withinBudget(j.team.claimed.add(j.size.times(n))) {
		return
	}
	c.pass.preemptions++
	c.trying = true
	chosen := c.fitGang(j, n)
	for len(chosen) < n {
		e := c.cheapestEviction(r)
		if e.vm == nil {
			break
		}
		chosen = append(chosen, c.take(j, e.vm, e.tasks))
	}
	c.undoAll(j, chosen)
	if len(chosen) < n {
		return
	}
	for _, ten := range chosen {
		c.evict(eviction{vm: ten.vm, tasks: ten.victims}, r)
		c.addClaim(j, ten.vm, c.pass.now)
	}
}

// breakGang has the remaining members of a gang stopped after one has ended
// without success. The gang starts again as a whole, not before the given time.
func (c *Cell) breakGang(j *job, retry time.Time) {
	j.broken = true
	if retry.After(j.retryAt) {
		j.retryAt = retry
	}
	if j.holding > 0 {
		c.toControl(j)
	}
	c.settleGang(j, retry)
}

// settleGang starts the wait for the retry of a broken gang once no member of it
// is held.
func (c *Cell) settleGang(j *job, now time.Time) {
	if !j.gang() || !j.broken || j.ended || j.holding > 0 || j.open == 0 {
		return
	}
	if !j.retryAt.After(now) {
		c.requeueGang(j)
		return
	}
	c.addTimer(timer{at: j.retryAt, kind: timerGang, job: j, gen: int64(j.starts)})
}

// requeueGang makes all unfinished members of the gang pending.
func (c *Cell) requeueGang(j *job) {
	if !j.broken || j.ended || j.holding > 0 {
		return
	}
	j.broken = false
	j.retryAt = time.Time{}
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskWaiting {
			c.makePending(&j.tasks[i])
		}
	}
}

// scattered reports whether the gang is not queued and does not hold all of its
// unfinished tasks, as it may be after a takeover.
func (j *job) scattered() bool {
	return j.gang() && j.group == nil && j.holding < j.open
}
