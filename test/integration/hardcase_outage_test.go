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

// storeOutage is the duration of an outage of the table service: two lease times, so
// that everything that depends on a lease has expired.
const storeOutage = 2 * membership.LeaseDuration

// Guards against an outage of the table service for all nodes stopping requests that
// need no write to it, and against refusals of other calls with an error kind other
// than "store_unavailable".
func TestHardCase1StoreDownForAll(t *testing.T) {
	for _, f := range []fault{storeDown, storeHangs} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{})
			orders := c.StartLoad(queueOrder, 20)
			probes := c.startProbes(queueQuote, c.keys[teamQuoting])
			public := c.startProbes(queuePublic, Key{})
			all := slices.Concat(probes, public)
			c.awaitProbes("answers", all, answeredCount)
			refusedBefore := countRefused(all)

			began := c.Recorder.Now()
			end := f.inject(c, nil)
			c.Until("orders are refused", func() bool { return c.countCalls(history.NotRun, errkind.StoreUnavailable) >= minRefusals })
			c.checkChangesRefused(f.name == storeHangs.name)
			c.Until("the outage lasts two leases", func() bool { return c.Recorder.Now() > began+storeOutage })
			c.awaitProbes("answers in the outage", all, answeredCount)
			if n := countRefused(all) - refusedBefore; n > 0 {
				t.Errorf("%d idempotent requests were refused in the outage", n)
			}
			end()
			orders.AwaitDone(answersAfterFault)
			c.AwaitServing()
			c.awaitProbes("answers after the outage", all, answeredCount)
			if n := countRefused(all) - refusedBefore; n > 0 {
				t.Errorf("%d idempotent requests were refused in or after the outage", n)
			}
			c.Apply(1, c.withShare(7))
		})
	}
}

func countRefused(probes []*probe) int64 {
	n := int64(0)
	for _, p := range probes {
		n += p.refused.Load()
	}
	return n
}

// checkChangesRefused checks that every node refuses calls that need the table service.
// If the service hangs, a job submission may also end as outcome_unknown, because a write
// without an answer may have been stored.
func (c *Cell) checkChangesRefused(hangs bool) {
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
			_, err := n.operatorClient.Apply(c.ctx, api.ConfigApply{BaseVersion: 1, Document: c.withShare(9)})
			return err
		})
		check("grant", false, func() error {
			_, err := n.operatorClient.Grant(c.ctx, api.KeyGrant{Team: teamCutting, Role: api.RoleCaller})
			return err
		})
		check("withdraw", false, func() error {
			_, err := n.operatorClient.Withdraw(c.ctx, c.keys[teamCutting].ID)
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

// Guards against a node that cannot reach the table service and stops serving although
// its peers keep its state fresh, or that keeps its partitions.
func TestHardCase2StoreUnreachableFromOneNode(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	orders := c.StartLoad(queueOrder, 40)
	probes := c.startProbes(queueQuote, c.keys[teamQuoting])
	c.awaitProbes("answers", probes, answeredCount)
	n := c.Owner("desk-executors-0")
	storeUnreachable.runDuring(c, n, func() {
		c.AwaitTakeover(n, c.owners())
		c.awaitProbes("answers", probes, answeredCount)
		c.Until("an order is answered through "+n.Name, func() bool {
			return c.answeredSince(queueOrder, n, c.Recorder.Now()-time.Second)
		})
	})
	orders.AwaitDone(answersAfterFault)
	c.awaitProbes("answers", probes, answeredCount)
}

// answeredSince reports whether a call on a queue through a node that began later than the
// time after was answered.
func (c *Cell) answeredSince(queue string, n *Node, after time.Duration) bool {
	return slices.ContainsFunc(c.Recorder.Records(), func(r history.Record) bool {
		return r.Kind == history.Call && r.Queue == queue && r.Node == n.Name && r.Outcome == history.Answered && r.Started > after
	})
}

// Guards against an isolated node serving callers after its keys and configuration
// are no longer fresh.
func TestHardCase9IsolatedNodeStops(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	probes := c.startProbes(queueQuote, c.keys[teamQuoting])
	public := c.startProbes(queuePublic, Key{})
	c.awaitProbes("answers", probes, answeredCount)
	n := c.Nodes[c.randomInt(len(c.Nodes))]
	var isolatedAt time.Duration
	isolated.runDuring(c, n, func() {
		isolatedAt = c.Recorder.Now()
		c.Until(n.Name+" refuses callers", func() bool { return c.countCalls(history.NotRun, errkind.NodeNotFresh) >= minProbes })
		if c.answeredSince(queueQuote, n, isolatedAt+registry.MaxViewAge) || c.answeredSince(queuePublic, n, isolatedAt+registry.MaxViewAge) {
			t.Errorf("%s served callers %v after it was isolated", n.Name, registry.MaxViewAge)
		}
	})
	c.awaitProbes("answers", slices.Concat(probes, public), answeredCount)
}

// Guards against a node that was paused until its lease expired and, once resumed,
// continues as owner.
func TestHardCase3PausedPastLease(t *testing.T) {
	for _, times := range []string{"once", "twice"} {
		t.Run(times, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{})
			loads := []*RequestLoad{c.StartShapedLoad(queueOrder, 40, LoadShape{MaxRun: 500 * time.Millisecond}), c.StartLoad(queueQuote, 40)}
			awaitAllDone(loads, minProbes)
			n := c.Owner("desk-executors-1")
			pauses := 1
			if times == "twice" {
				pauses = 2
			}
			for range pauses {
				before, _ := n.State()
				nodePaused.runDuring(c, n, func() { awaitAllDone(loads, answersDuringFault) })
				c.Until(n.Name+" has joined again", func() bool {
					s, ok := n.State()
					return ok && s.Ready && s.Self.Incarnation != before.Self.Incarnation
				})
				awaitAllDone(loads, answersAfterFault)
			}
		})
	}
}
