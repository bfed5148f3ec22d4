package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// oneResult returns a message with one result that is valid for a second.
func oneResult(epoch int) *api.AdviceResults {
	return &api.AdviceResults{Epoch: epoch, Results: []api.AdviceResult{
		{Step: "0000000000000001.0.0", Workers: []string{"w1"}, Tickets: []api.WorkerTicket{{Worker: "w1", Ticket: "ticket"}}, ValidMs: 1000},
	}}
}

// Guards against results that stay at a node whose tenure has ended, because it still knows
// itself as the owner until its last calls have ended.
func TestResultsThatArriveAfterTheTenureAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		c.takeOver("n1", 2).end()
		if err := c.Call(t.Context(), "n1", api.MethodAdviceResults, oneResult(2), &api.Empty{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(150 * time.Millisecond)
		third := c.takeOver("n0", 3)
		time.Sleep(100 * time.Millisecond)
		if got := third.inherited(); len(got) != 1 {
			t.Errorf("the third owner has %v", got)
		}
	})
}

// Guards against an answer that is lost because it reaches a frozen owner, or one whose VM is
// lost, before the next owner is known: its connection stays open, so the call does not end.
func TestAnswerForAFrozenOwnerReachesTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		if got := second.inherited(); len(got) != 1 {
			t.Errorf("the second owner has %v", got)
		}
	})
}
