package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Advice names the workers that may run a step, with a ticket for each. The adviser
// handles one call at a time for each calling node, so the calls are spread over the
// nodes.
const (
	usualCallWorkers      = 36                      // workers in a call, for a step without a limit of tasks per worker
	maxCallWorkers        = 100                     // workers in any call
	callWorkersPerNeeded  = 3                       // workers in a call for each worker that a step with such a limit needs
	ticketExpiryMargin    = 120 * time.Millisecond  // a ticket that expires within this time is not used
	callTimeoutMargin     = 1500 * time.Millisecond // added to the expected end of a call
	longCallTime          = 100 * time.Millisecond  // a call of at least this duration counts as long
	maxCallBacklog        = 40 * time.Millisecond   // a node with a longer backlog gets no further call
	maxLongCallShare      = 0.7                     // share of the nodes that may have a long call at a time while short calls are in use
	reservedLongCallShare = 0.3                     // share of the nodes for which long calls go first
	prefetchLead          = 150 * time.Millisecond  // advice is requested this long before a step is expected to be ready
	maxRenewalWorkers     = 8                       // workers in a call that renews tickets, except for a gang
	prefetchInterval      = 20 * time.Millisecond   // between searches for steps that will soon be ready
	proactiveRenewalSteps = 6                       // steps at the head of the ready list whose tickets are kept valid
)

// stepAdvice holds the advice for a step and the state of its calls.
type stepAdvice struct {
	queried         map[*worker]bool // workers of answered calls; a worker that is removed loses its ticket as well
	tickets         []ticket         // for the workers that may run the step
	renewals        []*worker        // workers with room that need a new ticket
	outlook         roomOutlook      // in the last pass
	inFlight        bool             // a call is in flight
	backedUp        bool             // a backup call is in flight
	answered        bool             // a call was answered
	ticketsReceived int              // renewals included
	overdueCall     bool             // the call in flight was made ahead of the scheduling order, see overdue.go
	overdueCallAt   time.Duration    // the last such call
	removalsSeen    int              // value of Cell.removals when removed workers were last dropped
}

// pendingAdviceCall is an advice call in flight.
type pendingAdviceCall struct {
	step      *step
	workers   []*worker
	node      *adviceNode
	sentAt    time.Duration
	ends      time.Duration // when the answer is expected
	expires   time.Duration
	backup    bool // see requestBackupAdvice
	inherited bool // made by an earlier owner, see AdviceCallsInherited
}

// countContention sums up for each worker the contention by waiting steps with a ticket
// for it. A step with few tickets counts more on each worker.
func (c *Cell) countContention() {
	for _, w := range c.fleet {
		w.contention = 0
	}
	for _, s := range c.ready[:min(len(c.ready), maxContendingSteps)] {
		if s.orderKey.rank != rankInTime || s.waiting == 0 {
			continue
		}
		for _, t := range s.advice.tickets {
			t.worker.contention += s.advice.contentionShare(t.worker)
		}
	}
}

// maxContendingSteps bounds the steps that countContention counts in a pass.
const maxContendingSteps = 128

// contentionShare returns what a step adds to the contention of a worker.
func (a *stepAdvice) contentionShare(w *worker) float64 {
	if len(a.tickets) == 0 {
		return 0
	}
	return 1 / float64(len(a.tickets))
}

// requestAdvice emits advice calls, in the order of their urgency.
func (c *Cell) requestAdvice() {
	c.dropStoppedNodes()
	if len(c.adviceNodes) == 0 {
		return
	}
	for _, s := range c.ready {
		c.forgetRemovedWorkers(s)
	}
	c.orderForAdvice()
	c.noteShortCalls()
	c.requestAwaitedTickets()
	c.requestOverdueAdvice()
	c.requestLongRunningAdvice()
	c.requestBackupAdvice()
	c.requestAdviceAheadOfLosses()
	c.requestReservedLongCalls()
	c.requestEvacuationAdvice()
	c.requestMoveAdvice()
	c.requestReadyAdvice(false)
	if c.now-c.prefetchedAt >= prefetchInterval {
		c.prefetchedAt = c.now
		c.prefetchAdvice()
	}
	c.requestReadyAdvice(true)
}

// requestLongRunningAdvice emits the calls for the long-running steps, which go before work
// that ends by itself.
func (c *Cell) requestLongRunningAdvice() {
	c.requestReadyAdviceIf(func(s *step) bool { return s.spec.LongRunning })
}

// requestReadyAdvice emits the calls for the ready steps: the long calls or the short
// ones.
func (c *Cell) requestReadyAdvice(long bool) {
	c.requestReadyAdviceIf(func(s *step) bool { return (s.work.queue.Advice.CallDuration >= longCallTime) == long })
}

// requestReadyAdviceIf emits the calls for the ready steps that are selected.
func (c *Cell) requestReadyAdviceIf(selected func(*step) bool) {
	c.eachStepForAdvice(func(place int, s *step) bool {
		return !selected(s) || c.callForAdvice(s, c.workersForCall(s, place < proactiveRenewalSteps))
	})
}

// requestReservedLongCalls emits long calls for the ready steps on the nodes for which
// these go first, so that short calls do not take all nodes.
func (c *Cell) requestReservedLongCalls() {
	free := int(reservedLongCallShare*float64(len(c.adviceNodes))) - c.longCalls()
	c.eachStepForAdvice(func(place int, s *step) bool {
		if s.work.queue.Advice.CallDuration < longCallTime {
			return true
		}
		node := c.leastBusyNode()
		if free <= 0 || node == nil {
			return false
		}
		if workers := c.workersForCall(s, place < proactiveRenewalSteps); len(workers) > 0 {
			c.sendAdviceCall(s, workers, node)
			free--
		}
		return true
	})
}

// prefetchAdvice requests advice for steps whose dependencies are about to finish.
func (c *Cell) prefetchAdvice() {
	for _, s := range c.upcomingSteps() {
		callTime := c.expectedCallTime(s, usualCallWorkers)
		if c.earliestReady(s) > c.now+callTime+prefetchLead {
			continue
		}
		if !c.callForAdvice(s, c.unqueriedWorkers(s)) {
			return
		}
	}
}

// upcomingSteps returns the steps without advice that wait for other steps of a running
// work, by deadline.
func (c *Cell) upcomingSteps() []*step {
	var out []*step
	for _, aw := range c.works {
		if aw.queue.Advice == nil || isTerminal(aw.state) || aw.runs == 0 || len(aw.spec.Steps) < 2 {
			continue
		}
		for _, o := range aw.occurrences {
			for _, s := range o.steps {
				if s.pendingDependencies > 0 && s.unfinished > 0 && !s.advice.inFlight && !s.advice.answered {
					out = append(out, s)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.occurrence.deadline, b.occurrence.deadline), cmp.Compare(a.work.spec.Id, b.work.spec.Id), cmp.Compare(a.number, b.number))
	})
	return out
}

// earliestReady estimates when all dependencies of a step have finished, or returns
// farFuture if one of them still has tasks to place.
func (c *Cell) earliestReady(s *step) time.Duration {
	at := c.now
	for _, a := range s.spec.After {
		before := s.occurrence.steps[a]
		if before.unfinished == 0 {
			continue
		}
		if before.pendingDependencies > 0 || before.waiting > 0 {
			return farFuture
		}
		for i := range before.tasks {
			for _, r := range before.tasks[i].runs {
				at = max(at, c.expectedEnd(r))
			}
		}
	}
	return at
}

// markQueried marks the workers of an answered call, which are not included in a later
// call unless their ticket is renewed.
func (a *stepAdvice) markQueried(workers []*worker) {
	if a.queried == nil {
		a.queried = map[*worker]bool{}
	}
	for _, w := range workers {
		if !w.ended {
			a.queried[w] = true
		}
	}
}

// empty reports whether nothing is known about any worker: no call was answered, or all
// workers of the answered calls have been removed.
func (a *stepAdvice) empty() bool { return len(a.queried) == 0 }

// forgetRemovedWorkers drops what a step knows about workers that have been removed from
// the cell: their tickets, and that they were queried.
func (c *Cell) forgetRemovedWorkers(s *step) {
	a := &s.advice
	if a.removalsSeen == c.removals {
		return
	}
	a.removalsSeen = c.removals
	a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool { return t.worker.ended })
	maps.DeleteFunc(a.queried, func(w *worker, _ bool) bool { return w.ended })
}
