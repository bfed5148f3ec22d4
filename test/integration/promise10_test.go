package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	operatorInterval = 50 * time.Millisecond
	changesBefore    = 2
	changesDuring    = 4
	changesAfter     = 2
)

// concurrentOperators are operators that change the configuration at the same time.
type concurrentOperators struct {
	cell    *Cell
	stopped chan struct{}
	ended   sync.WaitGroup

	mu       sync.Mutex
	accepted map[int]int // share by version
}

func (c *Cell) startOperators(operators int) *concurrentOperators {
	o := &concurrentOperators{cell: c, stopped: make(chan struct{}), accepted: map[int]int{}}
	for i := range operators {
		o.ended.Go(func() { o.run(i, operators) })
	}
	return o
}

// run applies one configuration after the other, each through the next node and based on
// the version that it has read there. The share in each configuration is unique.
func (o *concurrentOperators) run(operator, operators int) {
	for try := 0; ; try++ {
		select {
		case <-o.stopped:
			return
		case <-time.After(operatorInterval):
		}
		nodes := o.cell.runningNodes()
		view, err := nodes[(try+operator)%len(nodes)].operatorClient.Client.Config(o.cell.ctx)
		if err == nil {
			o.apply(operator, try, view.Version, 10+try*operators+operator)
		}
	}
}

// apply tries to apply a configuration until it is accepted or its base version is
// outdated.
func (o *concurrentOperators) apply(operator, firstTry, base, share int) {
	in := api.ConfigApply{BaseVersion: base, Document: o.cell.withShare(share)}
	for try := firstTry; o.cell.ctx.Err() == nil; try++ {
		nodes := o.cell.runningNodes()
		applied, err := nodes[(try+operator)%len(nodes)].operatorClient.Apply(o.cell.ctx, in)
		if err == nil {
			o.accept(applied.Version, share)
			return
		}
		if errkind.Is(err, errkind.VersionConflict) {
			return
		}
		time.Sleep(operatorInterval)
	}
}

func (o *concurrentOperators) accept(version, share int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other, ok := o.accepted[version]; ok && other != share {
		o.cell.t.Errorf("version %d was accepted with share %d and with share %d", version, other, share)
	}
	o.accepted[version] = share
}

func (o *concurrentOperators) awaitMore(n int) {
	o.cell.t.Helper()
	count := func() int {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.accepted)
	}
	want := count() + n
	o.cell.Until(fmt.Sprintf("%d more configurations are accepted", n), func() bool { return count() >= want })
}

// finish stops the operators and checks that the newest version is in force on every
// node and that each accepted version is stored unchanged.
func (o *concurrentOperators) finish() {
	c := o.cell
	c.t.Helper()
	close(o.stopped)
	o.ended.Wait()
	newest := 0
	for version := range o.accepted {
		newest = max(newest, version)
	}
	c.Until(fmt.Sprintf("version %d is in force on every node", newest), func() bool {
		for _, n := range c.runningNodes() {
			if s, ok := n.State(); !ok || s.ConfigVersion < newest {
				return false
			}
		}
		return true
	})
	for version, share := range o.accepted {
		for _, n := range c.runningNodes() {
			var view api.ConfigView
			c.Until(fmt.Sprintf("%s shows version %d", n.Name, version), func() bool {
				var err error
				view, err = n.operatorClient.Client.ConfigVersion(c.ctx, version)
				return err == nil
			})
			if got := view.Document.Teams[0].Share; got != share {
				c.t.Errorf("version %d on %s has share %d; it was accepted with share %d", version, n.Name, got, share)
			}
		}
	}
}

// Guards against an accepted configuration that is lost, is replaced by that of another
// operator, is not in force on some node after 4 s, or is reverted.
func TestPromise10Configuration(t *testing.T) {
	faults := []fault{
		{"none", false, func(*Cell, *Node) func() { return func() {} }},
		nodeKilled, nodeReplaced, nodePaused, storeUnreachable, peersUnreachable, isolated, peerRequestsDropped, storeAnswersLost, storeSlow, peersSlow, storeDownBriefly,
		pairOf(nodePaused, nodeKilled), pairOf(isolated, storeAnswersLost), pairOf(storeUnreachable, nodeKilled), pairOf(peerRequestsDropped, nodePaused), pairOf(peersUnreachable, storeAnswersLost), pairOf(nodeKilled, storeSlow),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		operators := c.startOperators(2)
		operators.awaitMore(changesBefore)
		f.runDuring(c, c.Nodes[c.randomInt(len(c.Nodes))], func() { operators.awaitMore(changesDuring) })
		operators.awaitMore(changesAfter)
		operators.finish()
	})
}

// storeDownBriefly is an outage of the table service that ends while operators wait for
// their calls.
var storeDownBriefly = fault{"store down briefly", false, func(c *Cell, n *Node) func() {
	end := storeDown.inject(c, n)
	time.AfterFunc(time.Second, end)
	return func() {}
}}
