package cell

import (
	"cmp"
	"slices"
	"time"
)

// Advice tells which workers may run a step. The adviser handles one call at a
// time for each calling node, so the calls are spread over the nodes.
const (
	maxAsked         = 36                      // workers named in one call as a rule
	maxNamed         = 100                     // workers that a call may name
	askedPerNeeded   = 3                       // workers named for each that a step needs
	ticketMargin     = 120 * time.Millisecond  // a ticket is not used so close to its end
	askTimeoutExtra  = 1500 * time.Millisecond // beyond the cost of a call
	longAsk          = 100 * time.Millisecond  // a call that costs more is long
	askBacklog       = 40 * time.Millisecond   // a node with more to do gets no further call
	longAskShare     = 0.7                     // of the nodes may have a long call at a time
	askAhead         = 150 * time.Millisecond  // a step is asked for so long before it is expected to be ready
	maxRenewed       = 8                       // workers whose tickets are renewed in one call
	upcomingInterval = 20 * time.Millisecond   // between two searches for steps that will soon be ready
	proactiveSteps   = 6                       // blocked steps whose tickets are kept valid
)

// ticket permits a worker to run a step for a time.
type ticket struct {
	worker  *worker
	value   string
	expires time.Duration
}

// stepAdvice is what is known about the workers that may run a step.
type stepAdvice struct {
	asked    map[string]int // start time of the life of each worker that was named in a call
	tickets  []ticket       // workers that may run the step
	stale    []*worker      // workers with room whose ticket is to be renewed
	inFlight bool
	answered bool
	overdue  bool // its first call was made out of order
}

// asker is a node that can call the adviser.
type asker struct {
	address string
	freeAt  time.Duration // when its calls are expected to be done
	long    bool          // its last call was a long one
	calls   int           // calls in flight
}

// ask is a call for advice in flight.
type ask struct {
	step    *step
	asker   *asker
	expires time.Duration
}

// SetAskers sets the addresses of the nodes that can call the adviser.
func (c *Cell) SetAskers(addresses []string) {
	old := map[string]*asker{}
	for _, a := range c.askers {
		old[a.address] = a
	}
	c.askers = c.askers[:0:0]
	for _, address := range addresses {
		a := old[address]
		if a == nil {
			a = &asker{address: address}
		}
		c.askers = append(c.askers, a)
	}
}

// eachAdvised calls f for the workers that may run the step by the advice.
func (c *Cell) eachAdvised(s *step, f func(w *worker, ticket string, fresh bool)) {
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if c.takesWork(t.worker) && t.worker.info.Pool == s.job.queue.Pool {
			f(t.worker, t.value, t.expires > c.now+ticketMargin)
		}
	}
}

// countContenders counts for each worker the waiting steps that may run there. A
// step that may run on few workers counts more on each.
func (c *Cell) countContenders() {
	for _, w := range c.fleet {
		w.contended = 0
	}
	for _, s := range c.ready[:min(len(c.ready), maxContenders)] {
		if s.key.rank != rankInTime || s.waiting == 0 {
			continue
		}
		for _, t := range s.advice.tickets {
			t.worker.contended += s.advice.claimOn(t.worker)
		}
	}
}

// maxContenders bounds the steps that are counted in a pass.
const maxContenders = 128

// claimOn returns the part of a step in the contention of a worker.
func (a *stepAdvice) claimOn(w *worker) float64 {
	if len(a.tickets) == 0 {
		return 0
	}
	return 1 / float64(len(a.tickets))
}

// renew notes that a worker with room lacks a valid ticket.
func (a *stepAdvice) renew(w *worker) {
	if len(a.stale) < maxRenewed && !slices.Contains(a.stale, w) {
		a.stale = append(a.stale, w)
	}
}

// ticketOf returns the ticket of a worker, nil if the step has none.
func (s *step) ticketOf(w *worker) *ticket {
	for i := range s.advice.tickets {
		if s.advice.tickets[i].worker == w {
			return &s.advice.tickets[i]
		}
	}
	return nil
}

// dropTicket forgets the ticket of a worker, which the worker has refused.
func (s *step) dropTicket(w *worker) {
	if t := s.ticketOf(w); t != nil {
		t.expires = 0
	}
}

// askForAdvice emits the calls for the steps that need them, in their order.
func (c *Cell) askForAdvice() {
	if len(c.askers) == 0 {
		return
	}
	c.askForTicketless()
	c.askForOverdue()
	c.askForReady(false)
	if c.now-c.upcomingAt >= upcomingInterval {
		c.upcomingAt = c.now
		c.askForUpcoming()
	}
	c.askForReady(true)
}

// askForReady emits the calls for the ready steps, those that are long or those
// that are not.
func (c *Cell) askForReady(long bool) {
	for i, s := range c.ready {
		a := s.job.queue.Advice
		if a == nil || s.advice.inFlight || s.waiting == 0 || (a.Decision >= longAsk) != long {
			continue
		}
		if !c.askFor(s, c.workersToAsk(s, i < proactiveSteps)) {
			return
		}
	}
}

// workersToAsk returns the workers to be named in the next call for a step.
func (c *Cell) workersToAsk(s *step, ahead bool) []*worker {
	stale := s.advice.stale
	s.advice.stale = nil
	s.advice.tickets = slices.DeleteFunc(s.advice.tickets, func(t ticket) bool { return t.worker.gone })
	switch {
	case !s.advice.answered:
		return c.unasked(s)
	case len(stale) > 0:
		return stale
	case len(s.advice.tickets) < s.waiting || c.blockedFor(s):
		if more := c.unasked(s); len(more) > 0 {
			return more
		}
	}
	if ahead {
		return c.expiring(s)
	}
	return nil
}

// blockedFor reports whether none of the workers that may run the step can take a
// task of it.
func (c *Cell) blockedFor(s *step) bool {
	blocked := true
	c.eachAdvised(s, func(w *worker, _ string, _ bool) {
		blocked = blocked && !(c.suits(s, w) && c.roomFor(s, w))
	})
	return blocked
}

// unasked returns workers that may suit the step and were not named in a call,
// those with room first.
func (c *Cell) unasked(s *step) []*worker {
	var out []*worker
	for _, w := range c.fleet {
		if w.info.Pool == s.job.queue.Pool && c.takesWork(w) && s.advice.asked[w.info.ID] != w.info.BornUnixMs &&
			c.suits(s, w) && w.info.Capacity.Holds(s.occupies()) {
			out = append(out, w)
		}
	}
	if limit := askLimit(s); len(out) > limit {
		for _, w := range out {
			w.askScore = c.askScore(s, w)
		}
		slices.SortStableFunc(out, func(a, b *worker) int { return cmp.Compare(b.askScore, a.askScore) })
		out = out[:limit]
	}
	return out
}

// askLimit returns how many workers to name for a step at most. A step that may
// have few tasks on each worker needs more of them.
func askLimit(s *step) int {
	if s.spec.MaxPerWorker == 0 {
		return maxAsked
	}
	needed := (s.waiting + s.spec.MaxPerWorker - 1) / s.spec.MaxPerWorker
	return min(max(maxAsked, askedPerNeeded*needed), maxNamed)
}

// askScore rates how likely a worker will have room for the step.
func (c *Cell) askScore(s *step, w *worker) float64 {
	score := fraction(w.free().CPUMillis, w.info.Capacity.CPUMillis)
	if c.roomFor(s, w) {
		score++
	}
	if s.spec.Affinity != "" && w.hasLabel(s.spec.Affinity) {
		score++
	}
	return score
}

// expiring returns the workers whose tickets run out soon, those on which room is
// expected first.
func (c *Cell) expiring(s *step) []*worker {
	type option struct {
		worker *worker
		from   time.Duration
	}
	var options []option
	cost := c.askCost(s, maxRenewed)
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if !c.takesWork(t.worker) {
			continue
		}
		if t.expires > c.now+cost+ticketMargin {
			return nil // some are still valid
		}
		for k := range t.worker.keep {
			if t.worker.keep[k].step == s {
				options = append(options, option{t.worker, t.worker.keep[k].from})
			}
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.from, b.from) })
	var out []*worker
	for _, o := range options[:min(len(options), maxRenewed)] {
		if o.from <= c.now+cost+time.Second {
			out = append(out, o.worker)
		}
	}
	return out
}

// askForUpcoming asks for steps whose earlier steps will soon be done.
func (c *Cell) askForUpcoming() {
	for _, s := range c.upcoming() {
		cost := c.askCost(s, maxAsked)
		if c.earliestReady(s) > c.now+cost+askAhead {
			continue
		}
		if !c.askFor(s, c.unasked(s)) {
			return
		}
	}
}

// upcoming returns the steps that wait for a step that runs and were not asked
// for yet.
func (c *Cell) upcoming() []*step {
	var out []*step
	for _, j := range c.jobs {
		if j.queue.Advice == nil || ended(j.state) || j.runs == 0 || len(j.spec.Steps) < 2 {
			continue
		}
		for _, o := range j.occs {
			for _, s := range o.steps {
				if s.waits > 0 && s.open > 0 && !s.advice.inFlight && !s.advice.answered {
					out = append(out, s)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.occ.deadline, b.occ.deadline), cmp.Compare(a.job.spec.Id, b.job.spec.Id), cmp.Compare(a.number, b.number))
	})
	return out
}

// earliestReady estimates when the steps before a step are done.
func (c *Cell) earliestReady(s *step) time.Duration {
	at := c.now
	for _, a := range s.spec.After {
		before := s.occ.steps[a]
		if before.open == 0 {
			continue
		}
		if before.waits > 0 || before.waiting > 0 {
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

// askCost returns how long the adviser needs for a call.
func (c *Cell) askCost(s *step, workers int) time.Duration {
	a := s.job.queue.Advice
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// askFor emits a call for a step. It reports false when no node can take a call.
func (c *Cell) askFor(s *step, workers []*worker) bool {
	if len(workers) == 0 {
		return true
	}
	cost := c.askCost(s, len(workers))
	a := c.freeAsker(cost)
	if a == nil {
		return false
	}
	a.freeAt = max(a.freeAt, c.now) + cost
	a.long = cost >= longAsk
	a.calls++
	c.nextAsk++
	c.asks[c.nextAsk] = ask{step: s, asker: a, expires: a.freeAt + askTimeoutExtra}
	s.advice.inFlight = true
	if s.advice.asked == nil {
		s.advice.asked = map[string]int{}
	}
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.info.ID
		s.advice.asked[w.info.ID] = w.info.BornUnixMs
	}
	c.stats.Asked++
	c.effects.Asks = append(c.effects.Asks, Ask{ID: c.nextAsk, Asker: a.address, Step: s.id(), Workers: names, Cost: a.freeAt - c.now})
	return true
}

// freeAsker returns the node with the least to do, nil if all have enough. Long
// calls leave some nodes to the short ones.
func (c *Cell) freeAsker(cost time.Duration) *asker {
	var best *asker
	long := 0
	for _, a := range c.askers {
		if a.long && a.freeAt > c.now {
			long++
		}
		if best == nil || a.freeAt < best.freeAt {
			best = a
		}
	}
	if best == nil || best.freeAt > c.now+askBacklog {
		return nil
	}
	if cost < longAsk {
		return best
	}
	if best.freeAt > c.now || float64(long+1) > longAskShare*float64(len(c.askers)) && long > 0 {
		return nil
	}
	return best
}

// Advised takes the answer to a call for advice.
func (c *Cell) Advised(id int, tickets map[string]string, validFor time.Duration) {
	a, ok := c.endAsk(id)
	if !ok {
		return
	}
	s := a.step
	s.advice.answered = true
	if s.advisedAt == 0 {
		s.advisedAt = c.now
	}
	for name, value := range tickets {
		w := c.workers[name]
		if w == nil {
			continue
		}
		s.setTicket(ticket{worker: w, value: value, expires: c.now + validFor})
	}
	slices.SortFunc(s.advice.tickets, func(a, b ticket) int { return cmp.Compare(a.worker.info.ID, b.worker.info.ID) })
	c.startTicketless(s)
	c.stepping = true
}

func (s *step) setTicket(t ticket) {
	for i := range s.advice.tickets {
		if s.advice.tickets[i].worker.info.ID == t.worker.info.ID {
			s.advice.tickets[i] = t
			return
		}
	}
	s.advice.tickets = append(s.advice.tickets, t)
}

// AskFailed notes that a call for advice was not answered. The step is asked for
// again, through another node.
func (c *Cell) AskFailed(id int) {
	a, ok := c.endAsk(id)
	if !ok {
		return
	}
	c.stats.AskFailed++
	a.asker.freeAt = max(a.asker.freeAt, c.now) + askTimeoutExtra/4
	if !a.step.advice.answered {
		a.step.advice.asked = nil
	}
	c.stepping = true
}

func (c *Cell) endAsk(id int) (ask, bool) {
	a, ok := c.asks[id]
	if !ok {
		return ask{}, false
	}
	delete(c.asks, id)
	a.step.advice.inFlight = false
	a.asker.calls--
	if a.asker.calls == 0 {
		a.asker.freeAt = min(a.asker.freeAt, c.now)
	}
	return a, true
}

// expireAsks gives up calls for advice that take too long.
func (c *Cell) expireAsks() {
	for id, a := range c.asks {
		if c.now > a.expires {
			c.AskFailed(id)
		}
	}
}
