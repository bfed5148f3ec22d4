package integration

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// fault is one of docs/design.md 1.5. begin brings it about on a node, or on the
// platform, and returns what ends it.
type fault struct {
	name  string
	loses bool // the node loses its partitions if the fault lasts
	begin func(c *Cell, n *Node) (end func())
}

// under runs during while the fault lasts on a node, which is at least until the
// node has lost its partitions, and waits until the cell is whole again.
func (f fault) under(c *Cell, n *Node, during func()) {
	c.t.Helper()
	before := c.owners()
	end := f.begin(c, n)
	during()
	if f.loses {
		c.AwaitTakeover(n, before)
	}
	end()
	c.AwaitServing()
}

// Faults of nodes.
var (
	killed = fault{"killed", true, func(_ *Cell, n *Node) func() {
		n.Kill()
		return n.Start
	}}
	paused = fault{"paused", true, func(_ *Cell, n *Node) func() {
		n.Pause()
		return n.Resume
	}}
	noStore = fault{"no store", true, func(_ *Cell, n *Node) func() {
		n.CutStore()
		return n.HealStore
	}}
	noPeers = fault{"no peers", false, func(_ *Cell, n *Node) func() {
		n.Isolate(blackHole)
		return func() { n.Isolate(faultproxy.Faults{}) }
	}}
	alone = fault{"no store and peers", true, func(_ *Cell, n *Node) func() {
		n.CutStore()
		n.Isolate(blackHole)
		return func() {
			n.Isolate(faultproxy.Faults{})
			n.HealStore()
		}
	}}
	pausedBriefly = fault{"paused briefly", false, paused.begin}
	deaf          = fault{"hears no peers", false, func(c *Cell, n *Node) func() { // its own calls arrive
		set := func(f faultproxy.Faults) {
			for _, other := range c.Others(n) {
				n.CutFrom(other, f)
			}
		}
		set(faultproxy.Faults{DropRequests: true})
		return func() { set(faultproxy.Faults{}) }
	}}
	replaced = fault{"replaced", true, func(_ *Cell, n *Node) func() {
		n.Kill()
		return n.Replace
	}}
)

// Faults of the platform.
var (
	storeDown   = tableFault("down", standin.Faults{Down: true})
	storeHangs  = tableFault("hangs", standin.Faults{Hang: true})
	storeSlow   = tableFault("slow", standin.Faults{Delay: 150 * time.Millisecond, AnswerDelay: 150 * time.Millisecond})
	answersLost = tableFault("answers lost", standin.Faults{LoseNextAnswers: 40})
	cutAnswers  = executorFault("answers cut", 0, standin.ExecutorMode{CutAnswers: true})
	crossed     = executorFault("answers crossed", 1, standin.ExecutorMode{CrossAnswers: true})
	slowWork    = executorFault("late answers", 2, standin.ExecutorMode{Delay: 400 * time.Millisecond})
	draining    = executorFault("draining", 0, standin.ExecutorMode{Draining: true})
)

func tableFault(name string, f standin.Faults) fault {
	return fault{"store " + name, false, func(c *Cell, _ *Node) func() {
		c.TableFaults(name, f)
		return func() { c.HealTable(name) }
	}}
}

// executorFault sets the mode of every third executor, from one on.
func executorFault(name string, first int, mode standin.ExecutorMode) fault {
	return fault{"upstream " + name, false, func(c *Cell, _ *Node) func() {
		set := func(m standin.ExecutorMode) {
			for i, vm := range c.Standins.VMs.Listing().Vms {
				if e := c.Standins.Executor(vm.Id); e != nil && i%3 == first {
					e.SetMode(m)
				}
			}
		}
		c.begin("upstream " + name)
		set(mode)
		return func() {
			set(standin.ExecutorMode{})
			c.end("upstream " + name)
		}
	}}
}

// both returns the pair of two faults on different nodes.
func both(a, b fault) fault {
	return fault{a.name + " and " + b.name, a.loses, func(c *Cell, n *Node) func() {
		other := c.Others(n)[c.pick(len(c.Nodes)-1)]
		endA, endB := a.begin(c, n), b.begin(c, other)
		return func() {
			endB()
			endA()
		}
	}}
}

// pairNodes is the number of nodes of a test with pairs of faults.
const pairNodes = 4

// underFaults runs a test in a cell of its own for each fault.
func underFaults(t *testing.T, o Options, faults []fault, test func(c *Cell, f fault)) {
	o.Nodes = pairNodes
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			test(NewCell(t, o), f)
		})
	}
}

// AwaitTakeover waits until every partition that the node owned when before was
// taken has another owner.
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
