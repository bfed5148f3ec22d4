package cell

import (
	"cmp"
	"slices"
)

// overdueRoomSteps is the number of steps of a pool for which room is kept ahead of the
// order. More than one, so that a step that waits for new tickets does not hold up the rest.
const overdueRoomSteps = 2

// reserveOverdueRoom keeps room for the steps of each pool that end by themselves, can no
// longer meet their deadline and have waited longest: for all members of a gang, otherwise
// for one task. Tasks that end before the room is complete may still use it.
func (c *Cell) reserveOverdueRoom() {
	kept := map[string]int{}
	for _, s := range c.overdueForRoom() {
		pool := s.work.queue.Pool
		if kept[pool] < overdueRoomSteps && c.reserveNextPlacement(s) {
			s.roomReservedAt = c.now
			kept[pool]++
		}
	}
}

// overdueForRoom returns the ready steps that may get room ahead of the order, by the time
// since a task of them was placed.
func (c *Cell) overdueForRoom() []*step {
	var out []*step
	for _, s := range c.ready {
		late := s.orderKey.rank != rankInTime && !s.spec.LongRunning
		if late && s.waiting > 0 && c.waitOf(s) > overdueAfter && c.withinTeamLimit(s) {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *step) int { return cmp.Compare(c.waitOf(b), c.waitOf(a)) })
	return out
}

// reserveNextPlacement reserves the room for the next placement of a step, and reports
// whether there will be enough. It leaves nothing reserved for a part of a gang.
func (c *Cell) reserveNextPlacement(s *step) bool {
	if !s.spec.Gang {
		return c.reserveRoom(s, 1) > 0
	}
	if s.waiting == len(s.tasks) && c.reserveRoom(s, maxReservations) == len(s.tasks) {
		return true
	}
	for _, w := range c.fleet {
		w.reservations = slices.DeleteFunc(w.reservations, func(r reservation) bool { return r.step == s })
	}
	return false
}
