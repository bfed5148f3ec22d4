package integration

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
)

const (
	probeInterval = 20 * time.Millisecond
	probeTimeout  = 2 * time.Second // a paused node does not answer
	enoughProbes  = 10
	rowInterval   = 2 * time.Millisecond
)

// probe sends requests to one node without end.
type probe struct {
	node     *Node
	answered atomic.Int64
	refused  atomic.Int64
}

// probes sends requests with a key to each node until the test ends.
func (c *Cell) probes(queue string, key Key) []*probe {
	var out []*probe
	for _, n := range c.Nodes {
		p := &probe{node: n}
		out = append(out, p)
		c.background.Go(func() { p.run(c, queue, key) })
	}
	return out
}

func (p *probe) run(c *Cell, queue string, key Key) {
	team := c.Queue(queue).Team
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, err := c.Caller(key, p.node).Send(ctx, team, client.Request{Queue: queue, ID: NewID(time.Now()), Body: orderBody(1, 10, 0)})
		cancel()
		if err == nil {
			p.answered.Add(1)
		} else if errkind.From(err).Outcome() == errkind.NotRun {
			p.refused.Add(1)
		}
		time.Sleep(probeInterval)
	}
}

// awaitProbes waits until each running node has answered, or refused, some more.
func (c *Cell) awaitProbes(what string, probes []*probe, count func(*probe) *atomic.Int64) {
	c.t.Helper()
	for _, p := range probes {
		want := count(p).Load() + enoughProbes
		c.Until(p.node.Name+" "+what, func() bool { return !p.node.Running() || count(p).Load() >= want })
	}
}

func answeredBy(p *probe) *atomic.Int64 { return &p.answered }
func refusedBy(p *probe) *atomic.Int64  { return &p.refused }

// awaitCommit returns the time by which a row was written again.
func (c *Cell) awaitCommit(key string) <-chan time.Duration {
	before, _ := c.Standins.Table.Get(c.ctx, key) // version 0 in an outage
	at := make(chan time.Duration, 1)
	c.background.Go(func() {
		for c.ctx.Err() == nil {
			now := c.Recorder.Now()
			if row, err := c.Standins.Table.Get(c.ctx, key); err == nil && row.Version > before.Version {
				at <- now
				return
			}
			time.Sleep(rowInterval)
		}
	})
	return at
}

// Guards against a node that accepts a withdrawn key: once the withdrawal is
// accepted, or 5 s after it was written, whatever cuts the node off.
func TestPromise3Keys(t *testing.T) {
	faults := []fault{
		{"none", false, func(*Cell, *Node) func() { return func() {} }},
		noStore, noPeers, alone, deaf, paused, killed, answersLost, storeSlow,
		both(paused, noStore), both(alone, killed), both(noStore, noStore), both(alone, answersLost), both(noPeers, noStore),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		key := c.Grant(teamQuoting)
		public := c.Load(queuePublic, 20)
		probes := c.probes(queueQuote, key)
		c.awaitProbes("answers", probes, answeredBy)

		end := f.begin(c, c.Nodes[c.pick(len(c.Nodes))])
		committed := c.awaitCommit("key/" + key.ID)
		c.Withdraw(key)
		accepted := c.Recorder.Now()
		c.awaitProbes("refuses", probes, refusedBy)
		public.AwaitDone(enoughProbes)
		end()
		c.AwaitServing()
		c.awaitProbes("refuses after the fault", probes, refusedBy)

		until := min(accepted, <-committed+checker.DefaultOptions().KeyGrace)
		for _, r := range c.Recorder.Records() {
			if r.Kind == history.Call && r.Key == key.ID && r.Outcome == history.Answered && r.Started > until {
				c.t.Errorf("%s accepted the key %v after it was dead", r.Node, r.Started-until)
			}
		}
	})
}

// Guards against a queue that stays open on some node after it was closed, and
// against keys that open the queue of another team.
func TestPromise3OpenQueues(t *testing.T) {
	underFaults(t, Options{}, []fault{noStore, alone, paused, both(deaf, killed)}, func(c *Cell, f fault) {
		probes := c.probes(queuePublic, Key{})
		foreign := c.probes(queueQuote, c.keys[teamCutting])
		c.awaitProbes("answers without a key", probes, answeredBy)
		c.awaitProbes("refuses the key of another team", foreign, refusedBy)
		end := f.begin(c, c.Nodes[c.pick(len(c.Nodes))])
		closed := c.document(func(q string) bool { return q == queuePublic })
		c.Apply(1, closed)
		accepted := c.Recorder.Now()
		c.awaitProbes("refuses calls without a key", probes, refusedBy)
		end()
		c.AwaitServing()
		c.awaitProbes("refuses calls without a key after the fault", probes, refusedBy)
		for _, p := range foreign {
			if n := p.answered.Load(); n > 0 {
				c.t.Errorf("%s accepted the key of another team %d times", p.node.Name, n)
			}
		}
		for _, r := range c.Recorder.Records() {
			if r.Kind == history.Call && r.Queue == queuePublic && r.Outcome == history.Answered && r.Started > accepted {
				c.t.Errorf("%s accepted a call without a key %v after the queue was closed", r.Node, r.Started-accepted)
			}
		}
	})
}
