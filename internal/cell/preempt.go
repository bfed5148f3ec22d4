package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Preemption.
const (
	preemptSlack    = 400 * time.Millisecond // a step that has more time left waits for room
	preemptShare    = 0.3                    // or with more than this share of its objective left
	maxVictims      = 8                      // tasks stopped for one task
	lateVictimCost  = 20.0                   // core-seconds that making a victim late counts as
	preemptInterval = 100 * time.Millisecond // between two preemptions for a step
	preemptYoung    = 300 * time.Millisecond // a run without checkpoints is stopped only within this time
)

// urgent reports whether a step would be late if it waited for room much longer.
func (c *Cell) urgent(s *step) bool {
	limit := max(preemptSlack, time.Duration(preemptShare*float64(s.occ.deadline-s.occ.due)))
	return s.key.rank == rankInTime && s.key.startBy-c.now <= limit
}

// patient reports whether a step of lower priority still has much of its time left.
func (c *Cell) patient(s *step) bool {
	return s.job.queue.Priority > 0 && !s.spec.LongRunning && s.key.rank == rankInTime &&
		s.key.startBy-c.now > time.Duration(patientSlack*float64(s.occ.deadline-s.occ.due))
}

// patientSlack is the part of its objective that a step has left when it may take the
// last part of the limit of its team.
const patientSlack = 0.25

// preemptFor stops work of lower priority for a step that would otherwise be late.
// seats is the number of its waiting tasks for which there is room already.
func (c *Cell) preemptFor(s *step, seats int) {
	if !c.urgent(s) || s.preemptAt > c.now {
		return
	}
	s.preemptAt = c.now + preemptInterval
	for seats+len(s.claims) < s.waiting {
		w, victims := c.cheapestVictims(s)
		if w == nil {
			return
		}
		for _, r := range victims {
			c.stats.Preempted++
			c.stopRun(r, "preempted by work of higher priority")
		}
		c.keepClaim(s, claim{w, c.now + claimTime})
	}
}

// preemptOwn stops work of the same team when its limit keeps the step from being
// placed.
func (c *Cell) preemptOwn(s *step) {
	if !c.urgent(s) || s.preemptAt > c.now {
		return
	}
	s.preemptAt = c.now + preemptInterval
	var victims []*run
	free := *s.job.team // the use of the team once what is being stopped has ended
	for _, w := range c.fleet {
		for _, r := range w.runs {
			if r.task.step.job.team != s.job.team {
				continue
			}
			if r.phase == runStopping {
				free.used = free.used.Minus(r.task.step.size)
			} else if c.mayPreempt(s, r) {
				victims = append(victims, r)
			}
		}
	}
	slices.SortFunc(victims, func(a, b *run) int { return cmp.Compare(c.lostWork(a), c.lostWork(b)) })
	need := s.size.Times(s.waiting)
	for _, r := range victims {
		if free.allows(need) {
			return
		}
		free.used = free.used.Minus(r.task.step.size)
		c.stats.Preempted++
		c.stopRun(r, "preempted by work of higher priority of the same team")
	}
}

// keepClaim keeps the room of a claim from other steps.
func (c *Cell) keepClaim(s *step, cl claim) {
	s.claims = append(s.claims, cl)
	size := s.occupies()
	spare := cl.worker.free().Plus(cl.worker.stopping()).Minus(size)
	for i := range cl.worker.keep {
		spare = spare.Minus(cl.worker.keep[i].size)
	}
	cl.worker.keep = append(cl.worker.keep, reservation{step: s, size: size, from: c.now, spare: spare})
}

// cheapestVictims returns the worker on which room for a task of the step costs
// the least work, and the runs to be stopped there.
func (c *Cell) cheapestVictims(s *step) (*worker, []*run) {
	var best *worker
	var bestRuns []*run
	bestCost := 0.0
	c.eachCandidate(s, func(w *worker, _ string, fresh bool) {
		if !c.suits(s, w) || !w.info.Capacity.Holds(s.occupies()) {
			return
		}
		runs, cost, ok := c.victimsOn(s, w)
		if ok && len(runs) > 0 && (best == nil || cost < bestCost) {
			best, bestRuns, bestCost = w, runs, cost
		}
	})
	return best, bestRuns
}

// victimsOn returns the runs to be stopped on a worker for a task of the step.
func (c *Cell) victimsOn(s *step, w *worker) ([]*run, float64, bool) {
	size := s.occupies()
	free := w.free()
	for _, k := range w.keep {
		if k.step == s || compareSteps(k.step, s) < 0 {
			free = free.Minus(k.size)
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
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(c.lostWork(a), c.lostWork(b)) })
	cost := 0.0
	for i, r := range runs {
		if free.Holds(size) || i >= maxVictims {
			runs = runs[:i]
			break
		}
		free = free.Plus(r.size)
		cost += c.lostWork(r)
	}
	return runs, cost, free.Holds(size)
}

// mayPreempt reports whether a run may be stopped for the step.
func (c *Cell) mayPreempt(s *step, r *run) bool {
	v := r.task.step
	return v.job.queue.Priority > s.job.queue.Priority && !v.spec.LongRunning && !v.spec.Gang &&
		r.phase == runActive && (v.spec.Checkpoints || c.now-r.activeAt < preemptYoung)
}

// lostWork estimates the work that a stop of a run throws away, in core-seconds,
// with an addition if it makes the work of the run late.
func (c *Cell) lostWork(r *run) float64 {
	s := r.task.step
	cores := float64(s.size.CPUMillis)/1000 + 8*float64(s.size.Accelerators)
	lost := c.now - r.activeAt
	if s.spec.Checkpoints {
		lost = c.opts.RestoreTime // a checkpoint is written at the stop
	}
	cost := cores * lost.Seconds()
	if o := s.occ; c.now <= o.deadline && c.expectedEnd(r)+c.opts.RestoreTime+preemptSlack > o.deadline {
		cost += lateVictimCost
	}
	return cost
}

// dropClaims forgets claims that have run out, and keeps the room of the others.
func (c *Cell) dropClaims(s *step) {
	claims := s.claims
	s.claims = nil
	for _, cl := range claims {
		if cl.until > c.now && !cl.worker.gone {
			c.keepClaim(s, cl)
		}
	}
}

func (s *step) releaseClaim(w *worker) {
	for i := range s.claims {
		if s.claims[i].worker == w {
			s.claims = append(s.claims[:i], s.claims[i+1:]...)
			return
		}
	}
}

// stopping returns what the runs take that are being stopped on the worker.
func (w *worker) stopping() work.Resources {
	var out work.Resources
	for _, r := range w.runs {
		if r.phase == runStopping {
			out = out.Plus(r.size)
		}
	}
	return out
}
