package cell

import "time"

// adviceNode is a node that can call the adviser.
type adviceNode struct {
	address      string
	freeAt       time.Duration // when its calls are expected to end
	lastCallLong bool          // its last call was long
	calls        int           // calls in flight
}

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
		c.adviceNodes = append(c.adviceNodes, node)
	}
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

// freeAdviceNode returns the node with the shortest backlog, nil if none is free. Long
// calls leave some nodes free for short ones, and wait for a node without a backlog. Under
// many short calls there may be none, so a long-running or overdue step does not wait for it.
func (c *Cell) freeAdviceNode(s *step, callTime time.Duration) *adviceNode {
	node := c.leastBusyNode()
	if node == nil || callTime < longCallTime || s.advice.overdueCall {
		return node
	}
	long := c.longCalls()
	tooManyLong := long > 0 && float64(long+1) > maxLongCallShare*float64(len(c.adviceNodes))
	if tooManyLong || node.freeAt > c.now && !s.spec.LongRunning {
		return nil
	}
	return node
}

// leastBusyNode returns the node with the shortest backlog, nil if no node may get a call.
func (c *Cell) leastBusyNode() *adviceNode {
	var best *adviceNode
	for _, node := range c.adviceNodes {
		if best == nil || node.freeAt < best.freeAt {
			best = node
		}
	}
	if best == nil || best.freeAt > c.now+maxCallBacklog {
		return nil
	}
	return best
}

// expectedCallTime returns the expected duration of a call for a step with this number of
// workers.
func (c *Cell) expectedCallTime(s *step, workers int) time.Duration {
	a := s.work.queue.Advice
	return a.CallDuration + time.Duration(workers)*a.DurationPerWorker
}
