package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Calls to the adviser go on when the owner that made them is replaced, and their answers are
// passed on. The next owner has to know of them: the adviser handles one call at a time for each
// node, so further calls through the same nodes would wait behind them, longer with each owner,
// and most would ask about the same steps.

// AdviceCallInFlight is a long call to the adviser without an answer.
type AdviceCallInFlight struct {
	Step    work.StepID
	Workers []string
	Node    string        // address of the node that makes the call
	Ends    time.Duration // boot time at which the answer is expected
}

// inheritedAnswerDelay is how long after its expected time the answer to a call of an earlier owner
// is awaited. The call may have failed, which nobody reports to a later owner.
const inheritedAnswerDelay = 400 * time.Millisecond

// AdviceCallsInFlight returns the long calls without an answer, those of earlier owners included,
// in the order of their expected ends.
func (c *Cell) AdviceCallsInFlight() []AdviceCallInFlight {
	out := slices.Clone(c.heldCalls)
	for _, call := range c.adviceCalls {
		if c.expectedCallTime(call.step, len(call.workers)) < longCallTime {
			continue
		}
		in := AdviceCallInFlight{Step: call.step.id(), Node: call.node.address, Ends: call.ends}
		for _, w := range call.workers {
			in.Workers = append(in.Workers, w.info.ID)
		}
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b AdviceCallInFlight) int {
		return cmp.Or(cmp.Compare(a.Ends, b.Ends), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Step.String(), b.Step.String()))
	})
	return out
}

// AdviceCallsInherited notes calls of earlier owners in flight: their nodes are busy, and their
// steps need no other call until the answers are due. Before the nodes are known the calls are
// kept.
func (c *Cell) AdviceCallsInherited(calls []AdviceCallInFlight) {
	c.heldCalls = append(c.heldCalls, calls...)
	c.applyHeldCalls()
}

// applyHeldCalls notes the calls that were kept until the workers and nodes are known.
func (c *Cell) applyHeldCalls() {
	if !c.fleetListed || len(c.adviceNodes) == 0 {
		return
	}
	held := c.heldCalls
	c.heldCalls = nil
	for i := range held {
		if held[i].Ends > c.now {
			c.inheritCall(&held[i])
		}
	}
}

func (c *Cell) inheritCall(in *AdviceCallInFlight) {
	at := slices.IndexFunc(c.adviceNodes, func(n *adviceNode) bool { return n.address == in.Node })
	if at < 0 {
		return // the node has ended, and its calls with it
	}
	node := c.adviceNodes[at]
	node.freeAt = max(node.freeAt, in.Ends)
	node.lastCallLong = true
	s := c.findStep(in.Step)
	if s == nil || s.advice.inFlight {
		return
	}
	call := pendingAdviceCall{step: s, node: node, sentAt: c.now, ends: in.Ends, expires: in.Ends + inheritedAnswerDelay, inherited: true}
	for _, id := range in.Workers {
		if w := c.workers[id]; w != nil && !w.ended {
			call.workers = append(call.workers, w)
		}
	}
	if !slices.ContainsFunc(call.workers, func(w *worker) bool { return !s.advice.queried[w] }) {
		return // the answer has arrived
	}
	s.advice.inFlight = true
	node.calls++
	c.lastCallID++
	c.adviceCalls[c.lastCallID] = call
}

// endInheritedCall ends the call of an earlier owner that an inherited answer belongs to, if there
// is one.
func (c *Cell) endInheritedCall(s *step, workers []*worker) {
	for id, call := range c.adviceCalls {
		if call.inherited && call.step == s && slices.ContainsFunc(call.workers, func(w *worker) bool { return slices.Contains(workers, w) }) {
			c.endAdviceCall(id)
			return
		}
	}
}
