package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Timing and bounds of the scheduling passes.
const (
	maxReservedSteps = 12                     // blocked steps that get reservations in a pass
	maxReservations  = 256                    // reservations in a pass
	passInterval     = 50 * time.Millisecond  // between passes without a change of the state
	timerInterval    = 10 * time.Millisecond  // between checks of leases, commands and progress
	nominationTTL    = 700 * time.Millisecond // time for which a nomination keeps the cleared room
)

// nomination is a worker on which room is cleared for a step by preemption.
type nomination struct {
	worker *worker
	until  time.Duration
}

// reservation keeps room on a worker for a blocked step, so that steps behind it in the
// ready list do not take it.
type reservation struct {
	step        *step
	size        work.Resources
	availableAt time.Duration  // when the room is expected to be free
	spare       work.Resources // room left beside it from then on
}

// Schedule runs the timers and, if the state has changed or passInterval is over, a
// scheduling pass. It is cheap if nothing has changed since the last call.
func (c *Cell) Schedule() {
	if c.now-c.timersCheckedAt >= timerInterval {
		c.timersCheckedAt = c.now
		c.checkTimers()
	}
	if c.changed || c.now-c.lastPassAt >= passInterval {
		c.changed = false
		c.lastPassAt = c.now
		c.schedulePass()
	}
	c.sendDuePolls()
	c.sendHeldStarts()
	c.logLoad()
}

// checkTimers handles what is due because of the time alone: occurrences, expired leases
// and calls, retries, stalled runs, evacuations and throttles.
func (c *Cell) checkTimers() {
	c.releaseDueOccurrences()
	c.checkOverdueCalls()
	c.expireLeases()
	c.retryCommands()
	c.expireAdviceCalls()
	c.stopStalledRuns()
	c.evacuate()
	c.checkEvacuations()
	c.adjustThrottles()
}

// schedulePass places the tasks of the ready steps in their order. Room that a blocked
// step waits for is reserved, so that later steps do not take it.
//
// Without a configuration the limits of the teams are not known, so a new owner places
// nothing until it has a configuration.
func (c *Cell) schedulePass() {
	if c.config.Version == 0 {
		return
	}
	for _, w := range c.fleet {
		w.reservations = w.reservations[:0]
	}
	c.orderReady()
	c.countContention()
	c.reserveMoveTargets()
	c.reserveOverdueRoom()
	blocked, reserved := 0, 0
	for _, s := range c.ready {
		c.renewNominations(s)
		c.placeStep(s)
		if s.waiting == 0 {
			continue
		}
		if s.roomReservedAt != c.now && blocked < maxReservedSteps && reserved < maxReservations {
			blocked++
			reserved += c.reserveRoom(s, maxReservations-reserved)
		}
	}
	c.placeSpeculativeCopies()
	c.updateSaturatedPools()
	c.requestAdvice()
}

// placeStep places the waiting tasks of a step, unless the requests for evacuation are not known,
// and notes whether it has found no room for one.
func (c *Cell) placeStep(s *step) {
	if !c.evacuationsKnown() {
		return
	}
	if s.spec.Gang {
		c.placeGang(s)
	} else {
		c.placeTasks(s)
	}
	c.logPlaced(s)
	if s.waiting > 0 && c.withinTeamLimit(s) && (s.work.queue.Advice == nil || len(s.advice.tickets) > 0) {
		s.noRoomAt = c.now
	}
}

// withinTeamLimit reports whether the limit of the team permits the next placement of the
// step: a task, or all tasks of a gang.
func (c *Cell) withinTeamLimit(s *step) bool {
	size := s.size
	if s.spec.Gang {
		size = s.size.Times(len(s.tasks))
	}
	return s.work.team.allows(size) && (!c.deferrable(s) || s.work.team.allowsDeferrable(size))
}

// placeTasks places the waiting tasks of a step as far as there is room, and tries
// preemption for the rest.
func (c *Cell) placeTasks(s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase != taskWaiting || t.notBefore > c.now {
			continue
		}
		if t.attempt == 0 && !c.recordHasRoom(s, 1) {
			return
		}
		if !s.work.team.allows(s.size) {
			c.preemptSameTeam(s)
			return
		}
		if c.deferrable(s) && !s.work.team.allowsDeferrable(s.size) {
			return
		}
		w, ticket := c.chooseWorker(s, t)
		if w == nil {
			c.preemptFor(s, 0)
			return
		}
		c.placeTask(t, w, t.attempt+1, ticket)
	}
}

// placeTask adds a run of the task on the worker. Its start is sent once the record of
// the work is written.
func (c *Cell) placeTask(t *task, w *worker, attempt int, ticket string) {
	r := c.addRun(t, w, attempt)
	t.step.lastPlacedAt = c.now
	if t.step.firstPlacedAt == 0 {
		t.step.firstPlacedAt = c.now
	}
	c.unloggedRuns = append(c.unloggedRuns, r)
	r.phase = runRecording
	r.ticket = ticket
	r.startCheckpoint = t.checkpoint
	t.step.removeNomination(w)
	c.chargeSpare(t.step, w)
}

// chooseWorker returns the worker with the highest score for a task and the ticket for
// it, or nil if no worker has room. It requests new tickets for workers that have room
// but no fresh ticket.
func (c *Cell) chooseWorker(s *step, t *task) (*worker, string) {
	var best *worker
	var bestTicket string
	bestScore := 0.0
	c.eachCandidate(s, func(w *worker, ticket string, fresh bool) {
		if !c.meetsConstraints(s, w) || !c.hasRoomFor(s, w) {
			return
		}
		if !fresh {
			s.requestRenewal(w)
			return
		}
		score := c.score(s, w)
		if t.avoids(w) {
			score -= avoidPenalty
		}
		if best == nil || score > bestScore {
			best, bestTicket, bestScore = w, ticket, score
		}
	})
	return best, bestTicket
}

// eachCandidate calls f for the workers that accept tasks of the step and may run it: those
// with a ticket if the queue uses advice, else those of the pool. fresh is false if the
// ticket has expired or is about to.
func (c *Cell) eachCandidate(s *step, f func(w *worker, ticket string, fresh bool)) {
	if s.work.queue.Advice != nil {
		c.eachTicketHolder(s, f)
		return
	}
	for _, w := range c.fleet {
		if w.info.Pool == s.work.queue.Pool && c.mayUse(s, w) {
			f(w, "", true)
		}
	}
}

// meetsConstraints reports whether the worker has the required label and fewer tasks of
// the step than its limit per worker.
func (c *Cell) meetsConstraints(s *step, w *worker) bool {
	if s.spec.Constraint != "" && !w.hasLabel(s.spec.Constraint) {
		return false
	}
	if limit := s.spec.MaxPerWorker; limit > 0 && s.countRunsOn(w) >= limit {
		return false
	}
	return true
}

// avoids reports whether a run of the task has failed or stalled on the worker.
func (t *task) avoids(w *worker) bool {
	return slices.Contains(t.avoidWorkers, w)
}

// avoid notes that a run of the task has failed or stalled on the worker.
func (t *task) avoid(w *worker) {
	t.avoidWorkers = slices.DeleteFunc(t.avoidWorkers, func(other *worker) bool { return other == w || other.ended })
	t.avoidWorkers = append(t.avoidWorkers, w)
}

func (w *worker) hasLabel(label string) bool {
	return slices.Contains(w.info.Labels, label)
}

// countRunsOn counts the runs of the step on a worker.
func (s *step) countRunsOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// hasRoomFor reports whether a task of the step fits on the worker now without delaying
// the reservations of other steps.
func (c *Cell) hasRoomFor(s *step, w *worker) bool {
	size := s.sizeOnWorker()
	free := w.free()
	if !free.Covers(size) {
		return false
	}
	end := c.now + c.taskTime(s)
	if s.spec.LongRunning {
		end = farFuture
	}
	for i := range w.reservations {
		res := &w.reservations[i]
		if res.step == s || end <= res.availableAt {
			continue
		}
		if !res.spare.Covers(size) {
			return false
		}
	}
	return true
}

// chargeSpare subtracts a placed task from the spare room of the reservations of other
// steps.
func (c *Cell) chargeSpare(s *step, w *worker) {
	for i := range w.reservations {
		if w.reservations[i].step != s {
			w.reservations[i].spare = w.reservations[i].spare.Minus(s.sizeOnWorker())
		}
	}
}

// score ranks workers with room. It prefers a tight fit, which leaves large free blocks
// on other workers, little fragmentation for tasks of other sizes, workers near the data,
// workers with little contention and workers that are not slow. Opportunistic tasks go to
// the worker with the most idle CPU.
func (c *Cell) score(s *step, w *worker) float64 {
	left := w.free().Minus(s.sizeOnWorker())
	score := -fraction(left.CPUMillis, w.info.Capacity.CPUMillis)
	score -= fraction(left.MemoryMB, w.info.Capacity.MemoryMB)
	score -= 2 * fraction(left.Accelerators, w.info.Capacity.Accelerators)
	if s.spec.Opportunistic {
		score = c.idleShare(w)
	}
	if s.spec.Affinity != "" && w.hasLabel(s.spec.Affinity) {
		score += affinityBonus
	}
	if w.health.quarantined(c.now) {
		score -= quarantinePenalty
	}
	score -= slowLinkPenalty * max(0, w.roundTrip.smoothed-usualRoundTrip).Seconds()
	score -= contentionWeight * (w.contention - s.advice.contentionShare(w))
	score -= fragmentationWeight * c.fragmentationCost(s, w)
	return score - slowPenalty*(w.health.runTimeFactor()-1)
}

// Weights in the score of a worker.
const (
	affinityBonus     = 3.0
	slowPenalty       = 4.0
	contentionWeight  = 0.5  // for each unit of contention by other steps
	avoidPenalty      = 10.0 // for a worker on which the task has failed or stalled
	quarantinePenalty = 40.0
	slowLinkPenalty   = 4.0 // for each second of round trip beyond usualRoundTrip
)

// usualRoundTrip is a round trip that makes no difference to placement.
const usualRoundTrip = 50 * time.Millisecond

func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// idleShare estimates the share of a worker's CPU that is left for one more
// opportunistic task. Workers with a task that has a latency target get 1 less.
func (c *Cell) idleShare(w *worker) float64 {
	wanted := 0
	hasTarget := false
	for _, r := range w.runs {
		if r.task.step.spec.Opportunistic {
			wanted += r.task.step.size.CPUMillis
		}
		hasTarget = hasTarget || r.task.step.spec.TargetLatencyMs > 0
	}
	share := fraction(w.free().CPUMillis-wanted, w.info.Capacity.CPUMillis)
	if hasTarget {
		share--
	}
	return share
}

// reserveRoom adds reservations for a blocked step, at most limit: for each waiting task,
// the worker on which room is expected first. A worker may be reserved for several tasks,
// because a gang that gets room for one on each worker may never start. It returns the
// number of reservations.
func (c *Cell) reserveRoom(s *step, limit int) int {
	if !s.work.team.allows(s.size) {
		return 0
	}
	var options []reservationOption
	c.eachCandidate(s, func(w *worker, _ string, _ bool) {
		if !c.meetsConstraints(s, w) || !w.info.Capacity.Covers(s.sizeOnWorker()) {
			return
		}
		if o, ok := c.reservationOn(s, w); ok {
			options = append(options, o)
		}
	})
	reserved := 0
	for ; reserved < min(s.waiting, limit) && len(options) > 0; reserved++ {
		first := 0
		for i := range options {
			if options[i].availableAt < options[first].availableAt {
				first = i
			}
		}
		o := &options[first]
		o.worker.reservations = append(o.worker.reservations, o.reservation)
		o.tasks++
		next, ok := c.reservationOn(s, o.worker)
		if !ok || s.spec.MaxPerWorker > 0 && s.countRunsOn(o.worker)+o.tasks >= s.spec.MaxPerWorker {
			options = append(options[:first], options[first+1:]...)
			continue
		}
		o.reservation = next.reservation
	}
	return reserved
}

// reservationOption is a possible reservation on a worker.
type reservationOption struct {
	worker *worker
	tasks  int // reservations for the same step on the worker
	reservation
}

// reservationOn returns the next reservation that is possible for a step on a worker.
func (c *Cell) reservationOn(s *step, w *worker) (reservationOption, bool) {
	availableAt, spare, ok := c.expectRoom(s, w)
	return reservationOption{worker: w, reservation: reservation{step: s, size: s.sizeOnWorker(), availableAt: availableAt, spare: spare}}, ok
}

// expectRoom estimates when a worker will have room for a task of the step, and the room
// left beside it then. It returns false if the runs that end do not free enough room
// beside the reservations of other steps.
func (c *Cell) expectRoom(s *step, w *worker) (time.Duration, work.Resources, bool) {
	size := s.sizeOnWorker()
	free := w.free()
	for i := range w.reservations {
		free = free.Minus(w.reservations[i].size)
	}
	if free.Covers(size) {
		return c.now, free.Minus(size), true
	}
	ends := make([]runEnd, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, runEnd{c.expectedEnd(r), r.size})
	}
	sortRunEnds(ends)
	for _, e := range ends {
		if e.at == farFuture {
			break
		}
		free = free.Plus(e.size)
		if free.Covers(size) {
			return e.at, free.Minus(size), true
		}
	}
	return 0, work.Resources{}, false
}
