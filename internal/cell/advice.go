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
	step    *step
	workers []*worker
	node    *adviceNode
	sentAt  time.Duration
	expires time.Duration
	backup  bool // see requestBackupAdvice
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

// workersForCall returns the workers for the next call for a step. With proactive,
// tickets that are about to expire are renewed even if none is needed now.
func (c *Cell) workersForCall(s *step, proactive bool) []*worker {
	renewals := slices.DeleteFunc(s.advice.renewals, func(w *worker) bool { return w.evacuated || w.ended })
	s.advice.renewals = nil
	switch {
	case !s.advice.answered:
		return c.unqueriedWorkers(s)
	case len(renewals) > 0:
		return renewals
	case len(s.advice.tickets) < s.waiting || c.blockedFor(s):
		if more := c.unqueriedWorkers(s); len(more) > 0 {
			return more
		}
	}
	if proactive {
		return c.expiringTicketHolders(s)
	}
	return nil
}

// blockedFor reports whether the ticket holders have no room for a task of the step, or
// for all members of a gang.
func (c *Cell) blockedFor(s *step) bool {
	needed := 1
	if s.spec.Gang {
		needed = len(s.tasks)
	}
	c.eachTicketHolder(s, func(w *worker, _ string, _ bool) {
		if c.meetsConstraints(s, w) && c.hasRoomFor(s, w) {
			needed -= c.tasksThatFit(s, w)
		}
	})
	return needed > 0
}

// unqueriedWorkers returns candidate workers that no call for the step has included. If
// there are too many, it picks those with the highest queryScore.
func (c *Cell) unqueriedWorkers(s *step) []*worker {
	var out []*worker
	for _, w := range c.fleet {
		if w.info.Pool == s.work.queue.Pool && c.mayUse(s, w) && !s.advice.queried[w] &&
			c.meetsConstraints(s, w) && w.info.Capacity.Covers(s.sizeOnWorker()) {
			out = append(out, w)
		}
	}
	if limit := callWorkerLimit(s, out); len(out) > limit {
		for _, w := range out {
			w.queryScore = c.queryScore(s, w)
		}
		slices.SortStableFunc(out, func(a, b *worker) int { return cmp.Compare(b.queryScore, a.queryScore) })
		out = out[:limit]
	}
	return out
}

// callWorkerLimit returns the maximum number of workers in a call for a step. A step
// with a limit of tasks per worker, or a gang, needs more of the candidates.
func callWorkerLimit(s *step, candidates []*worker) int {
	perWorker := s.spec.MaxPerWorker
	if s.spec.Gang {
		perWorker = meanTasksPerWorker(s, candidates)
	}
	if perWorker == 0 {
		return usualCallWorkers
	}
	needed := (s.waiting + perWorker - 1) / perWorker
	return min(max(usualCallWorkers, callWorkersPerNeeded*needed), maxCallWorkers)
}

// meanTasksPerWorker returns how many tasks of a step fit on an empty worker on average, at
// least 1.
func meanTasksPerWorker(s *step, workers []*worker) int {
	total := 0
	for _, w := range workers {
		total += s.tasksWithin(w.info.Capacity)
	}
	return max(1, total/max(1, len(workers)))
}

// queryScore ranks workers by how likely they have room for the step.
func (c *Cell) queryScore(s *step, w *worker) float64 {
	score := fraction(w.free().CPUMillis, w.info.Capacity.CPUMillis)
	if c.hasRoomFor(s, w) {
		score++
	}
	if s.spec.Affinity != "" && w.hasLabel(s.spec.Affinity) {
		score++
	}
	return score
}

// expiringTicketHolders returns the workers with a reservation for the step, in the order
// in which their room becomes available, or nil if a ticket of the step stays valid for
// long enough.
func (c *Cell) expiringTicketHolders(s *step) []*worker {
	type option struct {
		worker      *worker
		availableAt time.Duration
	}
	var options []option
	callTime := c.expectedCallTime(s, maxRenewalWorkers)
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if !c.mayUse(s, t.worker) {
			continue
		}
		if t.expires > c.now+callTime+ticketExpiryMargin {
			return nil // this ticket is valid for long enough
		}
		for k := range t.worker.reservations {
			if t.worker.reservations[k].step == s {
				options = append(options, option{t.worker, t.worker.reservations[k].availableAt})
			}
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.availableAt, b.availableAt) })
	var out []*worker
	for _, o := range options[:min(len(options), maxRenewalWorkers)] {
		if o.availableAt <= c.now+callTime+time.Second {
			out = append(out, o.worker)
		}
	}
	return out
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

// callForAdvice emits an advice call, if there are workers to include. It returns false
// if no node is free for the call.
func (c *Cell) callForAdvice(s *step, workers []*worker) bool {
	if len(workers) == 0 {
		return true
	}
	node := c.freeAdviceNode(s, c.expectedCallTime(s, len(workers)))
	if node == nil {
		return false
	}
	c.sendAdviceCall(s, workers, node)
	return true
}

// sendAdviceCall emits an advice call through a node.
func (c *Cell) sendAdviceCall(s *step, workers []*worker, node *adviceNode) {
	s.advice.inFlight = true
	c.emitAdviceCall(pendingAdviceCall{step: s, workers: workers, node: node})
}

// emitAdviceCall emits an advice call and adds it to those in flight.
func (c *Cell) emitAdviceCall(call pendingAdviceCall) {
	s, node := call.step, call.node
	callTime := c.expectedCallTime(s, len(call.workers))
	node.freeAt = max(node.freeAt, c.now) + callTime
	node.lastCallLong = callTime >= longCallTime
	node.calls++
	c.countAdviceCall(s, callTime)
	c.adviceDemand.countCall(c.now, callTime, s.advice.empty())
	call.sentAt, call.expires = c.now, node.freeAt+callTimeoutMargin
	c.lastCallID++
	c.adviceCalls[c.lastCallID] = call
	names := make([]string, len(call.workers))
	for i, w := range call.workers {
		names[i] = w.info.ID
	}
	c.stats.AdviceCalls++
	c.effects.AdviceCalls = append(c.effects.AdviceCalls, AdviceCall{ID: c.lastCallID, Node: node.address, Step: s.id(), Workers: names, ExpectedTime: node.freeAt - c.now})
}

// AdviceAnswered handles the answer to an advice call.
func (c *Cell) AdviceAnswered(id int, tickets map[string]string, validFor time.Duration) {
	call, ok := c.endAdviceCall(id)
	if !ok {
		return
	}
	call.node.callAnswered()
	c.applyAdvice(call.step, call.workers, tickets, c.now+validFor)
}

// applyAdvice adds the answer of the adviser about workers of a step, of which those with a
// ticket may run the step until a boot time.
func (c *Cell) applyAdvice(s *step, workers []*worker, tickets map[string]string, expires time.Duration) {
	s.advice.answered = true
	s.advice.ticketsReceived += len(tickets)
	s.advice.markQueried(workers)
	if s.advisedAt == 0 {
		s.advisedAt = c.now
	}
	for _, w := range workers {
		if value, ok := tickets[w.info.ID]; ok && !w.ended {
			s.setTicket(ticket{worker: w, value: value, expires: expires})
		}
	}
	slices.SortFunc(s.advice.tickets, func(a, b ticket) int { return cmp.Compare(a.worker.info.ID, b.worker.info.ID) })
	c.startAwaitingTicket(s)
	c.changed = true
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

// AdviceFailed handles an advice call that failed or timed out. The call is repeated later,
// through another node: the node of the failed call gets none for a while.
func (c *Cell) AdviceFailed(id int) {
	call, ok := c.endAdviceCall(id)
	if !ok {
		return
	}
	c.stats.AdviceFailures++
	call.node.callFailed(call.sentAt, c.now)
	c.changed = true
}

// endAdviceCall removes a call from those in flight and returns it. It returns false if
// the call has already ended.
func (c *Cell) endAdviceCall(id int) (pendingAdviceCall, bool) {
	call, ok := c.adviceCalls[id]
	if !ok {
		return pendingAdviceCall{}, false
	}
	delete(c.adviceCalls, id)
	if call.backup {
		call.step.advice.backedUp = false
	} else {
		call.step.advice.inFlight, call.step.advice.overdueCall = false, false
	}
	call.node.calls--
	if call.node.calls == 0 {
		call.node.freeAt = min(call.node.freeAt, c.now)
	}
	return call, true
}

// expireAdviceCalls fails the advice calls that have timed out.
func (c *Cell) expireAdviceCalls() {
	for id, call := range c.adviceCalls {
		if c.now > call.expires {
			c.AdviceFailed(id)
		}
	}
}
