package owner

import (
	"context"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// setView makes a node the owner that is known, without a tenure.
func (c *cellOwners) setView(address string, epoch int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = election.View{Epoch: epoch, Address: address}
	close(c.changed)
	c.changed = make(chan struct{})
}

// oneResult returns a message with one result that is valid for a second.
func oneResult(epoch int) *api.AdviceResults {
	return &api.AdviceResults{Epoch: epoch, Results: []api.AdviceResult{
		{Step: "0000000000000001.0.0", Workers: []string{"w1"}, Tickets: []api.WorkerTicket{{Worker: "w1", Ticket: "ticket"}}, ValidMs: 1000},
	}}
}

// Guards against results that stay at a node whose tenure has ended, because it still knows
// itself as the owner until its last calls have ended.
func TestResultsThatArriveAfterTheTenureAreForwarded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		c.takeOver("n1", 2).end()
		if err := c.Call(t.Context(), "n1", api.MethodAdviceResults, oneResult(2), &api.Empty{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(150 * time.Millisecond)
		third := c.takeOver("n0", 3)
		time.Sleep(100 * time.Millisecond)
		if got := third.keptTickets(); len(got) != 1 {
			t.Errorf("the third owner has %v", got)
		}
	})
}

// Guards against results that reach no tenure because an earlier one of the same node ends late.
func TestTenureGetsResultsWhenAnEarlierOneEndsLate(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		first := c.takeOver("n0", 1)
		first.cancel(errTenureEnded)
		second := c.takeOver("n0", 2)
		first.relay.end(first)
		if err := c.Call(t.Context(), "n0", api.MethodAdviceResults, oneResult(2), &api.Empty{}); err != nil {
			t.Fatal(err)
		}
		if got := second.keptTickets(); len(got) != 1 {
			t.Errorf("the second tenure has %v", got)
		}
	})
}

// deadNode makes the calls to a node fail.
type deadNode struct {
	wire.Caller
	address string
}

func (d deadNode) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	if address == d.address {
		return errProcessEnded
	}
	return d.Caller.Call(ctx, address, method, in, out)
}

// Guards against results that are dropped because the owner to which they are passed has just
// been killed, although another one follows while they are valid.
func TestResultsGoToTheOwnerAfterOneThatWasKilled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		c.nodes["n0"].options.Peers = deadNode{c, "n2"}
		c.nodes["n0"].relay.options.Peers = deadNode{c, "n2"}
		first := c.takeOver("n0", 1)
		first.keepResults(newAdviceResult(work.StepID{Work: "0000000000000001"}, []string{"w1"},
			&api.AdviceAnswer{Tickets: []api.WorkerTicket{{Worker: "w1", Ticket: "ticket"}}, ValidMs: 2000}, first.options.Clock.Boot()))
		first.cancel(errTenureEnded)
		c.setView("n2", 2)
		first.relay.end(first)
		time.Sleep(600 * time.Millisecond)
		third := c.takeOver("n1", 3)
		time.Sleep(300 * time.Millisecond)
		if got := third.keptTickets(); len(got) != 1 {
			t.Errorf("the third owner has %v", got)
		}
	})
}

// Guards against results that reach only an owner which is replaced while it loads its records.
func TestResultsGoToEachOwnerWhileTheyAreValid(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		first := c.takeOver("n0", 1)
		first.requestAdvice(longAdviceCall("w1", "w2"))
		first.cancel(errTenureEnded)
		c.takeOver("n1", 2) // does not know of its end
		first.relay.end(first)
		time.Sleep(300 * time.Millisecond)
		third := c.takeOver("n0", 3)
		time.Sleep(100 * time.Millisecond)
		if got := third.keptTickets(); len(got) != 2 {
			t.Errorf("the third owner has %v", got)
		}
	})
}

// Guards against an answer that is lost because it reaches a frozen owner, or one whose VM is
// lost, before the next owner is known: its connection stays open, so the call does not end.
func TestAnswerForAFrozenOwnerReachesTheNextOne(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		c.takeOver("n0", 1)
		payload, err := (&api.AdviceCall{Step: "0000000000000001.0.0", Workers: []string{"w1"}, Epoch: 1}).MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		// The owner is frozen and does not read the answer.
		if _, err := c.nodes["n1"].Handlers()[api.MethodAdvise](t.Context(), payload); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond) // until the owner is replaced
		second := c.takeOver("n1", 2)
		time.Sleep(100 * time.Millisecond)
		if got := second.keptTickets(); len(got) != 1 {
			t.Errorf("the second owner has %v", got)
		}
	})
}

// pausedAdviser is an adviser whose answer is read late, since the process was paused.
type pausedAdviser struct {
	slowAdviser
	pause time.Duration
}

func (a pausedAdviser) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	answer, err := a.slowAdviser.Advise(ctx, call)
	time.Sleep(a.pause)
	return answer, err
}

// Guards against tickets that a process which was paused passes on after they have expired.
func TestPausedNodePassesNoExpiredTicketsOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(pausedAdviser{slowAdviser{time.Second}, 5 * time.Second})
		first := c.takeOver("n0", 1)
		go first.requestAdvice(longAdviceCall("w1", "w2"))
		time.Sleep(2 * time.Second)
		first.cancel(errTenureEnded)
		second := c.takeOver("n1", 2)
		first.relay.end(first)
		time.Sleep(5 * time.Second)
		if got := second.keptTickets(); len(got) > 0 {
			t.Errorf("the second owner has %v, which expired 3.5 s ago", got)
		}
	})
}

// Guards against a message of which all results are dropped because one of them can't be read.
func TestResultsBesideAMalformedOneAreUsed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		second := c.takeOver("n0", 2)
		message := oneResult(2)
		message.Results = append([]api.AdviceResult{{Step: "not a step", Workers: []string{"w2"}, ValidMs: 1000}}, message.Results...)
		if err := c.Call(t.Context(), "n0", api.MethodAdviceResults, message, &api.Empty{}); err != nil {
			t.Errorf("the message is rejected: %v", err)
		}
		if got := second.keptTickets(); len(got) != 1 {
			t.Errorf("the owner has %v", got)
		}
	})
}
