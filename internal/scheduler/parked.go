package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	// sweepInterval is the time between two searches for tasks to preempt, checks
	// of reservations and trials of gangs that did not fit.
	sweepInterval = 100 * time.Millisecond
	// freedExact is the number of VMs up to which waiting work is compared with
	// each VM that has room again. With more, all that may fit is queued again.
	freedExact = 32
)

// parkReason tells why a group is parked.
type parkReason int

const (
	parkedForRoom parkReason = iota
	parkedForBudget
)

// parked is a group that did not fit. It is not tried again until something has
// changed that may let it fit, so that a long backlog costs little per pass.
type parked struct {
	size  vec
	group *group
}

// park takes a group out of the queue of its team until it may fit.
func (c *Cell) park(g *group, reason parkReason) {
	c.setReason(g, reason)
	if g.parkedAt >= 0 {
		return
	}
	heap.Remove(&g.team.queues[g.level].heap, g.at)
	g.parkedAt = len(c.parked[g.level])
	c.parked[g.level] = append(c.parked[g.level], parked{size: g.size, group: g})
}

// unpark removes a group from the parked ones.
func (c *Cell) unpark(g *group) {
	c.setReason(g, parkedForRoom)
	list := c.parked[g.level]
	last := len(list) - 1
	list[g.parkedAt] = list[last]
	list[g.parkedAt].group.parkedAt = g.parkedAt
	list[last] = parked{}
	c.parked[g.level] = list[:last]
	g.parkedAt = -1
}

// setReason keeps the count of groups that wait for budget.
func (c *Cell) setReason(g *group, reason parkReason) {
	if g.reason == reason {
		return
	}
	g.reason = reason
	if reason == parkedForBudget {
		c.budgetParked++
	} else {
		c.budgetParked--
	}
}

// wake returns a parked group to the queue of its team.
func (c *Cell) wake(g *group) {
	if g == nil || g.parkedAt < 0 {
		return
	}
	c.unpark(g)
	heap.Push(&g.team.queues[g.level].heap, g)
}

// wakeIf wakes the parked groups that match.
func (c *Cell) wakeIf(match func(*group) bool) {
	for l := range c.parked {
		for i := len(c.parked[l]) - 1; i >= 0; i-- {
			if g := c.parked[l][i].group; match(g) {
				c.wake(g)
			}
		}
	}
}

// wakeChanged wakes groups after a change of the fleet, of budgets or of learned
// sizes.
func (c *Cell) wakeChanged() {
	if c.parkedFleet != c.fleetVersion {
		c.parkedFleet = c.fleetVersion
		c.wakeIf(func(*group) bool { return true })
	}
	if c.relearned {
		c.relearned = false
		c.wakeIf(func(g *group) bool { return g.team.relearned })
		for _, t := range c.order {
			t.relearned = false
		}
	}
	if len(c.freed) > freedExact {
		largest := c.largestFreed()
		c.wakeIf(func(g *group) bool { return g.size.fits(largest) && g.tasks == 0 })
		c.clearFreed()
	}
	if c.budgetParked > 0 {
		c.wakeIf(func(g *group) bool {
			return g.reason == parkedForBudget && g.team.withinBudget(g.need())
		})
	}
}

// noteFreed records that a VM has more room than before.
func (c *Cell) noteFreed(v *vm) {
	if !v.freed && !c.trying {
		v.freed = true
		c.freed = append(c.freed, v)
	}
}

// clearFreed forgets the VMs that had more room, once nothing waiting fits.
func (c *Cell) clearFreed() {
	c.gangsMayFit = c.gangsMayFit || len(c.freed) > 0
	for _, v := range c.freed {
		v.freed = false
	}
	clear(c.freed)
	c.freed = c.freed[:0]
}

// nextParked returns the parked group that comes first of those that may fit on
// a VM that has room again.
func (c *Cell) nextParked(l level) *group {
	largest := c.largestFreed()
	if largest == (vec{}) {
		return nil
	}
	var best *group
	for i := range c.parked[l] {
		p := &c.parked[l][i]
		if !p.size.fits(largest) || p.group.triedPass == c.passes || p.group.tasks > 0 {
			continue
		}
		if (best == nil || p.group.ahead(best)) && c.fitsFreed(p.group) {
			best = p.group
		}
	}
	return best
}

// largestFreed returns the largest room in each dimension on the VMs that have
// room again.
func (c *Cell) largestFreed() vec {
	var largest vec
	for _, v := range c.freed {
		if v.open {
			largest = largest.max(v.avail)
		}
	}
	return largest
}

// fitsFreed reports whether the size may fit on a VM that has room again.
func (c *Cell) fitsFreed(g *group) bool {
	for _, v := range c.freed {
		if v.open && g.size.fits(v.avail) && c.backfills(g.jobs[0], v) {
			return true
		}
	}
	return false
}

// ahead orders groups of different teams: by the share of the team, then by the
// first job.
func (g *group) ahead(o *group) bool {
	if g.team.share != o.team.share {
		return g.team.share < o.team.share
	}
	return before(g.jobs[0], o.jobs[0])
}

// need returns what the next placement of the group takes.
func (g *group) need() vec { return g.size.times(max(1, g.tasks)) }

// sweepDue reports whether parked groups are to be looked at for preemptions and
// reservations in this pass.
func (c *Cell) sweepDue() bool {
	if c.pass.now.Sub(c.sweptAt) < sweepInterval {
		return false
	}
	c.sweptAt = c.pass.now
	return true
}

// wakeGangs lets parked gangs be tried after VMs had room again.
func (c *Cell) wakeGangs() {
	if !c.gangsMayFit && len(c.freed) == 0 {
		return
	}
	c.gangsMayFit = false
	c.wakeIf(func(g *group) bool { return g.tasks > 0 })
}

// preemptForParked makes room for parked groups, urgent work first and then
// that of the team furthest below its share.
func (c *Cell) preemptForParked() {
	c.entitle()
	for _, t := range c.order {
		t.below = c.under(t, vec{})
	}
	for l := range c.parked {
		for _, g := range c.firstToPreempt(level(l)) {
			if c.left() <= 0 || c.pass.preemptions >= c.policy.PreemptionsMax {
				return
			}
			if c.mayPreempt(g) {
				c.makeRoom(g)
			} else {
				c.delayPreemption(g)
			}
		}
	}
}

// firstToPreempt returns as many parked groups as one pass can make room for,
// the first in order.
func (c *Cell) firstToPreempt(l level) []*group {
	list := c.pass.groups[:0]
	for _, p := range c.parked[l] {
		g := p.group
		if g.preemptAt.After(c.pass.now) || !(g.team.below || l == levelUrgent || g.class == api.ClassService) {
			continue
		}
		at := len(list)
		for at > 0 && g.ahead(list[at-1]) {
			at--
		}
		if at < c.policy.PreemptionsMax {
			list = slices.Insert(list, at, g)
			list = list[:min(len(list), c.policy.PreemptionsMax)]
		}
	}
	c.pass.groups = list
	return list
}
