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
	operatorWait  = 50 * time.Millisecond
	changesBefore = 2
	changesDuring = 4
	changesAfter  = 2
)

// race is a set of operators that change the configuration at the same time.
type race struct {
	cell    *Cell
	stopped chan struct{}
	ended   sync.WaitGroup

	mu       sync.Mutex
	accepted map[int]int // share by version
}

func (c *Cell) startRace(operators int) *race {
	r := &race{cell: c, stopped: make(chan struct{}), accepted: map[int]int{}}
	for i := range operators {
		r.ended.Go(func() { r.run(i, operators) })
	}
	return r
}

// run applies one document after the other over the version that it reads, through
// changing nodes. Each document has a share that no other has.
func (r *race) run(operator, operators int) {
	for try := 0; ; try++ {
		select {
		case <-r.stopped:
			return
		case <-time.After(operatorWait):
		}
		nodes := r.cell.running()
		view, err := nodes[(try+operator)%len(nodes)].op.Client.Config(r.cell.ctx)
		if err == nil {
			r.apply(operator, try, view.Version, 10+try*operators+operator)
		}
	}
}

// apply applies a document until it is accepted or another one has won.
func (r *race) apply(operator, first, base, share int) {
	in := api.ConfigApply{BaseVersion: base, Document: r.cell.withShare(share)}
	for try := first; r.cell.ctx.Err() == nil; try++ {
		nodes := r.cell.running()
		applied, err := nodes[(try+operator)%len(nodes)].op.Apply(r.cell.ctx, in)
		if err == nil {
			r.accept(applied.Version, share)
			return
		}
		if errkind.Is(err, errkind.VersionConflict) {
			return
		}
		time.Sleep(operatorWait)
	}
}

func (r *race) accept(version, share int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, ok := r.accepted[version]; ok && other != share {
		r.cell.t.Errorf("version %d was accepted with share %d and with share %d", version, other, share)
	}
	r.accepted[version] = share
}

func (r *race) awaitMore(n int) {
	r.cell.t.Helper()
	count := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.accepted)
	}
	want := count() + n
	r.cell.Until(fmt.Sprintf("%d more accepted configurations", n), func() bool { return count() >= want })
}

// finish stops the operators and checks that every node has the newest version in
// force, and that each accepted version is kept as it was accepted.
func (r *race) finish() {
	c := r.cell
	c.t.Helper()
	close(r.stopped)
	r.ended.Wait()
	newest := 0
	for version := range r.accepted {
		newest = max(newest, version)
	}
	c.Until(fmt.Sprintf("version %d is in force on every node", newest), func() bool {
		for _, n := range c.running() {
			if s, ok := n.State(); !ok || s.ConfigVersion < newest {
				return false
			}
		}
		return true
	})
	for version, share := range r.accepted {
		for _, n := range c.running() {
			var view api.ConfigView
			c.Until(fmt.Sprintf("%s shows version %d", n.Name, version), func() bool {
				var err error
				view, err = n.op.Client.ConfigVersion(c.ctx, version)
				return err == nil
			})
			if got := view.Document.Teams[0].Share; got != share {
				c.t.Errorf("version %d on %s has share %d; it was accepted with share %d", version, n.Name, got, share)
			}
		}
	}
}

// Guards against a configuration that is accepted and then lost, replaced by that
// of a rival, not in force somewhere after 4 s, or goes back.
func TestPromise10Configuration(t *testing.T) {
	faults := []fault{
		{"none", false, func(*Cell, *Node) func() { return func() {} }},
		killed, replaced, paused, noStore, noPeers, alone, deaf, answersLost, storeSlow, slowPeers, storeDownBriefly,
		both(paused, killed), both(alone, answersLost), both(noStore, killed), both(deaf, paused), both(noPeers, answersLost), both(killed, storeSlow),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		r := c.startRace(2)
		r.awaitMore(changesBefore)
		f.under(c, c.Nodes[c.pick(len(c.Nodes))], func() { r.awaitMore(changesDuring) })
		r.awaitMore(changesAfter)
		r.finish()
	})
}

// storeDownBriefly is an outage that ends while operators wait.
var storeDownBriefly = fault{"store down briefly", false, func(c *Cell, n *Node) func() {
	end := storeDown.begin(c, n)
	time.AfterFunc(time.Second, end)
	return func() {}
}}
