package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// runEnd is when a run is expected to end and what it frees.
type runEnd struct {
	at   time.Duration
	size work.Resources
}

func sortRunEnds(ends []runEnd) {
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
}

// gangSeat is the place of one member of a gang.
type gangSeat struct {
	worker *worker
	ticket string
	score  float64
}

// placeGang places all tasks of a gang at once, or none.
func (c *Cell) placeGang(s *step) {
	if s.waiting < len(s.tasks) {
		return // members of the last attempt still run
	}
	for i := range s.tasks {
		if s.tasks[i].notBefore > c.now {
			return
		}
	}
	all := s.size.Times(len(s.tasks))
	if !s.job.team.allows(all) || c.patient(s) && !s.job.team.allowsPatient(all) {
		return
	}
	seats := c.gangSeats(s)
	if len(seats) < len(s.tasks) {
		c.preemptFor(s, len(seats))
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
		c.place(&s.tasks[i], seats[i].worker, attempt+1, seats[i].ticket)
	}
}

// gangSeats returns the best places for the members of a gang; fewer than it has
// members if there is not enough room. A worker may hold several members.
func (c *Cell) gangSeats(s *step) []gangSeat {
	var seats, stale []gangSeat
	c.eachCandidate(s, func(w *worker, ticket string, fresh bool) {
		if !c.suits(s, w) || !c.roomFor(s, w) {
			return
		}
		seat := gangSeat{w, ticket, c.score(s, w)}
		n := c.seatsOn(s, w)
		for ; n > 0; n-- {
			if fresh {
				seats = append(seats, seat)
			} else {
				stale = append(stale, seat)
			}
		}
	})
	if len(seats) < len(s.tasks) && len(seats)+len(stale) >= len(s.tasks) {
		for _, seat := range stale {
			s.advice.renew(seat.worker)
		}
	}
	if s.spec.Colocated {
		c.preferOneRack(s, seats)
	}
	slices.SortStableFunc(seats, func(a, b gangSeat) int { return cmp.Compare(b.score, a.score) })
	return seats[:min(len(seats), len(s.tasks))]
}

// seatsOn returns how many members of a gang fit on a worker.
func (c *Cell) seatsOn(s *step, w *worker) int {
	n := 0
	free := w.free()
	for free.Holds(s.occupies()) && n < len(s.tasks) {
		free = free.Minus(s.occupies())
		n++
	}
	if limit := s.spec.MaxPerWorker; limit > 0 {
		n = min(n, limit)
	}
	return n
}

// preferOneRack raises the score of the seats on the rack with the most of them.
func (c *Cell) preferOneRack(s *step, seats []gangSeat) {
	count := map[string]int{}
	best := ""
	for _, seat := range seats {
		rack := seat.worker.info.Rack
		count[rack]++
		if best == "" || count[rack] > count[best] {
			best = rack
		}
	}
	for i := range seats {
		if seats[i].worker.info.Rack == best {
			seats[i].score += nearBonus
		}
	}
}
