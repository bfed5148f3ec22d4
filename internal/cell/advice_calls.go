package cell

import (
	"cmp"
	"slices"
	"time"
)

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
	if !call.backup {
		c.adviceDemand.countCall(c.now, callTime, s.advice.empty())
	}
	call.sentAt, call.ends, call.expires = c.now, node.freeAt, node.freeAt+callTimeoutMargin
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

// AdviceFailed handles an advice call that failed or timed out. The call is repeated later,
// through another node: the node of the failed call gets none for a while.
func (c *Cell) AdviceFailed(id int) {
	call, ok := c.endAdviceCall(id)
	if !ok {
		return
	}
	c.changed = true
	if call.inherited {
		return // the earlier owner knows whether the node is the cause
	}
	c.stats.AdviceFailures++
	call.node.callFailed(call.sentAt, c.now)
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
