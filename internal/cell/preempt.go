package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Bounds of preemption.
const (
	preemptSlack      = 400 * time.Millisecond // a step is urgent if it has less time left than this
	preemptSlackShare = 0.3                    // or less than this share of its objective
	maxVictims        = 8                      // runs stopped for one task
	maxStarvedVictims = 64                     // the same for a starved step
	lateVictimCost    = 20.0                   // core-seconds added for a victim that becomes late
	preemptInterval   = 100 * time.Millisecond // between preemptions for a step
	preemptMaxAge     = 300 * time.Millisecond // a run without checkpoints is preempted only within this time of its start
)

// urgent reports whether a step that can still meet its deadline would miss it if it
// waited much longer.
func (c *Cell) urgent(s *step) bool {
	limit := max(preemptSlack, time.Duration(preemptSlackShare*float64(s.occurrence.deadline-s.occurrence.due)))
	return s.orderKey.rank == rankInTime && s.orderKey.startBy-c.now <= limit
}

// deferrable reports whether a step is below the highest priority and has much of its
// objective left.
func (c *Cell) deferrable(s *step) bool {
	return s.work.queue.Priority > 0 && !s.spec.LongRunning && s.orderKey.rank == rankInTime &&
		s.orderKey.startBy-c.now > time.Duration(deferrableSlackShare*float64(s.occurrence.deadline-s.occurrence.due))
}

// deferrableSlackShare is the share of its objective below which a step may use the last
// part of the limit of its team.
const deferrableSlackShare = 0.25

// preemptFor stops runs of lower priority for an urgent step and nominates their workers
// for it. placeable is the number of waiting tasks for which there is room already.
func (c *Cell) preemptFor(s *step, placeable int) {
	if !c.urgent(s) || s.nextPreemptAt > c.now {
		return
	}
	s.nextPreemptAt = c.now + preemptInterval
	placeable += c.countRoomWithoutTicket(s)
	for placeable+len(s.nominations) < s.waiting {
		w, victims := c.cheapestVictims(s)
		if w == nil {
			return
		}
		for _, r := range victims {
			c.stats.Preempted++
			c.stopRun(r, "preempted by work of higher priority")
		}
		c.reserveNomination(s, nomination{w, c.now + nominationTTL})
	}
}

// preemptSameTeam stops runs of lower priority of the same team if the limit of the team
// blocks an urgent step.
func (c *Cell) preemptSameTeam(s *step) {
	if !c.urgent(s) || s.nextPreemptAt > c.now {
		return
	}
	s.nextPreemptAt = c.now + preemptInterval
	var victims []*run
	teamAfter := *s.work.team // the team with its usage once the stopping runs have ended
	for _, w := range c.fleet {
		for _, r := range w.runs {
			if r.task.step.work.team != s.work.team {
				continue
			}
			if r.phase == runStopping {
				teamAfter.used = teamAfter.used.Minus(r.task.step.size)
			} else if c.hasLowerPriority(s, r) {
				victims = append(victims, r)
			}
		}
	}
	slices.SortFunc(victims, func(a, b *run) int { return cmp.Compare(c.preemptionCost(a), c.preemptionCost(b)) })
	need := s.size.Times(s.waiting)
	for _, r := range victims {
		if teamAfter.allows(need) {
			return
		}
		teamAfter.used = teamAfter.used.Minus(r.task.step.size)
		c.stats.Preempted++
		c.stopRun(r, "preempted by work of higher priority of the same team")
	}
}

// reserveNomination adds a nomination to the step and reserves its room.
func (c *Cell) reserveNomination(s *step, n nomination) {
	s.nominations = append(s.nominations, n)
	size := s.sizeOnWorker()
	spare := n.worker.free().Plus(n.worker.stoppingSize()).Minus(size)
	for i := range n.worker.reservations {
		spare = spare.Minus(n.worker.reservations[i].size)
	}
	n.worker.reservations = append(n.worker.reservations, reservation{step: s, size: size, availableAt: c.now, spare: spare})
}

// cheapestVictims returns the worker with the lowest preemption cost for a task of the
// step, and the runs to stop there.
func (c *Cell) cheapestVictims(s *step) (*worker, []*run) {
	var best *worker
	var bestRuns []*run
	bestCost := 0.0
	c.eachCandidate(s, func(w *worker, _ string, fresh bool) {
		if !c.meetsConstraints(s, w) || !w.info.Capacity.Covers(s.sizeOnWorker()) {
			return
		}
		runs, cost, ok := c.victimsOn(s, w)
		if ok && len(runs) > 0 && (best == nil || cost < bestCost) {
			best, bestRuns, bestCost = w, runs, cost
		}
	})
	return best, bestRuns
}

// victimsOn returns the runs to stop on a worker for a task of the step, their cost, and
// whether they free enough room.
func (c *Cell) victimsOn(s *step, w *worker) ([]*run, float64, bool) {
	size := s.sizeOnWorker()
	free := w.free()
	for _, res := range w.reservations {
		if res.step == s || compareSteps(res.step, s) < 0 {
			free = free.Minus(res.size)
		}
	}
	var runs []*run
	for _, r := range w.runs {
		if r.phase == runStopping {
			free = free.Plus(r.size)
		} else if c.mayPreempt(s, r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(c.preemptionCost(a), c.preemptionCost(b)) })
	cost := 0.0
	for i, r := range runs {
		if free.Covers(size) || i >= victimLimit(s) {
			runs = runs[:i]
			break
		}
		free = free.Plus(r.size)
		cost += c.preemptionCost(r)
	}
	return runs, cost, free.Covers(size)
}

// victimLimit returns how many runs may be stopped for one task of the step.
func victimLimit(s *step) int {
	if s.starved {
		return maxStarvedVictims
	}
	return maxVictims
}

// mayPreempt reports whether a run may be preempted to make room for the step. A starved
// step may preempt any run that ends by itself.
func (c *Cell) mayPreempt(s *step, r *run) bool {
	if s.starved && r.phase == runActive && !r.task.step.spec.LongRunning {
		return true
	}
	return c.hasLowerPriority(s, r)
}

// hasLowerPriority reports whether a run may be preempted for a step of higher priority.
func (c *Cell) hasLowerPriority(s *step, r *run) bool {
	victim := r.task.step
	return victim.work.queue.Priority > s.work.queue.Priority && !victim.spec.LongRunning && !victim.spec.Gang &&
		r.phase == runActive && (victim.spec.Checkpoints || c.now-r.activeAt < preemptMaxAge)
}

// preemptionCost estimates the computing time lost by a stop of the run, in core-seconds,
// where an accelerator counts as 8 cores. lateVictimCost is added if the stop makes the
// run miss its deadline.
func (c *Cell) preemptionCost(r *run) float64 {
	s := r.task.step
	cores := float64(s.size.CPUMillis)/1000 + 8*float64(s.size.Accelerators)
	lost := c.now - r.activeAt
	if s.spec.Checkpoints {
		lost = c.opts.RestoreTime // the stop writes a checkpoint
	}
	cost := cores * lost.Seconds()
	if s.spec.Gang {
		cost *= float64(len(s.tasks)) // the other members are stopped as well
	}
	if o := s.occurrence; c.now <= o.deadline && c.expectedEnd(r)+c.opts.RestoreTime+preemptSlack > o.deadline {
		cost += lateVictimCost
	}
	return cost
}

// renewNominations drops the nominations that have expired or whose failure domain is evacuated,
// and reserves the room of the others again in this pass.
func (c *Cell) renewNominations(s *step) {
	nominations := s.nominations
	s.nominations = nil
	for _, n := range nominations {
		if n.until > c.now && !n.worker.ended && !n.worker.evacuated {
			c.reserveNomination(s, n)
		}
	}
}

// countRoomWithoutTicket counts the workers that have room for a task of the step and wait
// only for a new ticket. Workers nominated for the step do not count.
func (c *Cell) countRoomWithoutTicket(s *step) int {
	n := 0
	c.eachCandidate(s, func(w *worker, _ string, fresh bool) {
		if !fresh && !s.nominates(w) && c.meetsConstraints(s, w) && c.hasRoomFor(s, w) {
			n++
		}
	})
	return n
}

// nominates reports whether room on the worker is cleared for the step.
func (s *step) nominates(w *worker) bool {
	return slices.ContainsFunc(s.nominations, func(n nomination) bool { return n.worker == w })
}

func (s *step) removeNomination(w *worker) {
	for i := range s.nominations {
		if s.nominations[i].worker == w {
			s.nominations = append(s.nominations[:i], s.nominations[i+1:]...)
			return
		}
	}
}

// stoppingSize returns the resources of the stopping runs on the worker.
func (w *worker) stoppingSize() work.Resources {
	var out work.Resources
	for _, r := range w.runs {
		if r.phase == runStopping {
			out = out.Plus(r.size)
		}
	}
	return out
}
