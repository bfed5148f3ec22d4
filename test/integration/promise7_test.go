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
	requestInterval     = 12 * time.Millisecond
	requestsBeforeFault = 50
	requestsDuringFault = 80
	repeatsAtOnce       = 16
)

// repeatedRequests sends requests to a queue that is not idempotent, each through two
// nodes at once, and records them so that they can be repeated later.
type repeatedRequests struct {
	cell *Cell
	ctx  context.Context
	stop context.CancelFunc
	sent sync.WaitGroup

	mu       sync.Mutex
	requests []client.Request
	answers  map[string]string // first answer by request ID
}

func (c *Cell) startRepeatedRequests() *repeatedRequests {
	o := &repeatedRequests{cell: c, answers: map[string]string{}}
	o.ctx, o.stop = context.WithCancel(c.ctx)
	o.sent.Go(o.run)
	return o
}

// requestIDAges are the ages of the request IDs sent: a caller may repeat a request
// minutes or hours later.
var requestIDAges = []time.Duration{0, 0, 5 * time.Minute, requests.RecordRetention - time.Hour}

func (o *repeatedRequests) run() {
	for n := 0; o.ctx.Err() == nil; n++ {
		r := client.Request{Queue: queueOrder, ID: NewID(time.Now().Add(-requestIDAges[n%len(requestIDAges)])), Body: requestBody(o.cell.randomInt(60), 100, uint64(n))}
		o.mu.Lock()
		o.requests = append(o.requests, r)
		o.mu.Unlock()
		nodes := o.cell.runningNodes()
		for i := range 2 {
			node := nodes[(n+i)%len(nodes)]
			o.sent.Go(func() { o.send(node, r) })
		}
		time.Sleep(requestInterval)
	}
}

// send sends a request once and checks that its answer equals earlier answers.
func (o *repeatedRequests) send(n *Node, r client.Request) error {
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

func (o *repeatedRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests)
}

func (o *repeatedRequests) awaitMore(n int) {
	o.cell.t.Helper()
	want := o.count() + n
	o.cell.Until(fmt.Sprintf("%d more orders are sent", n), func() bool { return o.count() >= want })
}

// repeatAll repeats every request until its outcome is definite. If noOwnerLost is set, no
// owner was lost between sending an answer and recording it, so that each request that was
// answered must be answered again.
func (o *repeatedRequests) repeatAll(noOwnerLost bool) {
	o.mu.Lock()
	answered := maps.Clone(o.answers)
	o.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(repeatsAtOnce)
	for i, r := range o.requests {
		group.Go(func() error {
			err := o.repeatUntilDefinite(i, r)
			if answered[r.ID] != "" && noOwnerLost && err != nil {
				return fmt.Errorf("request %s was answered; its repetition: %w", r.ID, err)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		o.cell.t.Error(err)
	}
}

// repeatUntilDefinite repeats a request through the running nodes until the outcome is definite.
func (o *repeatedRequests) repeatUntilDefinite(i int, r client.Request) error {
	nodes := o.cell.runningNodes()
	var err error
	o.cell.poll(waitTimeout, func() bool {
		i++
		err = o.send(nodes[i%len(nodes)], r)
		return !errkind.ResponseOf(kindOf(err)).Retryable
	})
	return err
}

// Guards against a second execution of a request that is not idempotent and is sent
// through two nodes at once and again later, also when its owner is lost in between.
func TestPromise7AtMostOnce(t *testing.T) {
	faults := []fault{
		nodeKilled, nodePaused, nodePausedBriefly, storeUnreachable, peersUnreachable, isolated, nodeReplaced, storeAnswersLost, storeSlow, storeHangs, upstreamAnswersCut, peersSlow,
		pairOf(nodeKilled, storeAnswersLost), pairOf(nodePaused, nodeKilled), pairOf(storeUnreachable, storeAnswersLost), pairOf(nodeKilled, storeSlow), pairOf(isolated, nodePaused), pairOf(storeDown, nodeKilled), pairOf(peerAnswersCut, storeAnswersLost),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		o := c.startRepeatedRequests()
		o.awaitMore(requestsBeforeFault)
		f.runDuring(c, c.Owner("desk-executors-1"), func() { o.awaitMore(requestsDuringFault) })
		o.awaitMore(requestsBeforeFault)
		o.stop()
		o.sent.Wait()
		o.repeatAll(!f.losesPartitions)
		if len(o.answers) < requestsBeforeFault {
			c.t.Errorf("%d of %d orders were answered", len(o.answers), len(o.requests))
		}
	})
}

// Guards against accepting a request ID that is reused for another request, one so old
// that its record may have been removed, or one with a time in the future.
func TestPromise7RequestIDs(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	tests := []struct {
		name        string
		age         time.Duration
		first, next errkind.Kind // "" for an answer; next is for the same ID with another body
	}{
		{"now", 0, "", errkind.RequestIDConflict},
		{"minutes ago", 10 * time.Minute, "", errkind.RequestIDConflict},
		{"almost too old", requests.RecordRetention - 10*time.Second, "", errkind.RequestIDConflict},
		{"too old", requests.RecordRetention + time.Second, errkind.OutcomeUnknown, errkind.OutcomeUnknown},
		{"in the future", -2 * requests.MaxIDFuture, errkind.InvalidArgument, errkind.InvalidArgument},
	}
	for _, tt := range tests {
		r := client.Request{Queue: queueOrder, ID: NewID(time.Now().Add(-tt.age)), Body: requestBody(1, 100, 1)}
		for i, n := range slices.Concat(c.Nodes, c.Nodes) {
			want := tt.first
			if i%2 == 1 {
				r.Body, want = requestBody(1, 100, uint64(i+1)), tt.next
			} else {
				r.Body = requestBody(1, 100, 1)
			}
			_, err := c.Caller(c.keys[teamCutting], n).Send(c.ctx, teamCutting, r)
			if kindOf(err) != want {
				t.Errorf("%s, through %s, call %d: %v, want %q", tt.name, n.Name, i+1, err, want)
			}
		}
	}
}

// Guards against a second execution of a request after its ID has become too old and its
// record was removed.
func TestPromise7IDGrowsOld(t *testing.T) {
	t.Parallel()
	const left = 3 * time.Second // until the ID has become too old
	c := NewCell(t, Options{})
	r := client.Request{Queue: queueOrder, ID: NewID(time.Now().Add(left - requests.RecordRetention)), Body: requestBody(1, 100, 1)}
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
