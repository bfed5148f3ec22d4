package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// waitLogThreshold is how long a task is away or waits before its step is logged each
// loadLogInterval.
const waitLogThreshold = 3 * time.Second

// exclusion is the first reason why a task of a step is not placed on a worker.
type exclusion int

const (
	excludedEvacuationsUnknown exclusion = iota // the requests for evacuation are not known, so nothing is placed anywhere
	excludedUnlisted                            // not in the list of workers
	excludedEvacuated                           // its failure domain is evacuated
	excludedUnresponsive                        // no report since the last error, or since this node owns the cell
	excludedQuarantined                         // runs of several works have failed there
	excludedPaused                              // draining, paused, or with runs that are not recorded
	excludedUnsuitable                          // too small, without the required label, or at the limit of tasks per worker
	excludedNotQueried                          // not in an answered advice call
	excludedNotPermitted                        // in an answered advice call, and without a ticket
	excludedNoRoom                              // too little free capacity
	excludedReserved                            // its room is reserved for steps that come first
	excludedTicketExpired                       // a new ticket is needed
	notExcluded
	exclusionKinds
)

// logWaitingSteps logs the long-running steps of which a task has been away too long and,
// for each queue, the step that has waited longest if it has waited too long.
func (c *Cell) logWaitingSteps() {
	for _, s := range c.longRunningSteps() {
		if away := c.longestAbsence(s); away >= waitLogThreshold {
			c.logWaitingStep(event.LongRunningStepWaits, s, "away_ms", away.Milliseconds())
		}
	}
	for _, s := range c.longestWaitingSteps() {
		if c.waitOf(s) >= waitLogThreshold {
			c.logWaitingStep(event.StepWaits, s, "wait_ms", c.waitOf(s).Milliseconds(), "rank", int(s.orderKey.rank), "queue", s.work.spec.Queue)
		}
	}
}

// maxStepsAtEnd bounds the steps that LogWaitingTasks logs.
const maxStepsAtEnd = 8

// LogWaitingTasks logs the long-running steps with tasks that wait, however short their wait is:
// a task may wait under several owners, for a reason of each.
func (c *Cell) LogWaitingTasks() {
	logged := 0
	for _, s := range c.longRunningSteps() {
		if s.waiting > 0 && logged < maxStepsAtEnd {
			c.logWaitingStep(event.LongRunningStepWaits, s, "away_ms", c.longestAbsence(s).Milliseconds(), "owner_ends", true)
			logged++
		}
	}
}

// logWaitingStep logs why the tasks of a step wait: the number of workers of the pool by
// the first reason that excludes them.
func (c *Cell) logWaitingStep(e event.Event, s *step, fields ...any) {
	n := c.countExclusions(s)
	c.log(e, append([]any{"work", s.work.spec.Id, "step", s.number, "team", s.work.team.name,
		"waiting", s.waiting, "team_allows", s.work.team.allows(s.size),
		"tickets_received", s.advice.ticketsReceived, "tickets", len(s.advice.tickets), "call_in_flight", s.advice.inFlight,
		"evacuations_unknown", n[excludedEvacuationsUnknown], "unlisted", n[excludedUnlisted], "evacuated", n[excludedEvacuated],
		"unresponsive", n[excludedUnresponsive], "quarantined", n[excludedQuarantined],
		"paused", n[excludedPaused], "unsuitable", n[excludedUnsuitable], "not_queried", n[excludedNotQueried],
		"not_permitted", n[excludedNotPermitted], "no_room", n[excludedNoRoom], "reserved", n[excludedReserved],
		"ticket_expired", n[excludedTicketExpired], "available", n[notExcluded]}, fields...)...)
}

// longestWaitingSteps returns for each queue the ready step that ends by itself and has
// waited longest, ordered by queue.
func (c *Cell) longestWaitingSteps() []*step {
	longest := map[string]*step{}
	for _, s := range c.ready {
		if s.waiting == 0 || s.spec.LongRunning {
			continue
		}
		if other := longest[s.work.spec.Queue]; other == nil || c.waitOf(s) > c.waitOf(other) {
			longest[s.work.spec.Queue] = s
		}
	}
	return slices.SortedFunc(maps.Values(longest), func(a, b *step) int { return cmp.Compare(a.work.spec.Queue, b.work.spec.Queue) })
}

// waitOf returns how long a ready step has waited since a task of it was last placed.
func (c *Cell) waitOf(s *step) time.Duration { return c.now - max(s.waitingSince(), s.lastPlacedAt) }

// longRunningSteps returns the long-running steps that are due, ordered by work and number.
func (c *Cell) longRunningSteps() []*step {
	var out []*step
	for _, aw := range c.works {
		if isTerminal(aw.state) {
			continue
		}
		for _, o := range aw.occurrences {
			for _, s := range o.steps {
				if s.spec.LongRunning && s.pendingDependencies == 0 {
					out = append(out, s)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.work.spec.Id, b.work.spec.Id), cmp.Compare(a.number, b.number))
	})
	return out
}

// countExclusions counts the workers of the pool of a step by what excludes them.
func (c *Cell) countExclusions(s *step) [exclusionKinds]int {
	var n [exclusionKinds]int
	for _, w := range c.fleet {
		if w.info.Pool == s.work.queue.Pool {
			n[c.exclusionOf(s, w)]++
		}
	}
	return n
}

// exclusionOf returns the first reason why no task of the step is placed on a worker.
func (c *Cell) exclusionOf(s *step, w *worker) exclusion {
	t := s.ticketOf(w)
	advised := s.work.queue.Advice != nil
	switch {
	case !c.evacuationsKnown():
		return excludedEvacuationsUnknown
	case !w.listed || !w.described:
		return excludedUnlisted
	case w.evacuated:
		return excludedEvacuated
	case w.unresponsiveSince != 0 || !w.fenced:
		return excludedUnresponsive
	case w.health.quarantined(c.now) && !c.mayUse(s, w):
		return excludedQuarantined
	case !c.mayUse(s, w):
		return excludedPaused
	case !c.meetsConstraints(s, w) || !w.info.Capacity.Covers(s.sizeOnWorker()):
		return excludedUnsuitable
	case advised && !s.advice.queried[w]:
		return excludedNotQueried
	case advised && t == nil:
		return excludedNotPermitted
	case !w.free().Covers(s.sizeOnWorker()):
		return excludedNoRoom
	case reservedAhead(s, w):
		return excludedReserved
	case advised && t.expires <= c.now+ticketExpiryMargin:
		return excludedTicketExpired
	}
	return notExcluded
}

// reservedAhead reports whether room on a worker that a long-running step needs is reserved
// for steps that come before it.
func reservedAhead(s *step, w *worker) bool {
	for i := range w.reservations {
		res := &w.reservations[i]
		if compareSteps(res.step, s) < 0 && !res.spare.Covers(s.sizeOnWorker()) {
			return true
		}
	}
	return false
}
