package integration

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/membership"
	"github.com/endivehill/endivehill/internal/registry"
)

// outage is the length of an outage of the table service: two leases, so that
// everything that a lease keeps alive has run out.
const outage = 2 * membership.Lease

// Guards against an outage for all that stops what needs no write to the store,
// and against refusals of the rest that are not "store_unavailable".
func TestHardCase1StoreDownForAll(t *testing.T) {
	for _, f := range []fault{storeDown, storeHangs} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{})
			orders := c.Load(queueOrder, 20)
			probes := c.probes(queueQuote, c.keys[teamQuoting])
			public := c.probes(queuePublic, Key{})
			all := slices.Concat(probes, public)
			c.awaitProbes("answers", all, answeredBy)
			refusedBefore := refused(all)

			began := c.Recorder.Now()
			end := f.begin(c, nil)
			c.Until("orders are refused", func() bool { return c.calls(history.NotRun, errkind.StoreUnavailable) >= refusals })
			c.refusesChanges(f.name == storeHangs.name)
			c.Until("the outage lasts two leases", func() bool { return c.Recorder.Now() > began+outage })
			c.awaitProbes("answers in the outage", all, answeredBy)
			if n := refused(all) - refusedBefore; n > 0 {
				t.Errorf("%d idempotent requests were refused in the outage", n)
			}
			end()
			orders.AwaitDone(afterFault)
			c.AwaitServing()
			c.awaitProbes("answers after the outage", all, answeredBy)
			if n := refused(all) - refusedBefore; n > 0 {
				t.Errorf("%d idempotent requests were refused in or after the outage", n)
			}
			c.Apply(1, c.withShare(7))
		})
	}
}

func refused(probes []*probe) int64 {
	n := int64(0)
	for _, p := range probes {
		n += p.refused.Load()
	}
	return n
}

// refusesChanges checks that every node refuses what needs the table service. A
// job whose write got no answer may have been stored.
func (c *Cell) refusesChanges(hangs bool) {
	c.t.Helper()
	var calls sync.WaitGroup
	for _, n := range c.Nodes {
		check := func(what string, unknown bool, call func() error) {
			calls.Go(func() {
				kind := kindOf(call())
				if kind != errkind.StoreUnavailable && !(unknown && kind == errkind.OutcomeUnknown) {
					c.t.Errorf("%s through %s in an outage: %q", what, n.Name, kind)
				}
			})
		}
		check("apply", false, func() error {
			_, err := n.op.Apply(c.ctx, api.ConfigApply{BaseVersion: 1, Document: c.withShare(9)})
			return err
		})
		check("grant", false, func() error {
			_, err := n.op.Grant(c.ctx, api.KeyGrant{Team: teamCutting, Role: api.RoleCaller})
			return err
		})
		check("withdraw", false, func() error {
			_, err := n.op.Withdraw(c.ctx, c.keys[teamCutting].ID)
			return err
		})
		check("job", hangs, func() error {
			_, err := c.Caller(c.keys[teamCutting], n).SubmitJob(c.ctx, teamCutting, api.JobSubmission{
				Id: "in-outage", Queue: queueBatch, Tasks: 1, Resources: api.Resources{CpuMillis: 100, MemoryMb: 100},
			})
			return err
		})
	}
	calls.Wait()
}

// Guards against a node without the store that stops serving although its peers
// keep it fresh, or keeps its partitions.
func TestHardCase2StoreUnreachableFromOneNode(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	orders := c.Load(queueOrder, 40)
	probes := c.probes(queueQuote, c.keys[teamQuoting])
	c.awaitProbes("answers", probes, answeredBy)
	n := c.Owner("desk-executors-0")
	noStore.under(c, n, func() {
		c.AwaitTakeover(n, c.owners())
		c.awaitProbes("answers", probes, answeredBy)
		c.Until("an order is answered through "+n.Name, func() bool {
			return c.answered(queueOrder, n, c.Recorder.Now()-time.Second)
		})
	})
	orders.AwaitDone(afterFault)
	c.awaitProbes("answers", probes, answeredBy)
}

// answered reports whether a call through a node that began later was answered.
func (c *Cell) answered(queue string, n *Node, after time.Duration) bool {
	return slices.ContainsFunc(c.Recorder.Records(), func(r history.Record) bool {
		return r.Kind == history.Call && r.Queue == queue && r.Node == n.Name && r.Outcome == history.Answered && r.Started > after
	})
}

// Guards against an isolated node that serves callers for longer than its view of
// keys and configuration is fresh.
func TestHardCase9IsolatedNodeStops(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	probes := c.probes(queueQuote, c.keys[teamQuoting])
	public := c.probes(queuePublic, Key{})
	c.awaitProbes("answers", probes, answeredBy)
	n := c.Nodes[c.pick(len(c.Nodes))]
	var cut time.Duration
	alone.under(c, n, func() {
		cut = c.Recorder.Now()
		c.Until(n.Name+" refuses callers", func() bool { return c.calls(history.NotRun, errkind.NodeNotFresh) >= enoughProbes })
		if c.answered(queueQuote, n, cut+registry.Freshness) || c.answered(queuePublic, n, cut+registry.Freshness) {
			t.Errorf("%s served callers %v after it was isolated", n.Name, registry.Freshness)
		}
	})
	c.awaitProbes("answers", slices.Concat(probes, public), answeredBy)
}

// Guards against a node that was paused past its lease and goes on as before.
func TestHardCase3PausedPastLease(t *testing.T) {
	for _, again := range []string{"once", "twice"} {
		t.Run(again, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{})
			loads := []*Load{c.ShapedLoad(queueOrder, 40, Shape{MaxRun: 500 * time.Millisecond}), c.Load(queueQuote, 40)}
			awaitAll(loads, enoughProbes)
			n := c.Owner("desk-executors-1")
			pauses := 1
			if again == "twice" {
				pauses = 2
			}
			for range pauses {
				before, _ := n.State()
				paused.under(c, n, func() { awaitAll(loads, duringFault) })
				c.Until(n.Name+" has joined again", func() bool {
					s, ok := n.State()
					return ok && s.Ready && s.Self.Incarnation != before.Self.Incarnation
				})
				awaitAll(loads, afterFault)
			}
		})
	}
}
