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
	group *jobGroup
}

// markUnschedulable removes a group from the queue of its team until it may
// fit.
func (s *State) markUnschedulable(g *jobGroup, reason unschedulableReason) {
	s.setReason(g, reason)
	if g.unschedulablePos >= 0 {
		return
	}
	heap.Remove(&g.team.queues[g.priority].heap, g.heapPos)
	g.unschedulablePos = len(s.unschedulable[g.priority])
	s.unschedulable[g.priority] = append(s.unschedulable[g.priority], unschedulableGroup{size: g.size, group: g})
}

// clearUnschedulable removes a group from the unschedulable groups.
func (s *State) clearUnschedulable(g *jobGroup) {
	s.setReason(g, waitsForCapacity)
	list := s.unschedulable[g.priority]
	last := len(list) - 1
	list[g.unschedulablePos] = list[last]
	list[g.unschedulablePos].group.unschedulablePos = g.unschedulablePos
	list[last] = unschedulableGroup{}
	s.unschedulable[g.priority] = list[:last]
	g.unschedulablePos = -1
}

// setReason sets the reason and updates the number of groups that wait for
// budget.
func (s *State) setReason(g *jobGroup, reason unschedulableReason) {
	if g.reason == reason {
		return
	}
	g.reason = reason
	if reason == waitsForBudget {
		s.budgetWaiters++
	} else {
		s.budgetWaiters--
	}
}

// requeueGroup returns an unschedulable group to the queue of its team.
func (s *State) requeueGroup(g *jobGroup) {
	if g == nil || g.unschedulablePos < 0 {
		return
	}
	s.clearUnschedulable(g)
	heap.Push(&g.team.queues[g.priority].heap, g)
}

// requeueGroupsIf requeues the unschedulable groups that match.
func (s *State) requeueGroupsIf(match func(*jobGroup) bool) {
	for prio := range s.unschedulable {
		for i := len(s.unschedulable[prio]) - 1; i >= 0; i-- {
			if g := s.unschedulable[prio][i].group; match(g) {
				s.requeueGroup(g)
			}
		}
	}
}

// requeueAfterChanges requeues groups that may fit after a change of the fleet,
// of budgets or of learned sizes, or after many VMs were freed.
func (s *State) requeueAfterChanges() {
	if s.requeuedVersion != s.fleetVersion {
		s.requeuedVersion = s.fleetVersion
		s.requeueGroupsIf(func(*jobGroup) bool { return true })
	}
	if s.sizesChanged {
		s.sizesChanged = false
		s.requeueGroupsIf(func(g *jobGroup) bool { return g.team.sizesChanged })
		for _, t := range s.sortedTeams {
			t.sizesChanged = false
		}
	}
	if len(s.freedVMs) > maxExactFreedVMs {
		largest := s.maxFreedAvailable()
		s.requeueGroupsIf(func(g *jobGroup) bool { return g.size.fits(largest) && g.tasks == 0 })
		s.clearFreedVMs()
	}
	if s.budgetWaiters > 0 {
		s.requeueGroupsIf(func(g *jobGroup) bool {
			return g.reason == waitsForBudget && g.team.withinBudget(g.nextDemand())
		})
	}
}

// addFreedVM records that the free capacity of a VM has grown.
func (s *State) addFreedVM(v *vm) {
	if !v.inFreedVMs && !s.inTrial {
		v.inFreedVMs = true
		s.freedVMs = append(s.freedVMs, v)
	}
}

// clearFreedVMs clears the list of freed VMs, once the waiting work that may fit
// on them has been tried or requeued. Gangs are tried in the next sweep.
func (s *State) clearFreedVMs() {
	s.retryGangs = s.retryGangs || len(s.freedVMs) > 0
	for _, v := range s.freedVMs {
		v.inFreedVMs = false
	}
	clear(s.freedVMs)
	s.freedVMs = s.freedVMs[:0]
}

// nextUnschedulable returns the first in order of the unschedulable groups,
// without gangs, that may fit on a freed VM, or nil.
func (s *State) nextUnschedulable(prio priority) *jobGroup {
	largest := s.maxFreedAvailable()
	if largest == (resourceVec{}) {
		return nil
	}
	var best *jobGroup
	for i := range s.unschedulable[prio] {
		entry := &s.unschedulable[prio][i]
		if !entry.size.fits(largest) || entry.group.lastTriedPass == s.passCount || entry.group.tasks > 0 {
			continue
		}
		if (best == nil || entry.group.precedes(best)) && s.fitsFreedVM(entry.group) {
			best = entry.group
		}
	}
	return best
}

// maxFreedAvailable returns the largest available amount in each dimension over
// the freed VMs.
func (s *State) maxFreedAvailable() resourceVec {
	var largest resourceVec
	for _, v := range s.freedVMs {
		if v.indexed {
			largest = largest.max(v.available)
		}
	}
	return largest
}

// fitsFreedVM reports whether a task of the group may fit on a freed VM.
func (s *State) fitsFreedVM(g *jobGroup) bool {
	for _, v := range s.freedVMs {
		if v.indexed && g.size.fits(v.available) && s.mayBackfill(g.jobs[0], v) {
			return true
		}
	}
	return false
}

// precedes orders groups of different teams by the weighted share of the team,
// then by the first job.
func (g *jobGroup) precedes(o *jobGroup) bool {
	if g.team.weightedShare != o.team.weightedShare {
		return g.team.weightedShare < o.team.weightedShare
	}
	return jobPrecedes(g.jobs[0], o.jobs[0])
}

// nextDemand returns the resources that the next placement of the group needs.
func (g *jobGroup) nextDemand() resourceVec { return g.size.times(max(1, g.tasks)) }

// sweepDue reports whether this pass includes a sweep, and if so records its
// time.
func (s *State) sweepDue() bool {
	if s.pass.now.Sub(s.lastSweep) < sweepInterval {
		return false
	}
	s.lastSweep = s.pass.now
	return true
}

// requeueGangs requeues the unschedulable gangs if the free capacity of a VM
// has grown.
func (s *State) requeueGangs() {
	if !s.retryGangs && len(s.freedVMs) == 0 {
		return
	}
	s.retryGangs = false
	s.requeueGroupsIf(func(g *jobGroup) bool { return g.tasks > 0 })
}

// preemptForUnschedulable preempts tasks for unschedulable groups, for urgent
// work first and then for the team with the lowest weighted share.
func (s *State) preemptForUnschedulable() {
	s.updateEntitlements()
	for _, t := range s.sortedTeams {
		t.belowEntitlement = s.withinEntitlement(t, resourceVec{})
	}
	for prio := range s.unschedulable {
		for _, g := range s.firstForPreemption(priority(prio)) {
			if s.remainingDecisions() <= 0 || s.pass.preemptionSearches >= s.policy.MaxPreemptionSearches {
				return
			}
			if s.mayPreempt(g) {
				s.preemptFor(g)
			} else {
				s.delayPreemption(g)
			}
		}
	}
}

// firstForPreemption returns the first unschedulable groups in order, as many
// as one pass may search for.
func (s *State) firstForPreemption(prio priority) []*jobGroup {
	list := s.pass.groups[:0]
	for _, entry := range s.unschedulable[prio] {
		g := entry.group
		if g.preemptAt.After(s.pass.now) || !(g.team.belowEntitlement || prio == priorityUrgent || g.class == api.ClassService) {
			continue
		}
		at := len(list)
		for at > 0 && g.precedes(list[at-1]) {
			at--
		}
		if at < s.policy.MaxPreemptionSearches {
			list = slices.Insert(list, at, g)
			list = list[:min(len(list), s.policy.MaxPreemptionSearches)]
		}
	}
	s.pass.groups = list
	return list
}
