package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// slowAdviser answers after callTime with a ticket for each worker.
type slowAdviser struct{ callTime time.Duration }

func (a slowAdviser) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	select {
	case <-time.After(a.callTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	out := &api.AdviceAnswer{ValidMs: 1500}
	for _, worker := range call.Workers {
		out.Tickets = append(out.Tickets, api.WorkerTicket{Worker: worker, Ticket: "ticket"})
	}
	return out, nil
}

// cellOwners are two nodes that own the cell one after the other.
type cellOwners struct {
	nodes map[string]*Owner

	mu      sync.Mutex
	view    election.View
	changed chan struct{}
}

func newCellOwners(adviser Adviser) *cellOwners {
	c := &cellOwners{nodes: map[string]*Owner{}, changed: make(chan struct{})}
	for _, address := range []string{"n0", "n1"} {
		c.nodes[address] = New(Options{
			Adviser: adviser, Peers: c, SelfAddress: address, Clock: bubbleClock{time.Now()}, Logger: log.NewNopLogger(),
			View: func() (election.View, <-chan struct{}) { return c.viewOf(address) },
		})
	}
	return c
}

// viewOf returns what a node knows of the owner.
func (c *cellOwners) viewOf(address string) (election.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	v.Self = v.Address == address
	return v, c.changed
}

// Call calls a node of the cell.
func (c *cellOwners) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	return callHandler(ctx, c.nodes[address], method, in, out)
}

var _ wire.Caller = (*cellOwners)(nil)

// release ends the ownership of an epoch before a next owner is known.
func (c *cellOwners) release(epoch int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = election.View{Epoch: epoch}
}

// takeOver starts the tenure of a node.
func (c *cellOwners) takeOver(address string, epoch int) *tenure {
	ctx, cancel := context.WithCancelCause(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = election.View{Epoch: epoch, Address: address}
	close(c.changed)
	c.changed = make(chan struct{})
	t := &tenure{Owner: c.nodes[address], epoch: epoch, ctx: ctx, cancel: cancel, inbox: make(chan func(), inboxSize)}
	t.relay.begin(t)
	return t
}

// end ends a tenure.
func (t *tenure) end() {
	t.cancel(errTenureEnded)
	t.relay.end(t)
}

// keptTickets returns the tickets that a tenure keeps for the next one, by worker.
func (t *tenure) keptTickets() map[string]string {
	t.adviceResults.mu.Lock()
	defer t.adviceResults.mu.Unlock()
	out := map[string]string{}
	for _, r := range t.adviceResults.list {
		for worker, ticket := range r.ticketsByWorker() {
			out[worker] = ticket
		}
	}
	return out
}

func longAdviceCall(workers ...string) *cell.AdviceCall {
	return &cell.AdviceCall{
		ID: 1, Node: "n0", Step: work.StepID{Work: "0000000000000001"}, Workers: workers, ExpectedTime: time.Second,
	}
}

// Guards against a task that gets no ticket because each tenure is shorter than a call of
// the adviser, as when the nodes are stopped one after the other.
func TestAdviceCallOutlastsItsTenure(t *testing.T) {
	for _, callee := range []string{"n0", "n1"} {
		inBubble(t, func(t *testing.T) {
			c := newCellOwners(slowAdviser{time.Second})
			first := c.takeOver("n0", 1)
			call := longAdviceCall("w1", "w2")
			call.Node = callee
			go first.requestAdvice(call)
			time.Sleep(600 * time.Millisecond)
			first.cancel(errTenureEnded)
			second := c.takeOver("n1", 2)
			first.relay.end(first)
			time.Sleep(500 * time.Millisecond)
			if got := second.keptTickets(); len(got) != 2 {
				t.Errorf("call through %s: the second owner has %v 100 ms after the answer", callee, got)
			}
		})
	}
}

// Guards against a result that is lost because the node to which it is passed has lost the cell
// meanwhile.
func TestResultsAreForwardedToTheCurrentOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		first := c.takeOver("n0", 1)
		first.requestAdvice(longAdviceCall("w1", "w2"))
		results := first.adviceResults.close(first.options.Clock.Boot())
		second := c.takeOver("n1", 2)
		first.cancel(errTenureEnded)
		first.relay.end(first)
		second.end() // knows nothing yet
		message := &api.AdviceResults{Epoch: 2}
		for _, r := range results {
			message.Results = append(message.Results, r.message(first.options.Clock.Boot()))
		}
		c.release(2)
		if err := c.Call(t.Context(), "n1", api.MethodAdviceResults, message, &api.Empty{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		third := c.takeOver("n0", 3)
		synctest.Wait()
		if got := third.keptTickets(); len(got) != 2 {
			t.Errorf("the third owner has %v", got)
		}
	})
}

// Guards against results that reach a node between its claim and its tenure and are dropped.
func TestResultsBeforeTheTenureAreKept(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		c.mu.Lock()
		c.view = election.View{Epoch: 2, Address: "n1"}
		c.mu.Unlock()
		message := &api.AdviceResults{Epoch: 2, Results: []api.AdviceResult{
			{Step: "0000000000000001.0.0", Workers: []string{"w1"}, Tickets: []api.WorkerTicket{{Worker: "w1", Ticket: "ticket"}}, ValidMs: 1000},
			{Step: "0000000000000001.0.0", Workers: []string{"w2"}, Tickets: []api.WorkerTicket{{Worker: "w2", Ticket: "ticket"}}, ValidMs: 350},
		}}
		if err := c.Call(t.Context(), "n1", api.MethodAdviceResults, message, &api.Empty{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if got := c.takeOver("n1", 2).keptTickets(); len(got) != 1 || got["w1"] == "" {
			t.Errorf("the tenure has %v, want the ticket that is valid for long enough", got)
		}
	})
}

// Guards against tickets that are lost at a takeover while they are valid, and against a
// ticket of an earlier owner that is used when it is about to expire.
func TestValidTicketsAreKeptAtATakeover(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration // of the tickets at the takeover
		want int
	}{{time.Second, 3}, {1400 * time.Millisecond, 0}} {
		inBubble(t, func(t *testing.T) {
			c := newCellOwners(slowAdviser{time.Second})
			first := c.takeOver("n0", 1)
			first.requestAdvice(longAdviceCall("w1", "w2", "w3"))
			time.Sleep(test.age)
			first.cancel(errTenureEnded)
			second := c.takeOver("n1", 2)
			first.relay.end(first)
			synctest.Wait()
			if got := second.keptTickets(); len(got) != test.want {
				t.Errorf("after %v: the second owner has %v, want %d tickets", test.age, got, test.want)
			}
		})
	}
}

// Guards against a malformed result that ends the process of the owner.
func TestMalformedResultsAreRejected(t *testing.T) {
	c := newCellOwners(slowAdviser{time.Second})
	owner := c.takeOver("n0", 1)
	for _, step := range []string{"", "x", "1.2", "1.-1.0", "1.0.0.0"} {
		message := &api.AdviceResults{Results: []api.AdviceResult{{Step: step, Workers: []string{"w1"}, ValidMs: 1000}}}
		if err := c.Call(t.Context(), "n0", api.MethodAdviceResults, message, &api.Empty{}); err == nil {
			t.Errorf("step %q is accepted", step)
		}
	}
	if got := owner.keptTickets(); len(got) > 0 {
		t.Errorf("kept %v", got)
	}
}

// callWorkers returns the workers of a usual advice call.
func callWorkers() []string {
	var out []string
	for n := range 36 {
		out = append(out, fmt.Sprintf("worker-%d", n))
	}
	return out
}

// manyAdviceResults returns as many results as one message passes on.
func manyAdviceResults() *api.AdviceResults {
	out := &api.AdviceResults{}
	for n := range maxResultsPassed {
		out.Results = append(out.Results, api.AdviceResult{Step: fmt.Sprintf("%016x.0.0", n), ValidMs: 1000, Workers: callWorkers()})
	}
	return out
}

// countingClock counts how often it is read.
type countingClock struct {
	bubbleClock
	reads *int
}

func (c countingClock) Boot() time.Duration {
	*c.reads++
	return c.bubbleClock.Boot()
}

// Guards against a new owner that looks through all results again for each one that it
// inherits, and answers no pings meanwhile.
func TestInheritedResultsAreAddedTogether(t *testing.T) {
	reads := 0
	clock := countingClock{bubbleClock{time.Now()}, &reads}
	o := New(Options{
		Clock: clock, Logger: log.NewNopLogger(),
		View: func() (election.View, <-chan struct{}) { return election.View{Epoch: 1, Self: true}, nil },
	})
	tenure := &tenure{Owner: o, epoch: 1, ctx: t.Context(), inbox: make(chan func(), inboxSize)}
	o.relay.begin(tenure)
	reads = 0
	if err := o.relay.accept(manyAdviceResults()); err != nil {
		t.Fatal(err)
	}
	if got := len(tenure.adviceResults.list); got != maxResultsPassed {
		t.Errorf("%d results are kept, want %d", got, maxResultsPassed)
	}
	if limit := 2 * maxResultsPassed; reads > limit {
		t.Errorf("the clock was read %d times, want at most %d", reads, limit)
	}
}

// Guards against a result that costs the more the more results are valid, so that an owner
// with much waiting work has less time for it.
func TestKeepingAResultCostsTheSameWhileManyAreValid(t *testing.T) {
	const adds = 1500
	perAdd := func(valid time.Duration) time.Duration {
		results, now := resultBuffer{}, time.Hour
		began := time.Now()
		for n := range adds {
			now += time.Millisecond
			step := work.StepID{Work: fmt.Sprintf("%016x", n)}
			results.add(now, &adviceResult{step: step, workers: callWorkers(), expires: now + minTicketTime + valid})
		}
		took := time.Since(began) / adds
		if got, want := len(results.close(now)), int(valid/time.Millisecond); got < want || got > want+1 {
			t.Errorf("%d results are valid, want %d", got, want)
		}
		return took
	}
	few, many := perAdd(10*time.Millisecond), perAdd(1200*time.Millisecond)
	t.Logf("%v with 10 valid results, %v with 1200", few, many)
	if many > 10*few {
		t.Errorf("a result costs %v with 10 valid results and %v with 1200", few, many)
	}
}

// Guards against results that are kept for long because a message names an absurd validity.
func TestValidityOfTicketsIsBounded(t *testing.T) {
	for ms, want := range map[int]time.Duration{-5: 0, 0: 0, 1500: 1500 * time.Millisecond, 1 << 62: maxValidity} {
		if got := validity(ms); got != want {
			t.Errorf("%d ms: %v, want %v", ms, got, want)
		}
	}
}
