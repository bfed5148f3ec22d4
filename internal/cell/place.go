package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Bounds of one scheduling pass.
const (
	maxReservedSteps = 12                    // blocked steps for which room is kept
	placeInterval    = 50 * time.Millisecond // passes without a change in between
	watchInterval    = 10 * time.Millisecond // between two looks at leases, orders and progress
	claimTime        = 700 * time.Millisecond
)

// claim is room on a worker that is being cleared for a step.
type claim struct {
	worker *worker
	until  time.Duration
}

// reservation keeps room on a worker for a step that is ahead in the order.
type reservation struct {
	step  *step
	size  work.Resources
	from  time.Duration  // when the room is expected to be there
	spare work.Resources // room that is left beside it from then on
}

// Schedule decides what to start, stop and ask. It is cheap when nothing has
// changed since the last call.
func (c *Cell) Schedule() {
	if c.now-c.watchedAt >= watchInterval {
		c.watchedAt = c.now
		c.watch()
	}
	if c.stepping || c.now-c.placedAt >= placeInterval {
		c.stepping = false
		c.placedAt = c.now
		c.placeAll()
	}
	c.planHolds()
	c.describeLoad()
}

// watch does what depends on time alone.
func (c *Cell) watch() {
	c.releaseTimed()
	c.expireLeases()
	c.retryOrders()
	c.expireAsks()
	c.watchProgress()
	c.evacuate()
	c.pace()
}

// placeAll places the tasks of the ready steps in their order. Room that a step
// ahead waits for is kept from those behind it.
//
// Without a configuration the limits of the teams are not known, so a new owner
// places nothing until it has one.
func (c *Cell) placeAll() {
	if c.config.Version == 0 {
		return
	}
	for _, w := range c.fleet {
		w.keep = w.keep[:0]
	}
	c.orderReady()
	c.countContenders()
	blocked := 0
	for _, s := range c.ready {
		c.dropClaims(s)
		if s.spec.Gang {
			c.placeGang(s)
		} else {
			c.placeTasks(s)
		}
		c.logPlaced(s)
		if s.waiting == 0 {
			continue
		}
		if s.job.queue.Advice == nil || len(s.advice.tickets) > 0 {
			s.triedAt = c.now
		}
		if blocked < maxReservedSteps {
			blocked++
			c.reserve(s)
		}
	}
	c.placeCopies()
	c.noteWaiting()
	c.askForAdvice()
}

// placeTasks places as many waiting tasks of a step as find room.
func (c *Cell) placeTasks(s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase != taskWaiting || t.notBefore > c.now {
			continue
		}
		if !s.job.team.allows(s.size) {
			c.preemptOwn(s)
			return
		}
		if c.patient(s) && !s.job.team.allowsPatient(s.size) {
			return
		}
		w, ticket := c.choose(s, t)
		if w == nil {
			c.preemptFor(s, 0)
			return
		}
		c.place(t, w, t.attempt+1, ticket)
	}
}

// place records a run; its start is sent once the record is written.
func (c *Cell) place(t *task, w *worker, attempt int, ticket string) {
	r := c.addRun(t, w, attempt)
	t.step.lastPlacedAt = c.now
	if t.step.placedAt == 0 {
		t.step.placedAt = c.now
	}
	c.placed = append(c.placed, r)
	r.phase = runRecording
	r.ticket = ticket
	r.checkpoint = t.checkpoint
	t.step.releaseClaim(w)
	c.takeSpare(t.step, w)
}

// choose returns the best worker for a task of a step and the ticket for it, or
// nil if none has room.
func (c *Cell) choose(s *step, t *task) (*worker, string) {
	var best *worker
	var bestTicket string
	bestScore := 0.0
	c.eachCandidate(s, func(w *worker, ticket string, fresh bool) {
		if !c.suits(s, w) || !c.roomFor(s, w) {
			return
		}
		if !fresh {
			s.advice.renew(w)
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

// eachCandidate calls f for the workers on which the policy of the queue allows
// the step to run. fresh tells whether the ticket may be used now.
func (c *Cell) eachCandidate(s *step, f func(w *worker, ticket string, fresh bool)) {
	if s.job.queue.Advice != nil {
		c.eachAdvised(s, f)
		return
	}
	for _, w := range c.fleet {
		if w.info.Pool == s.job.queue.Pool && c.takesWork(w) {
			f(w, "", true)
		}
	}
}

// suits reports whether a task of the step may run on the worker, apart from room.
func (c *Cell) suits(s *step, w *worker) bool {
	if s.spec.Constraint != "" && !w.hasLabel(s.spec.Constraint) {
		return false
	}
	if limit := s.spec.MaxPerWorker; limit > 0 && s.countOn(w) >= limit {
		return false
	}
	return true
}

// avoids reports whether an attempt of the task has failed on the worker.
func (t *task) avoids(w *worker) bool {
	for _, b := range t.bad {
		if b == w {
			return true
		}
	}
	return false
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// countOn counts the runs of the step on a worker.
func (s *step) countOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// roomFor reports whether a task of the step fits on the worker now, beside what
// is kept there for steps ahead of it.
func (c *Cell) roomFor(s *step, w *worker) bool {
	size := s.occupies()
	free := w.free()
	if !free.Holds(size) {
		return false
	}
	end := c.now + c.taskTime(s)
	if s.spec.LongRunning {
		end = farFuture
	}
	for i := range w.keep {
		k := &w.keep[i]
		if k.step == s || end <= k.from {
			continue
		}
		if !k.spare.Holds(size) {
			return false
		}
	}
	return true
}

// takeSpare counts a placed task against the room beside reservations.
func (c *Cell) takeSpare(s *step, w *worker) {
	for i := range w.keep {
		if w.keep[i].step != s {
			w.keep[i].spare = w.keep[i].spare.Minus(s.occupies())
		}
	}
}

// score rates a worker that has room: a tight fit leaves large rooms elsewhere,
// and a worker near the data or known to be fast is better.
func (c *Cell) score(s *step, w *worker) float64 {
	left := w.free().Minus(s.occupies())
	score := -fraction(left.CPUMillis, w.info.Capacity.CPUMillis)
	score -= fraction(left.MemoryMB, w.info.Capacity.MemoryMB)
	score -= 2 * fraction(left.Accelerators, w.info.Capacity.Accelerators)
	if s.spec.Opportunistic {
		score = c.idleShare(w)
	}
	if s.spec.Affinity != "" && w.hasLabel(s.spec.Affinity) {
		score += nearBonus
	}
	score -= contentionWeight * (w.contended - s.advice.claimOn(w))
	return score - slowPenalty*(w.health.slowness()-1)
}

// Weights of the score of a worker.
const (
	nearBonus        = 3.0
	slowPenalty      = 4.0
	contentionWeight = 0.5  // of a step that waits and may run on few workers
	avoidPenalty     = 10.0 // of a worker on which the task has failed
)

func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// idleShare estimates the share of a worker's processors that an opportunistic
// task may expect.
func (c *Cell) idleShare(w *worker) float64 {
	wanted := 0
	serving := false
	for _, r := range w.runs {
		if r.task.step.spec.Opportunistic {
			wanted += r.task.step.size.CPUMillis
		}
		serving = serving || r.task.step.spec.TargetLatencyMs > 0
	}
	share := fraction(w.free().CPUMillis-wanted, w.info.Capacity.CPUMillis)
	if serving {
		share--
	}
	return share
}

// reserve keeps the room for which a blocked step waits: for each waiting task,
// the worker on which room is expected first.
func (c *Cell) reserve(s *step) {
	if !s.job.team.allows(s.size) {
		return
	}
	var options []reservationOption
	c.eachCandidate(s, func(w *worker, _ string, _ bool) {
		if !c.suits(s, w) || !w.info.Capacity.Holds(s.occupies()) {
			return
		}
		if from, spare, ok := c.roomExpected(s, w); ok {
			options = append(options, reservationOption{w, reservation{step: s, size: s.occupies(), from: from, spare: spare}})
		}
	})
	for n := min(s.waiting, len(options)); n > 0; n-- {
		first := 0
		for i := range options {
			if options[i].from < options[first].from {
				first = i
			}
		}
		o := options[first]
		o.worker.keep = append(o.worker.keep, o.reservation)
		options = append(options[:first], options[first+1:]...)
	}
}

type reservationOption struct {
	worker *worker
	reservation
}

// roomExpected estimates when a worker will have room for a task of the step,
// and what is left beside it then. It reports false if other steps keep the
// room already.
func (c *Cell) roomExpected(s *step, w *worker) (time.Duration, work.Resources, bool) {
	size := s.occupies()
	free := w.free()
	for i := range w.keep {
		free = free.Minus(w.keep[i].size)
	}
	if free.Holds(size) {
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
		if free.Holds(size) {
			return e.at, free.Minus(size), true
		}
	}
	return 0, work.Resources{}, false
}
