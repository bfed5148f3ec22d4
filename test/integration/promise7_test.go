package integration

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/requests"
)

const (
	orderInterval = 12 * time.Millisecond
	ordersBefore  = 50
	ordersDuring  = 80
	repeatsAtOnce = 16
)

// orders sends requests of a queue that is not idempotent, each through two nodes
// at once, and keeps them for later repetition.
type orders struct {
	cell *Cell
	ctx  context.Context
	stop context.CancelFunc
	sent sync.WaitGroup

	mu       sync.Mutex
	requests []client.Request
	answers  map[string]string // first answer by request ID
}

func (c *Cell) startOrders() *orders {
	o := &orders{cell: c, answers: map[string]string{}}
	o.ctx, o.stop = context.WithCancel(c.ctx)
	o.sent.Go(o.run)
	return o
}

// ages of request IDs: a caller may repeat a request minutes or hours later.
var ages = []time.Duration{0, 0, 5 * time.Minute, requests.Retention - time.Hour}

func (o *orders) run() {
	for n := 0; o.ctx.Err() == nil; n++ {
		r := client.Request{Queue: queueOrder, ID: NewID(time.Now().Add(-ages[n%len(ages)])), Body: orderBody(o.cell.pick(60), 100, uint64(n))}
		o.mu.Lock()
		o.requests = append(o.requests, r)
		o.mu.Unlock()
		nodes := o.cell.running()
		for i := range 2 {
			node := nodes[(n+i)%len(nodes)]
			o.sent.Go(func() { o.send(node, r) })
		}
		time.Sleep(orderInterval)
	}
}

// send sends a request once and checks that all its answers are the same.
func (o *orders) send(n *Node, r client.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := o.cell.Caller(o.cell.keys[teamCutting], n).Send(ctx, teamCutting, r)
	if err != nil {
		return err
	}
	got := history.AnswerDigest(answer.Status, answer.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	if first, ok := o.answers[r.ID]; ok && first != got {
		o.cell.t.Errorf("request %s was answered %s and then %s", r.ID, first, got)
	}
	o.answers[r.ID] = got
	return nil
}

func (o *orders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests)
}

func (o *orders) awaitMore(n int) {
	o.cell.t.Helper()
	want := o.count() + n
	o.cell.Until(fmt.Sprintf("%d more orders", n), func() bool { return o.count() >= want })
}

// repeat sends every request again until it is certain what became of it. If kept
// is set, no owner was lost between an answer and its record, so that each request
// that was answered is answered again.
func (o *orders) repeat(kept bool) {
	o.mu.Lock()
	answered := maps.Clone(o.answers)
	o.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(repeatsAtOnce)
	for i, r := range o.requests {
		group.Go(func() error {
			err := o.again(i, r)
			if answered[r.ID] != "" && kept && err != nil {
				return fmt.Errorf("request %s was answered; its repetition: %w", r.ID, err)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		o.cell.t.Error(err)
	}
}

// again repeats a request through the running nodes until the outcome is definite.
func (o *orders) again(i int, r client.Request) error {
	nodes := o.cell.running()
	var err error
	o.cell.poll(patience, func() bool {
		i++
		err = o.send(nodes[i%len(nodes)], r)
		return !errkind.AnswerOf(kindOf(err)).Retryable
	})
	return err
}

// Guards against a second run of a request that is not idempotent, sent through
// two nodes at once and again later, also after its owner was lost in the middle.
func TestPromise7AtMostOnce(t *testing.T) {
	faults := []fault{
		killed, paused, pausedBriefly, noStore, noPeers, alone, replaced, answersLost, storeSlow, storeHangs, cutAnswers, slowPeers,
		both(killed, answersLost), both(paused, killed), both(noStore, answersLost), both(killed, storeSlow), both(alone, paused), both(storeDown, killed), both(cutPeers, answersLost),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		o := c.startOrders()
		o.awaitMore(ordersBefore)
		f.under(c, c.Owner("desk-executors-1"), func() { o.awaitMore(ordersDuring) })
		o.awaitMore(ordersBefore)
		o.stop()
		o.sent.Wait()
		o.repeat(!f.loses)
		if len(o.answers) < ordersBefore {
			c.t.Errorf("%d of %d orders were answered", len(o.answers), len(o.requests))
		}
	})
}

// Guards against an ID that is reused for another request, and against one so old
// that its record may be gone.
func TestPromise7RequestIDs(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	tests := []struct {
		name        string
		age         time.Duration
		first, next errkind.Kind // "" for an answer; next is that of another body
	}{
		{"now", 0, "", errkind.RequestIDConflict},
		{"minutes ago", 10 * time.Minute, "", errkind.RequestIDConflict},
		{"almost too old", requests.Retention - 10*time.Second, "", errkind.RequestIDConflict},
		{"too old", requests.Retention + time.Second, errkind.OutcomeUnknown, errkind.OutcomeUnknown},
		{"in the future", -2 * requests.MaxIDFuture, errkind.InvalidArgument, errkind.InvalidArgument},
	}
	for _, tt := range tests {
		r := client.Request{Queue: queueOrder, ID: NewID(time.Now().Add(-tt.age)), Body: orderBody(1, 100, 1)}
		for i, n := range slices.Concat(c.Nodes, c.Nodes) {
			want := tt.first
			if i%2 == 1 {
				r.Body, want = orderBody(1, 100, uint64(i+1)), tt.next
			} else {
				r.Body = orderBody(1, 100, 1)
			}
			_, err := c.Caller(c.keys[teamCutting], n).Send(c.ctx, teamCutting, r)
			if kindOf(err) != want {
				t.Errorf("%s, through %s, call %d: %v, want %q", tt.name, n.Name, i+1, err, want)
			}
		}
	}
}

// Guards against a request that runs again after its ID grew too old and its
// record was removed.
func TestPromise7IDGrowsOld(t *testing.T) {
	t.Parallel()
	const left = 3 * time.Second // until the ID is too old
	c := NewCell(t, Options{})
	r := client.Request{Queue: queueOrder, ID: NewID(time.Now().Add(left - requests.Retention)), Body: orderBody(1, 100, 1)}
	send := func(n *Node) errkind.Kind {
		_, err := c.Caller(c.keys[teamCutting], n).Send(c.ctx, teamCutting, r)
		return kindOf(err)
	}
	if kind := send(c.Nodes[0]); kind != "" {
		t.Fatalf("first call: %s", kind)
	}
	for _, n := range c.Nodes {
		c.Until(n.Name+" does not know the outcome any more", func() bool { return send(n) == errkind.OutcomeUnknown })
	}
}
