package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// maxMoveCallShare is the share of the nodes that may have an advice call for a long-running
// task in an evacuated failure domain. These tasks run on while they wait, so the calls leave
// the other nodes to work that does not run yet.
const maxMoveCallShare = 0.125

// domainMove keeps room on a worker for a long-running task that was stopped in an evacuated
// failure domain, until the task is placed. Otherwise many tasks would be stopped for the same
// room.
type domainMove struct {
	task   *task
	target *worker
	until  time.Duration
}

// moveLongRunningTasks stops long-running tasks in evacuated failure domains for which another
// worker has room and a valid ticket, within the disruption budgets of their steps.
func (c *Cell) moveLongRunningTasks() {
	if !c.evacuationsKnown() {
		return // nothing could be placed elsewhere
	}
	c.dropEndedMoves()
	for _, w := range c.fleet {
		if !w.evacuated || w.ended || w.unresponsiveSince != 0 {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			if !c.mayMove(r) {
				continue
			}
			if target := c.moveTarget(r.task.step); target != nil {
				c.evacuations.moves = append(c.evacuations.moves, domainMove{r.task, target, c.now + c.opts.StopTimeout + nominationTTL})
				c.stopForEvacuation(r)
			}
		}
	}
}

// mayMove reports whether a run is a long-running task that may be stopped within the disruption
// budget of its step. A team that uses more than its limit, which has been lowered, could not
// place the task again.
func (c *Cell) mayMove(r *run) bool {
	s := r.task.step
	return s.spec.LongRunning && !s.spec.Gang && !r.redundant && r.phase == runActive &&
		s.work.team.allows(work.Resources{}) && c.countUnavailable(s) < s.spec.DisruptionBudget
}

// moveTarget returns a worker that has room for one more task of a step beside the moves in
// progress, and a ticket that is valid for long enough; nil if there is none.
func (c *Cell) moveTarget(s *step) *worker {
	var target *worker
	c.eachCandidate(s, func(w *worker, _ string, valid bool) {
		if target == nil && valid && c.outlastsMove(s, w) && c.hasRoomForMove(s, w) {
			target = w
		}
	})
	return target
}

// outlastsMove reports whether the ticket for a worker, if one is needed, stays valid for the stop
// of a task and its placement there. Of a ticket with a short validity, half of that is enough.
func (c *Cell) outlastsMove(s *step, w *worker) bool {
	t := s.ticketOf(w)
	if t == nil || s.work.queue.Advice == nil {
		return true
	}
	return t.expires > c.now+min(c.opts.StopTimeout+ticketUseTime, s.work.queue.Advice.ValidFor/2)
}

// hasRoomForMove reports whether a worker has room for a task of a step beside the moves in
// progress.
func (c *Cell) hasRoomForMove(s *step, w *worker) bool {
	var moving work.Resources
	ofStep := 0
	for _, m := range c.evacuations.moves {
		if m.target != w {
			continue
		}
		moving = moving.Plus(m.task.step.sizeOnWorker())
		if m.task.step == s {
			ofStep++
		}
	}
	if limit := s.spec.MaxPerWorker; limit > 0 && s.countRunsOn(w)+ofStep >= limit {
		return false
	}
	return c.meetsConstraints(s, w) && c.hasRoomFor(s, w) && w.free().Minus(moving).Covers(s.sizeOnWorker())
}

// dropEndedMoves drops the moves whose task is placed or done, or can't be placed on the target
// any more.
func (c *Cell) dropEndedMoves() {
	c.evacuations.moves = slices.DeleteFunc(c.evacuations.moves, func(m domainMove) bool {
		return m.until <= c.now || !c.isOpen(m.target) || !m.inProgress()
	})
}

// inProgress reports whether the task is being stopped or waits for its placement.
func (m *domainMove) inProgress() bool {
	if m.task.phase == taskDone || isTerminal(m.task.step.work.state) {
		return false
	}
	return !slices.ContainsFunc(m.task.runs, func(r *run) bool { return r.phase != runStopping })
}

// reserveMoveTargets reserves room for the moves in progress in this pass.
func (c *Cell) reserveMoveTargets() {
	c.dropEndedMoves()
	for _, m := range c.evacuations.moves {
		size := m.task.step.sizeOnWorker()
		spare := m.target.free().Minus(size)
		for i := range m.target.reservations {
			spare = spare.Minus(m.target.reservations[i].size)
		}
		m.target.reservations = append(m.target.reservations, reservation{step: m.task.step, size: size, availableAt: c.now, spare: spare})
	}
}

// requestMoveAdvice emits advice calls for the long-running steps in evacuated failure domains
// that may be moved, but have no valid ticket for a worker with room.
func (c *Cell) requestMoveAdvice() {
	steps, inFlight := c.stepsToMove()
	free := max(1, int(maxMoveCallShare*float64(len(c.adviceNodes)))) - inFlight
	for _, s := range steps {
		if free <= 0 {
			return
		}
		c.forgetRemovedWorkers(s)
		workers := c.workersForMove(s)
		if len(workers) == 0 {
			continue
		}
		if !c.callForAdvice(s, workers) {
			return
		}
		free--
	}
}

// stepsToMove returns the long-running steps that may be moved out of evacuated failure domains
// and have no advice call in flight, and the number of those that have one.
func (c *Cell) stepsToMove() (steps []*step, inFlight int) {
	seen := map[*step]bool{}
	for _, w := range c.fleet {
		if !w.evacuated || w.ended {
			continue
		}
		for _, r := range w.runs {
			s := r.task.step
			switch {
			case s.work.queue.Advice == nil || seen[s] || !c.mayMove(r):
				continue
			case s.advice.inFlight:
				inFlight++
			default:
				steps = append(steps, s)
			}
			seen[s] = true
		}
	}
	return steps, inFlight
}

// workersForMove returns the workers for an advice call for a step that may be moved: none if a
// worker with room has a valid ticket, else those with room whose tickets have expired, else
// those with room that were not queried.
func (c *Cell) workersForMove(s *step) []*worker {
	if c.moveTarget(s) != nil {
		return nil
	}
	var expired []*worker
	c.eachCandidate(s, func(w *worker, _ string, _ bool) {
		if len(expired) < maxRenewalWorkers && c.hasRoomForMove(s, w) {
			expired = append(expired, w)
		}
	})
	if len(expired) > 0 {
		return expired
	}
	return slices.DeleteFunc(c.unqueriedWorkers(s), func(w *worker) bool { return !c.hasRoomForMove(s, w) })
}
