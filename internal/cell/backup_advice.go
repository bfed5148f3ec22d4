package cell

import (
	"cmp"
	"slices"
	"time"
)

// The owner makes the calls for long-running steps through its own node if it can, because they
// then depend on no other node. Such a call ends with the process of the owner: where owners
// are lost faster than the adviser answers, no call of any owner would be answered. So after the
// loss of an owner the next one makes some of these calls through another node as well, which
// passes the answer on if this owner is lost too.
const (
	backupPeriod   = 2 * time.Second // since the start of the tenure
	maxBackupShare = 0.25            // share of the nodes that may make backup calls at a time, if it is more than one
)

// requestBackupAdvice emits backup calls for the long-running steps that wait for a call through
// the owner's own node.
func (c *Cell) requestBackupAdvice() {
	if !c.opts.PriorOwnerLost || c.now-c.beganAt > backupPeriod {
		return
	}
	free := max(1, int(maxBackupShare*float64(len(c.adviceNodes)))) - c.backupCalls()
	for _, call := range c.callsToBackUp() {
		node := c.idleNode()
		if free <= 0 || node == nil || c.longCalls() >= c.longCallLimit(call.step) {
			return
		}
		call.step.advice.backedUp = true
		c.emitAdviceCall(pendingAdviceCall{step: call.step, workers: call.workers, node: node, backup: true})
		free--
	}
}

// backupCalls counts the backup calls in flight.
func (c *Cell) backupCalls() int {
	n := 0
	for _, call := range c.adviceCalls {
		if call.backup {
			n++
		}
	}
	return n
}

// callsToBackUp returns the calls through the owner's own node for long-running steps that have
// no backup call, in the order in which they were made.
func (c *Cell) callsToBackUp() []pendingAdviceCall {
	var out []pendingAdviceCall
	for _, call := range c.adviceCalls {
		s := call.step
		if call.node.address == c.opts.Address && s.spec.LongRunning && s.waiting > 0 && !s.advice.backedUp {
			out = append(out, call)
		}
	}
	slices.SortFunc(out, func(a, b pendingAdviceCall) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.step.work.spec.Id, b.step.work.spec.Id), cmp.Compare(a.step.number, b.step.number))
	})
	return out
}

// idleNode returns a node other than the owner's own one without a backlog, nil for none.
func (c *Cell) idleNode() *adviceNode {
	node := c.leastBusyNode()
	if node == nil || node.freeAt > c.now || node.address == c.opts.Address {
		return nil
	}
	return node
}
