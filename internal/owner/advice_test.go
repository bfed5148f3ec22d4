package owner

import (
	"context"
	"errors"
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

// bubbleClock is the simulated clock of a testing/synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Boot() time.Duration { return time.Hour + time.Since(c.began) }
func (c bubbleClock) Now() time.Time      { return time.Now() }

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
			View: c.currentView,
		})
	}
	return c
}

func (c *cellOwners) currentView() (election.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view, c.changed
}

// Call calls a node of the cell.
func (c *cellOwners) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	answer, err := c.nodes[address].Handlers()[method](ctx, payload)
	if err != nil {
		return err
	}
	data, err := answer.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(data)
	return err
}

var _ wire.Caller = (*cellOwners)(nil)

// takeOver starts the tenure of a node.
func (c *cellOwners) takeOver(address string, epoch int) *tenure {
	ctx, cancel := context.WithCancelCause(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = election.View{Epoch: epoch, Address: address}
	close(c.changed)
	c.changed = make(chan struct{})
	return &tenure{Owner: c.nodes[address], epoch: epoch, ctx: ctx, cancel: cancel, inbox: make(chan func(), inboxSize)}
}

func longAdviceCall(workers ...string) *cell.AdviceCall {
	return &cell.AdviceCall{
		ID: 1, Node: "n0", Step: work.StepID{Work: "0000000000000001"}, Workers: workers, ExpectedTime: time.Second,
	}
}

var errTenureEnded = errors.New("the tenure has ended")

// Guards against a task that gets no ticket because each tenure is shorter than a call of
// the adviser, as when the nodes are stopped one after the other.
func TestAdviceCallOutlastsItsTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		first := c.takeOver("n0", 1)
		go first.requestAdvice(longAdviceCall("w1", "w2"))
		time.Sleep(600 * time.Millisecond)
		first.cancel(errTenureEnded)
		second := c.takeOver("n1", 2)
		began := time.Now()
		r, err := second.obtainAdvice(t.Context(), longAdviceCall("w1", "w2"))
		if err != nil || len(r.tickets()) != 2 {
			t.Fatalf("%v, %v", r, err)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("the advice took %v; the call of the first owner ends after 400 ms", took)
		}
		synctest.Wait()
	})
}

// Guards against tickets that are lost at a takeover while they are valid, and against a
// ticket of an earlier owner that is used when it is about to expire.
func TestValidTicketsAreKeptAtATakeover(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration // of the ticket at the call of the second owner
		want time.Duration // for the answer to that call
	}{{time.Second, 0}, {1400 * time.Millisecond, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCellOwners(slowAdviser{time.Second})
			first := c.takeOver("n0", 1)
			first.requestAdvice(longAdviceCall("w1", "w2", "w3"))
			first.cancel(errTenureEnded)
			second := c.takeOver("n1", 2)
			first.passOn(first.adviceResults.valid(first.options.Clock.Boot()))
			time.Sleep(test.age)
			began := time.Now()
			r, err := second.obtainAdvice(t.Context(), longAdviceCall("w1", "w3"))
			if err != nil || len(r.tickets()) != 2 {
				t.Fatalf("%v, %v", r, err)
			}
			if took := time.Since(began); took != test.want {
				t.Errorf("after %v: the advice took %v, want %v", test.age, took, test.want)
			}
		})
	}
}

// Guards against a renewal that is answered with the ticket that it is to replace.
func TestInheritedTicketIsUsedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		tenure := c.takeOver("n0", 1)
		now := tenure.options.Clock.Boot()
		tenure.inherited.add(&adviceResult{"0000000000000001.0.0", map[string]advice{"w1": {"earlier", now + time.Second}}})
		for _, want := range []string{"earlier", "ticket"} {
			r, err := tenure.obtainAdvice(t.Context(), longAdviceCall("w1"))
			if err != nil || r.tickets()["w1"] != want {
				t.Errorf("%v, %v, want %q", r, err, want)
			}
		}
	})
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
		out.Results = append(out.Results, api.AdviceResult{Step: fmt.Sprintf("step-%d", n), ValidMs: 1000, Workers: callWorkers()})
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

// Guards against a new owner that looks through all inherited answers again for each result,
// and answers no pings meanwhile.
func TestInheritedResultsAreAddedTogether(t *testing.T) {
	reads := 0
	o := New(Options{Clock: countingClock{bubbleClock{time.Now()}, &reads}, Logger: log.NewNopLogger()})
	o.inheritAdvice(manyAdviceResults())
	if _, missing, _ := o.inherited.take("step-7", callWorkers()); len(missing) > 0 {
		t.Errorf("no answer about %v", missing)
	}
	if limit := 2*maxResultsPassed + len(callWorkers()); reads > limit {
		t.Errorf("the clock was read %d times, want at most %d", reads, limit)
	}
}

// Guards against a result that costs the more the more results are valid, so that an owner
// with much waiting work has less time for it.
func TestKeepingAResultCostsTheSameWhileManyAreValid(t *testing.T) {
	const adds = 1500
	perAdd := func(valid time.Duration) time.Duration {
		results, now := adviceResults{}, time.Hour
		began := time.Now()
		for range adds {
			now += time.Millisecond
			results.add(&adviceResult{"step", adviceOf(callWorkers(), nil, now+minTicketTime+valid)}, now)
		}
		if got, want := len(results.valid(now)), int(valid/time.Millisecond); got < want || got > want+1 {
			t.Errorf("%d results are valid, want %d", got, want)
		}
		return time.Since(began) / adds
	}
	few, many := perAdd(10*time.Millisecond), perAdd(1200*time.Millisecond)
	t.Logf("%v with 10 valid results, %v with 1200", few, many)
	if many > 10*few {
		t.Errorf("a result costs %v with 10 valid results and %v with 1200", few, many)
	}
}
