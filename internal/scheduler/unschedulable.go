package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	// sweepInterval is the time between two sweeps. A sweep requeues gangs,
	// searches for tasks to preempt and updates the reservations.
	sweepInterval = 100 * time.Millisecond
	// maxExactFreedVMs is the number of freed VMs up to which waiting work is
	// compared with each of them. With more, all groups that may fit are
	// requeued.
	maxExactFreedVMs = 32
)

// unschedulableReason tells why a group is unschedulable.
type unschedulableReason int

const (
	waitsForCapacity unschedulableReason = iota
	waitsForBudget
)

// unschedulableGroup is a group that did not fit. It is not tried again until a
// change may let it fit, so that a long backlog costs little in each pass.
type unschedulableGroup struct {
	size  resourceVec
	group *group
}

// markUnschedulable removes a group from the queue of its team until it may
// fit.
func (c *State) markUnschedulable(g *group, reason unschedulableReason) {
	c.setReason(g, reason)
	if g.unschedulablePos >= 0 {
		return
	}
	heap.Remove(&g.team.queues[g.priority].heap, g.heapPos)
	g.unschedulablePos = len(c.unschedulable[g.priority])
	c.unschedulable[g.priority] = append(c.unschedulable[g.priority], unschedulableGroup{size: g.size, group: g})
}

// clearUnschedulable removes a group from the unschedulable groups.
func (c *State) clearUnschedulable(g *group) {
	c.setReason(g, waitsForCapacity)
	list := c.unschedulable[g.priority]
	last := len(list) - 1
	list[g.unschedulablePos] = list[last]
	list[g.unschedulablePos].group.unschedulablePos = g.unschedulablePos
	list[last] = unschedulableGroup{}
	c.unschedulable[g.priority] = list[:last]
	g.unschedulablePos = -1
}

// setReason sets the reason and updates the number of groups that wait for
// budget.
func (c *State) setReason(g *group, reason unschedulableReason) {
	if g.reason == reason {
		return
	}
	g.reason = reason
	if reason == waitsForBudget {
		c.budgetWaiters++
	} else {
		c.budgetWaiters--
	}
}

// requeueGroup returns an unschedulable group to the queue of its team.
func (c *State) requeueGroup(g *group) {
	if g == nil || g.unschedulablePos < 0 {
		return
	}
	c.clearUnschedulable(g)
	heap.Push(&g.team.queues[g.priority].heap, g)
}

// requeueGroupsIf requeues the unschedulable groups that match.
func (c *State) requeueGroupsIf(match func(*group) bool) {
	for prio := range c.unschedulable {
		for i := len(c.unschedulable[prio]) - 1; i >= 0; i-- {
			if g := c.unschedulable[prio][i].group; match(g) {
				c.requeueGroup(g)
			}
		}
	}
}

// requeueAfterChanges requeues groups that may fit after a change of the fleet,
// of budgets or of learned sizes.
func (c *State) requeueAfterChanges() {
	if c.requeuedVersion != c.fleetVersion {
		c.requeuedVersion = c.fleetVersion
		c.requeueGroupsIf(func(*group) bool { return true })
	}
	if c.sizesChanged {
		c.sizesChanged = false
		c.requeueGroupsIf(func(g *group) bool { return g.team.sizesChanged })
		for _, t := range c.sortedTeams {
			t.sizesChanged = false
		}
	}
	if len(c.freedVMs) > maxExactFreedVMs {
		largest := c.maxFreedAvailable()
		c.requeueGroupsIf(func(g *group) bool { return g.size.fits(largest) && g.tasks == 0 })
		c.clearFreedVMs()
	}
	if c.budgetWaiters > 0 {
		c.requeueGroupsIf(func(g *group) bool {
			return g.reason == waitsForBudget && g.team.withinBudget(g.nextDemand())
		})
	}
}

// addFreedVM records that the free capacity of a VM has grown.
func (c *State) addFreedVM(v *vm) {
	if !v.inFreedVMs && !c.inTrial {
		v.inFreedVMs = true
		c.freedVMs = append(c.freedVMs, v)
	}
}

// clearFreedVMs clears the list of freed VMs, once no waiting work fits on
// them.
func (c *State) clearFreedVMs() {
	c.retryGangs = c.retryGangs || len(c.freedVMs) > 0
	for _, v := range c.freedVMs {
		v.inFreedVMs = false
	}
	clear(c.freedVMs)
	c.freedVMs = c.freedVMs[:0]
}

// nextUnschedulable returns the first in order of the unschedulable groups that
// may fit on a freed VM.
func (c *State) nextUnschedulable(prio priority) *group {
	largest := c.maxFreedAvailable()
	if largest == (resourceVec{}) {
		return nil
	}
	var best *group
	for i := range c.unschedulable[prio] {
		p := &c.unschedulable[prio][i]
		if !p.size.fits(largest) || p.group.lastTriedPass == c.passCount || p.group.tasks > 0 {
			continue
		}
		if (best == nil || p.group.precedes(best)) && c.fitsFreedVM(p.group) {
			best = p.group
		}
	}
	return best
}

// maxFreedAvailable returns the largest available amount in each dimension over
// the freed VMs.
func (c *State) maxFreedAvailable() resourceVec {
	var largest resourceVec
	for _, v := range c.freedVMs {
		if v.indexed {
			largest = largest.max(v.available)
		}
	}
	return largest
}

// fitsFreedVM reports whether a task of the group may fit on a freed VM.
func (c *State) fitsFreedVM(g *group) bool {
	for _, v := range c.freedVMs {
		if v.indexed && g.size.fits(v.available) && c.mayBackfill(g.jobs[0], v) {
			return true
		}
	}
	return false
}

// precedes orders groups of different teams by the weighted share of the team,
// then by the first job.
func (g *group) precedes(o *group) bool {
	if g.team.weightedShare != o.team.weightedShare {
		return g.team.weightedShare < o.team.weightedShare
	}
	return jobPrecedes(g.jobs[0], o.jobs[0])
}

// nextDemand returns the resources that the next placement of the group needs.
func (g *group) nextDemand() resourceVec { return g.size.times(max(1, g.tasks)) }

// sweepDue reports whether this pass includes a sweep, and if so records its
// time.
func (c *State) sweepDue() bool {
	if c.pass.now.Sub(c.lastSweep) < sweepInterval {
		return false
	}
	c.lastSweep = c.pass.now
	return true
}

// requeueGangs requeues the unschedulable gangs if the free capacity of a VM
// has grown.
func (c *State) requeueGangs() {
	if !c.retryGangs && len(c.freedVMs) == 0 {
		return
	}
	c.retryGangs = false
	c.requeueGroupsIf(func(g *group) bool { return g.tasks > 0 })
}

// preemptForUnschedulable preempts tasks for unschedulable groups, for urgent
// work first and then for the team with the lowest weighted share.
func (c *State) preemptForUnschedulable() {
	c.updateEntitlements()
	for _, t := range c.sortedTeams {
		t.belowEntitlement = c.withinEntitlement(t, resourceVec{})
	}
	for prio := range c.unschedulable {
		for _, g := range c.firstForPreemption(priority(prio)) {
			if c.remainingDecisions() <= 0 || c.pass.preemptionSearches >= c.policy.MaxPreemptionSearches {
				return
			}
			if c.mayPreempt(g) {
				c.preemptFor(g)
			} else {
				c.delayPreemption(g)
			}
		}
	}
}

// firstForPreemption returns the first unschedulable groups in order, as many
// as one pass may search for.
func (c *State) firstForPreemption(prio priority) []*group {
	list := c.pass.groups[:0]
	for _, p := range c.unschedulable[prio] {
		g := p.group
		if g.preemptAt.After(c.pass.now) || !(g.team.belowEntitlement || prio == priorityUrgent || g.class == api.ClassService) {
			continue
		}
		at := len(list)
		for at > 0 && g.precedes(list[at-1]) {
			at--
		}
		if at < c.policy.MaxPreemptionSearches {
			list = slices.Insert(list, at, g)
			list = list[:min(len(list), c.policy.MaxPreemptionSearches)]
		}
	}
	c.pass.groups = list
	return list
}
