package cell

import (
	"cmp"
	"slices"

	"github.com/endivehill/endivehill/internal/work"
)

// A ticket is valid for a short time, so advice for a step that finds no room meanwhile is
// lost. While advice is scarce, a full pool would use up the advice that steps of another pool
// need, whose room is free. So the calls for steps that are likely to use their tickets come
// first.
const (
	nextForRoomSteps  = 6   // steps of a pool whose tickets are kept valid for room that becomes free
	maxClaimsOnWorker = 4   // steps that count on the room of a worker; not all of them are permitted to use it
	maxRoomChecked    = 128 // ready steps for which room is looked for in a pass
)

// roomOutlook tells how likely a step is to use tickets that it gets now, best last.
type roomOutlook int

const (
	findsNoRoom roomOutlook = iota
	mayFindRoom             // one of the next steps of its pool, which get the room that becomes free, or not looked at
	findsRoom               // on workers that few steps before it count on
)

// adviceCandidate is a ready step that may need a call.
type adviceCandidate struct {
	step    *step
	place   int     // in the ready list
	perCall float64 // see workPerCall
}

// orderForAdvice orders the ready steps for calls: those that are likely to use their tickets
// first, then by rank. Of the steps that are late, those come first that get most work done
// for the time of a call.
func (c *Cell) orderForAdvice() {
	for _, w := range c.fleet {
		w.adviceClaims = 0
	}
	capacities := c.poolCapacities()
	next := map[string]int{}
	c.adviceOrder = c.adviceOrder[:0]
	for i, s := range c.ready {
		if s.work.queue.Advice == nil || s.waiting == 0 {
			continue
		}
		pool := s.work.queue.Pool
		s.advice.outlook = mayFindRoom
		if i < maxRoomChecked {
			next[pool]++
			s.advice.outlook = c.outlookFor(s, next[pool])
		}
		c.adviceOrder = append(c.adviceOrder, adviceCandidate{s, i, c.workPerCall(s, capacities[pool])})
	}
	slices.SortStableFunc(c.adviceOrder, compareForAdvice)
}

func compareForAdvice(a, b adviceCandidate) int {
	rankA, rankB := a.step.orderKey.rank, b.step.orderKey.rank
	if outlookA, outlookB := a.step.advice.outlook, b.step.advice.outlook; outlookA != outlookB {
		return cmp.Compare(outlookB, outlookA)
	}
	if rankA != rankB || rankA == rankInTime {
		return cmp.Compare(rankA, rankB)
	}
	return cmp.Compare(b.perCall, a.perCall)
}

// outlookFor returns the outlook of the step at this place among those of its pool. A gang that
// can be in time and has no advice yet is ordered like the next steps: if its first call waited
// until there is room for all members, the advice would come too late for that room.
func (c *Cell) outlookFor(s *step, place int) roomOutlook {
	switch {
	case !c.withinTeamLimit(s):
		return findsNoRoom
	case c.claimRoom(s):
		return findsRoom
	case place <= nextForRoomSteps, s.spec.Gang && s.advice.empty() && s.orderKey.rank == rankInTime:
		return mayFindRoom
	}
	return findsNoRoom
}

// claimRoom counts a step on workers that have room for a task of it, or for all members of a
// gang, and reports whether there are enough.
func (c *Cell) claimRoom(s *step) bool {
	needed := 1
	if s.spec.Gang {
		needed = len(s.tasks)
	}
	var claimed []*worker
	for _, w := range c.fleet {
		if needed <= 0 {
			break
		}
		if w.info.Pool == s.work.queue.Pool && w.adviceClaims < maxClaimsOnWorker && c.mayGetRoom(s, w) {
			claimed = append(claimed, w)
			needed -= c.tasksThatFit(s, w)
		}
	}
	if needed > 0 {
		return false
	}
	for _, w := range claimed {
		w.adviceClaims++
	}
	return true
}

// mayGetRoom reports whether a worker has room for a task of the step, and may be permitted to
// run it as far as is known.
func (c *Cell) mayGetRoom(s *step, w *worker) bool {
	refused := s.advice.queried[w] && s.ticketOf(w) == nil
	return !refused && c.mayUse(s, w) && c.meetsConstraints(s, w) && c.hasRoomFor(s, w)
}

// poolCapacities sums up the capacity of the workers of each pool.
func (c *Cell) poolCapacities() map[string]work.Resources {
	out := map[string]work.Resources{}
	for _, w := range c.fleet {
		out[w.info.Pool] = out[w.info.Pool].Plus(w.info.Capacity)
	}
	return out
}

// workPerCall returns the work of the waiting tasks of a step for the time of a call: the share
// of the pool that they take, times their duration.
func (c *Cell) workPerCall(s *step, pool work.Resources) float64 {
	size := s.sizeOnWorker()
	share := max(fraction(size.CPUMillis, pool.CPUMillis), fraction(size.MemoryMB, pool.MemoryMB), fraction(size.Accelerators, pool.Accelerators))
	return share * float64(s.waiting) * float64(c.taskTime(s)) / float64(max(1, c.expectedCallTime(s, 0)))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// eachStepForAdvice calls f for the ready steps that have no call in flight, in the order for
// calls and with their place in the ready list, until f returns false.
func (c *Cell) eachStepForAdvice(f func(place int, s *step) bool) {
	for _, a := range c.adviceOrder {
		if !a.step.advice.inFlight && !f(a.place, a.step) {
			return
		}
	}
}
