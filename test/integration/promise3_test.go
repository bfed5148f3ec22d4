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
	probeInterval   = 20 * time.Millisecond
	probeTimeout    = 2 * time.Second // a paused node does not answer
	minProbes       = 10
	rowPollInterval = 2 * time.Millisecond
)

// probe sends requests to one node until the test ends.
type probe struct {
	node     *Node
	answered atomic.Int64
	refused  atomic.Int64
}

// startProbes starts a probe for each node, which sends requests with a key.
func (c *Cell) startProbes(queue string, key Key) []*probe {
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
		_, err := c.Caller(key, p.node).Send(ctx, team, client.Request{Queue: queue, ID: NewID(time.Now()), Body: requestBody(1, 10, 0)})
		cancel()
		if err == nil {
			p.answered.Add(1)
		} else if errkind.From(err).Outcome() == errkind.NotRun {
			p.refused.Add(1)
		}
		time.Sleep(probeInterval)
	}
}

// awaitProbes waits until a counter of each probe of a running node has increased by
// minProbes.
func (c *Cell) awaitProbes(what string, probes []*probe, count func(*probe) *atomic.Int64) {
	c.t.Helper()
	for _, p := range probes {
		want := count(p).Load() + minProbes
		c.Until(p.node.Name+" "+what, func() bool { return !p.node.Running() || count(p).Load() >= want })
	}
}

func answeredCount(p *probe) *atomic.Int64 { return &p.answered }
func refusedCount(p *probe) *atomic.Int64  { return &p.refused }

// rowWritten polls a row and returns a channel that receives the start time of the first
// read that returns a newer version than the row has when rowWritten is called.
func (c *Cell) rowWritten(key string) <-chan time.Duration {
	before, _ := c.Standins.Table.Get(c.ctx, key) // version 0 in an outage
	at := make(chan time.Duration, 1)
	c.background.Go(func() {
		for c.ctx.Err() == nil {
			now := c.Recorder.Now()
			if row, err := c.Standins.Table.Get(c.ctx, key); err == nil && row.Version > before.Version {
				at <- now
				return
			}
			time.Sleep(rowPollInterval)
		}
	})
	return at
}

// Guards against a node that accepts a withdrawn key after the withdrawal has been
// confirmed, or more than 5 s after it was written, even if the node is cut off.
func TestPromise3Keys(t *testing.T) {
	faults := []fault{
		{"none", false, func(*Cell, *Node) func() { return func() {} }},
		storeUnreachable, peersUnreachable, isolated, peerRequestsDropped, nodePaused, nodeKilled, storeAnswersLost, storeSlow,
		pairOf(nodePaused, storeUnreachable), pairOf(isolated, nodeKilled), pairOf(storeUnreachable, storeUnreachable), pairOf(isolated, storeAnswersLost), pairOf(peersUnreachable, storeUnreachable),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		key := c.Grant(teamQuoting)
		public := c.StartLoad(queuePublic, 20)
		probes := c.startProbes(queueQuote, key)
		c.awaitProbes("answers", probes, answeredCount)

		end := f.inject(c, c.Nodes[c.randomInt(len(c.Nodes))])
		committed := c.rowWritten("key/" + key.ID)
		c.Withdraw(key)
		accepted := c.Recorder.Now()
		c.awaitProbes("refuses", probes, refusedCount)
		public.AwaitDone(minProbes)
		end()
		c.AwaitServing()
		c.awaitProbes("refuses after the fault", probes, refusedCount)

		until := min(accepted, <-committed+checker.DefaultOptions().KeyGrace)
		for _, r := range c.Recorder.Records() {
			if r.Kind == history.Call && r.Key == key.ID && r.Outcome == history.Answered && r.Started > until {
				c.t.Errorf("%s accepted the withdrawn key %v after the time by which it must be refused", r.Node, r.Started-until)
			}
		}
	})
}

// Guards against a node that accepts calls without a key on a queue after it was closed,
// and against keys that give access to the queue of another team.
func TestPromise3OpenQueues(t *testing.T) {
	underFaults(t, Options{}, []fault{storeUnreachable, isolated, nodePaused, pairOf(peerRequestsDropped, nodeKilled)}, func(c *Cell, f fault) {
		probes := c.startProbes(queuePublic, Key{})
		foreignKeyProbes := c.startProbes(queueQuote, c.keys[teamCutting])
		c.awaitProbes("answers without a key", probes, answeredCount)
		c.awaitProbes("refuses the key of another team", foreignKeyProbes, refusedCount)
		end := f.inject(c, c.Nodes[c.randomInt(len(c.Nodes))])
		closed := c.withClosedQueues(func(q string) bool { return q == queuePublic })
		c.Apply(1, closed)
		accepted := c.Recorder.Now()
		c.awaitProbes("refuses calls without a key", probes, refusedCount)
		end()
		c.AwaitServing()
		c.awaitProbes("refuses calls without a key after the fault", probes, refusedCount)
		for _, p := range foreignKeyProbes {
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
