package integration

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// fault is one of the faults of docs/design.md 1.5. inject starts it on a node or on the
// platform and returns a function that ends it.
type fault struct {
	name            string
	losesPartitions bool // whether the node loses its partitions during the fault
	inject          func(c *Cell, n *Node) (end func())
}

// runDuring injects the fault on a node, calls during, and ends the fault when the node
// has lost its partitions, if the fault causes that. It then waits until the cell serves.
func (f fault) runDuring(c *Cell, n *Node, during func()) {
	c.t.Helper()
	before := c.owners()
	end := f.inject(c, n)
	during()
	if f.losesPartitions {
		c.AwaitTakeover(n, before)
	}
	end()
	c.AwaitServing()
}

// Faults of nodes.
var (
	nodeKilled = fault{"killed", true, func(_ *Cell, n *Node) func() {
		n.Kill()
		return n.Start
	}}
	nodePaused = fault{"paused", true, func(_ *Cell, n *Node) func() {
		n.Pause()
		return n.Resume
	}}
	storeUnreachable = fault{"no store", true, func(_ *Cell, n *Node) func() {
		n.CutStore()
		return n.HealStore
	}}
	peersUnreachable = fault{"no peers", false, func(_ *Cell, n *Node) func() {
		n.SetAllPeerFaults(blackHole)
		return func() { n.SetAllPeerFaults(faultproxy.Faults{}) }
	}}
	isolated = fault{"no store and peers", true, func(_ *Cell, n *Node) func() {
		n.CutStore()
		n.SetAllPeerFaults(blackHole)
		return func() {
			n.SetAllPeerFaults(faultproxy.Faults{})
			n.HealStore()
		}
	}}
	nodePausedBriefly   = fault{"paused briefly", false, nodePaused.inject}
	peerRequestsDropped = fault{"hears no peers", false, func(c *Cell, n *Node) func() { // calls of the node to its peers still arrive
		set := func(f faultproxy.Faults) {
			for _, other := range c.Others(n) {
				n.SetPeerFaults(other, f)
			}
		}
		set(faultproxy.Faults{DropRequests: true})
		return func() { set(faultproxy.Faults{}) }
	}}
	nodeReplaced = fault{"replaced", true, func(_ *Cell, n *Node) func() {
		n.Kill()
		return n.Replace
	}}
)

// Faults of the platform.
var (
	storeDown          = tableFault("down", standin.Faults{Down: true})
	storeHangs         = tableFault("hangs", standin.Faults{Hang: true})
	storeSlow          = tableFault("slow", standin.Faults{Delay: 150 * time.Millisecond, AnswerDelay: 150 * time.Millisecond})
	storeAnswersLost   = tableFault("answers lost", standin.Faults{LoseNextAnswers: 40})
	upstreamAnswersCut = executorFault("answers cut", 0, standin.ExecutorMode{CutAnswers: true})
	crossedAnswers     = executorFault("answers crossed", 1, standin.ExecutorMode{CrossAnswers: true})
	lateAnswers        = executorFault("late answers", 2, standin.ExecutorMode{Delay: 400 * time.Millisecond})
	executorsDraining  = executorFault("draining", 0, standin.ExecutorMode{Draining: true})
)

func tableFault(name string, f standin.Faults) fault {
	return fault{"store " + name, false, func(c *Cell, _ *Node) func() {
		c.TableFaults(name, f)
		return func() { c.HealTable(name) }
	}}
}

// executorFault sets the mode of every third executor, starting with index first.
func executorFault(name string, first int, mode standin.ExecutorMode) fault {
	return fault{"upstream " + name, false, func(c *Cell, _ *Node) func() {
		set := func(m standin.ExecutorMode) {
			for i, vm := range c.Standins.VMs.Listing().Vms {
				if e := c.Standins.Executor(vm.Id); e != nil && i%3 == first {
					e.SetMode(m)
				}
			}
		}
		c.beginFault("upstream " + name)
		set(mode)
		return func() {
			set(standin.ExecutorMode{})
			c.endFault("upstream " + name)
		}
	}}
}

// pairOf combines two faults: a on the given node and b on a random other node.
func pairOf(a, b fault) fault {
	return fault{a.name + " and " + b.name, a.losesPartitions, func(c *Cell, n *Node) func() {
		other := c.Others(n)[c.randomInt(len(c.Nodes)-1)]
		endA, endB := a.inject(c, n), b.inject(c, other)
		return func() {
			endB()
			endA()
		}
	}}
}

// nodesUnderFaults is the number of nodes of a cell in which one or two nodes may have a
// fault.
const nodesUnderFaults = 4

// underFaults runs a test as a subtest for each fault, each in a cell of its own.
func underFaults(t *testing.T, o Options, faults []fault, test func(c *Cell, f fault)) {
	o.Nodes = nodesUnderFaults
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			test(NewCell(t, o), f)
		})
	}
}

// AwaitTakeover waits until every partition that the node owned according to before has
// another owner.
func (c *Cell) AwaitTakeover(n *Node, before map[string]*Node) {
	c.t.Helper()
	c.Until("others own the partitions of "+n.Name, func() bool {
		now := c.owners()
		for partition, owner := range before {
			if owner == n && (now[partition] == nil || now[partition] == n) {
				return false
			}
		}
		return true
	})
}
