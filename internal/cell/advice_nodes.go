package cell

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff of a node whose advice calls fail. Its backlog alone would make it look idle, so
// that it got most of the calls.
const (
	minNodeBackoff    = 375 * time.Millisecond
	maxNodeBackoff    = 6 * time.Second
	nodeBackoffJitter = 0.25 // share by which a backoff is longer or shorter at random
)

// adviceNode is a node that can call the adviser.
type adviceNode struct {
	address      string
	freeAt       time.Duration // when its calls are expected to end, or its backoff
	lastCallLong bool          // its last call was long
	calls        int           // calls in flight
	failures     int           // failed calls since the last answered one
	failedAt     time.Duration // when the last of them failed
	backoffUntil time.Duration // end of the backoff after the last of them
	stopsAt      time.Duration // when a stopping node makes no further call; 0 for a node that stays
}

// callFailed makes the node get no call for a time that grows with each failure. Calls that
// were in flight together may have failed for one cause, so a call that was sent before the
// last failure does not count as another one.
func (n *adviceNode) callFailed(sentAt, now time.Duration) {
	if n.failures == 0 || sentAt > n.failedAt {
		n.failures++
		n.failedAt = now
		n.backoffUntil = max(n.freeAt, now) + n.jittered(n.backoff())
	}
	n.freeAt = max(n.freeAt, n.backoffUntil)
}

// backoff returns the backoff after the failures so far, which doubles with each of them.
func (n *adviceNode) backoff() time.Duration {
	d := minNodeBackoff
	for i := 1; i < n.failures && d < maxNodeBackoff; i++ {
		d *= 2
	}
	return min(d, maxNodeBackoff)
}

// isProbed reports whether a node whose calls fail has a call in flight. It gets no other one
// before that call is answered.
func (n *adviceNode) isProbed() bool { return n.failures > 0 && n.calls > 0 }

// jittered spreads the backoffs of nodes that failed together. It depends on the node and
// its failures only, so that decisions can be repeated.
func (n *adviceNode) jittered(d time.Duration) time.Duration {
	const steps = 1 << 16
	hash := xxhash.Sum64String(n.address + "/" + strconv.Itoa(n.failures))
	share := float64(hash%steps)/steps*2 - 1
	return time.Duration(float64(d) * (1 + nodeBackoffJitter*share))
}

// callAnswered ends the backoff of the node.
func (n *adviceNode) callAnswered() { n.failures = 0 }

// SetAdviceNodes sets the addresses of the nodes that can call the adviser. Nodes that
// remain keep their state.
func (c *Cell) SetAdviceNodes(addresses []string) {
	old := map[string]*adviceNode{}
	for _, node := range c.adviceNodes {
		old[node.address] = node
	}
	c.adviceNodes = c.adviceNodes[:0:0]
	for _, address := range addresses {
		node := old[address]
		if node == nil {
			node = &adviceNode{address: address}
		}
		node.stopsAt = 0
		c.adviceNodes = append(c.adviceNodes, node)
	}
	c.addStoppingNodes(old)
	c.applyHeldCalls()
}

// longCalls counts the nodes with a long call.
func (c *Cell) longCalls() int {
	n := 0
	for _, node := range c.adviceNodes {
		if node.lastCallLong && node.freeAt > c.now {
			n++
		}
	}
	return n
}

// maxLongCalls returns how many of the nodes may have a long call at a time while short calls
// are in use.
func maxLongCalls(nodes int) int { return max(1, int(maxLongCallShare*float64(nodes))) }

// shortCallsUnused is the time without need for a short call after which no node is left free
// for them.
const shortCallsUnused = 4 * time.Second

// longCallLimit returns how many of the nodes may have a long call at a time if the next one is
// for this step. Nodes are left free for short calls while these are in use, and for a step that
// brings back lost tasks only while a short call is due: a short call then waits for the next
// node that is free, and the lost tasks don't wait beside an idle node.
func (c *Cell) longCallLimit(s *step) int {
	unused := c.now-c.shortCallsUsedAt > shortCallsUnused
	if unused || !c.shortCallDue && c.bringsBack(s) {
		return len(c.adviceNodes)
	}
	return maxLongCalls(len(c.adviceNodes))
}

// noteShortCalls notes whether the ready steps use short calls, and whether one is due now.
func (c *Cell) noteShortCalls() {
	c.shortCallDue = false
	for _, s := range c.ready {
		if s.waiting == 0 || s.work.queue.Advice == nil || s.work.needsLongCalls() {
			continue
		}
		c.shortCallsUsedAt = c.now
		if !s.advice.inFlight && (s.advice.empty() || len(s.advice.renewals) > 0) {
			c.shortCallDue = true
			return
		}
	}
}

// freeAdviceNode returns the node with the shortest backlog, nil if none is free. Long
// calls keep to longCallLimit, and wait for a node without a backlog. Under
// many short calls there may be none, so a long-running or overdue step does not wait for it.
// For a long-running step the owner calls the adviser itself if it can, because that call
// depends on no other node.
func (c *Cell) freeAdviceNode(s *step, callTime time.Duration) *adviceNode {
	if s.spec.LongRunning {
		if node := c.localNode(); node != nil {
			return node
		}
	}
	node := c.leastBusyNode()
	if node == nil || callTime < longCallTime || s.advice.overdueCall {
		return node
	}
	tooManyLong := c.longCalls() >= c.longCallLimit(s)
	if tooManyLong || node.freeAt > c.now && !s.spec.LongRunning {
		return nil
	}
	return node
}

// leastBusyNode returns the node with the shortest backlog, nil if no node may get a call.
func (c *Cell) leastBusyNode() *adviceNode {
	var best *adviceNode
	failing := 0
	for _, node := range c.adviceNodes {
		if node.failures > 0 {
			failing++
		}
		if node.isProbed() || c.stopsSoon(node) {
			continue
		}
		if best == nil || c.isFreeBefore(node, best) {
			best = node
		}
	}
	if failing == len(c.adviceNodes) {
		return c.failingNode()
	}
	if best == nil || best.freeAt > c.now+maxCallBacklog {
		return nil
	}
	return best
}

// failingNode returns the node that failed longest ago, if the calls of all nodes fail. The
// cause may then be the adviser, so a node without calls is tried after the shortest
// backoff.
func (c *Cell) failingNode() *adviceNode {
	var best *adviceNode
	for _, node := range c.adviceNodes {
		if node.calls == 0 && c.now-node.failedAt >= minNodeBackoff && (best == nil || node.failedAt < best.failedAt) {
			best = node
		}
	}
	return best
}

// maxLocalBacklog is the backlog of the owner's own node up to which a call for a
// long-running step is better made there than through another node.
const maxLocalBacklog = 100 * time.Millisecond

// localNode returns the node of the owner if it may get a call for a long-running step,
// otherwise nil.
func (c *Cell) localNode() *adviceNode {
	for _, node := range c.adviceNodes {
		if node.address == c.opts.Address && !node.isProbed() && node.freeAt <= c.now+maxLocalBacklog {
			return node
		}
	}
	return nil
}

// expectedCallTime returns the expected duration of a call for a step with this number of
// workers.
func (c *Cell) expectedCallTime(s *step, workers int) time.Duration {
	a := s.work.queue.Advice
	return a.CallDuration + time.Duration(workers)*a.DurationPerWorker
}
