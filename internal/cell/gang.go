package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// runEnd is the expected end of a run and the resources that it frees.
type runEnd struct {
	at   time.Duration
	size work.Resources
}

func sortRunEnds(ends []runEnd) {
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
}

// memberPlacement is a possible placement of one member of a gang.
type memberPlacement struct {
	worker *worker
	ticket string
	score  float64
}

// placeGang places all tasks of a gang at once, or none.
func (c *Cell) placeGang(s *step) {
	if s.waiting < len(s.tasks) {
		return // members of an earlier attempt still run
	}
	for i := range s.tasks {
		if s.tasks[i].notBefore > c.now {
			return
		}
	}
	if s.tasks[0].attempt == 0 && !c.recordHasRoom(s, len(s.tasks)) || !c.withinTeamLimit(s) {
		return
	}
	placements := c.memberPlacements(s)
	if len(placements) < len(s.tasks) {
		c.preemptFor(s, len(placements))
		return
	}
	attempt, checkpoint := 0, ""
	for i := range s.tasks {
		attempt = max(attempt, s.tasks[i].attempt)
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
		c.placeTask(&s.tasks[i], placements[i].worker, attempt+1, placements[i].ticket)
	}
}

// memberPlacements returns the best placements for the members of a gang, fewer than the
// gang has members if there is not enough room. A worker may hold several members. If
// the gang would fit with fresh tickets, it requests these.
func (c *Cell) memberPlacements(s *step) []memberPlacement {
	var placements, expired []memberPlacement
	c.eachCandidate(s, func(w *worker, ticket string, fresh bool) {
		if !c.meetsConstraints(s, w) || !c.hasRoomFor(s, w) {
			return
		}
		placement := memberPlacement{w, ticket, c.score(s, w)}
		n := c.tasksThatFit(s, w)
		for ; n > 0; n-- {
			if fresh {
				placements = append(placements, placement)
			} else {
				expired = append(expired, placement)
			}
		}
	})
	if len(placements) < len(s.tasks) && len(placements)+len(expired) >= len(s.tasks) {
		c.requestGangRenewal(s, append(expired, placements...))
	}
	if s.spec.Colocated {
		c.preferOneRack(s, placements)
	}
	slices.SortStableFunc(placements, func(a, b memberPlacement) int { return cmp.Compare(b.score, a.score) })
	return placements[:min(len(placements), len(s.tasks))]
}

// tasksThatFit returns how many tasks of a step fit on a worker.
func (c *Cell) tasksThatFit(s *step, w *worker) int { return s.tasksWithin(w.free()) }

// tasksWithin returns how many tasks of a step fit into the free resources of a worker.
func (s *step) tasksWithin(free work.Resources) int {
	n := 0
	for free.Covers(s.sizeOnWorker()) && n < len(s.tasks) {
		free = free.Minus(s.sizeOnWorker())
		n++
	}
	if limit := s.spec.MaxPerWorker; limit > 0 {
		n = min(n, limit)
	}
	return n
}

// preferOneRack raises the score of the placements on the rack that has most of them.
func (c *Cell) preferOneRack(s *step, placements []memberPlacement) {
	count := map[string]int{}
	best := ""
	for _, placement := range placements {
		rack := placement.worker.info.Rack
		count[rack]++
		if best == "" || count[rack] > count[best] {
			best = rack
		}
	}
	for i := range placements {
		if placements[i].worker.info.Rack == best {
			placements[i].score += affinityBonus
		}
	}
}
