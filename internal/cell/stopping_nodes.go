package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A node that is being stopped still makes calls to the adviser for some seconds. Works that
// were accepted with more nodes need this time, while admission counts only on the nodes that
// stay.

// lastCallReserve is how long before its end a stopping node gets the last call: that call has
// to be answered before.
const lastCallReserve = time.Second

// SetStoppingNodes sets the addresses of the nodes that are being stopped, with the boot time
// until which they make calls to the adviser. SetAdviceNodes puts it in force.
func (c *Cell) SetStoppingNodes(until map[string]time.Duration) { c.stoppingNodes = until }

// addStoppingNodes adds the stopping nodes to those that can call the adviser. Nodes in old
// keep their state.
func (c *Cell) addStoppingNodes(old map[string]*adviceNode) {
	for _, address := range slices.Sorted(maps.Keys(c.stoppingNodes)) {
		node := old[address]
		if node == nil {
			node = &adviceNode{address: address}
		}
		node.stopsAt = c.stoppingNodes[address]
		c.adviceNodes = append(c.adviceNodes, node)
	}
}

// dropStoppedNodes removes the nodes that have stopped.
func (c *Cell) dropStoppedNodes() {
	c.adviceNodes = slices.DeleteFunc(c.adviceNodes, func(n *adviceNode) bool { return n.stopsAt != 0 && c.now > n.stopsAt })
}

// stopsSoon reports whether a node stops so soon that it gets no further call.
func (c *Cell) stopsSoon(n *adviceNode) bool {
	return n.stopsAt != 0 && max(c.now, n.freeAt)+lastCallReserve > n.stopsAt
}

// isFreeBefore reports whether a call is better made at node a than at b: it is free sooner, or
// it stays and both are free now, so that a stopping node that is not needed can end.
func (c *Cell) isFreeBefore(a, b *adviceNode) bool {
	return cmp.Or(
		cmp.Compare(max(a.freeAt, c.now), max(b.freeAt, c.now)),
		cmp.Compare(boolInt(a.stopsAt != 0), boolInt(b.stopsAt != 0)),
		cmp.Compare(a.freeAt, b.freeAt)) < 0
}

// stoppingAdviceTime returns the time for which stopping nodes still make calls, summed up over
// these nodes.
func (c *Cell) stoppingAdviceTime() time.Duration {
	total := time.Duration(0)
	for _, n := range c.adviceNodes {
		if n.stopsAt != 0 && n.failures == 0 {
			total += max(0, n.stopsAt-lastCallReserve-max(c.now, n.freeAt))
		}
	}
	return total
}
