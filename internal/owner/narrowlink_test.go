package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// narrowLink transfers calls at a limited rate, as on a link of a node.
type narrowLink struct {
	wire.Caller
	bytesPerSecond float64
}

func (l narrowLink) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	transfer := time.Duration(float64(len(payload)) / l.bytesPerSecond * float64(time.Second))
	select {
	case <-time.After(transfer):
		return l.Caller.Call(ctx, address, method, in, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ticketedResults returns results with a ticket for each of the workers of a usual call.
func ticketedResults(count int, now time.Duration) []*adviceResult {
	var out []*adviceResult
	for n := range count {
		answer := &api.AdviceAnswer{ValidMs: 3000}
		for _, worker := range callWorkers() {
			answer.Tickets = append(answer.Tickets, api.WorkerTicket{Worker: worker, Ticket: fmt.Sprintf("%032x", n)})
		}
		out = append(out, newAdviceResult(work.StepID{Work: fmt.Sprintf("%016x", n)}, callWorkers(), answer, now))
	}
	return out
}

// Guards against results that no owner ever gets because all of them are in one message, which
// takes longer on a narrow link than a call may.
func TestManyResultsReachTheNextOwnerOverANarrowLink(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const bytesPerSecond = 10e6 / 8 / 2 // half of a link of 10 Mbit/s
		c := newCellOwners(slowAdviser{time.Second})
		c.nodes["n0"].options.Peers = narrowLink{c, bytesPerSecond}
		first := c.takeOver("n0", 1)
		first.keepResults(ticketedResults(maxResultsPassed, first.options.Clock.Boot())...)
		first.cancel(errTenureEnded)
		second := c.takeOver("n1", 2)
		first.relay.end(first)
		time.Sleep(passOnTimeout)
		if got := len(second.adviceResults.close(second.options.Clock.Boot())); got != maxResultsPassed {
			t.Errorf("the second owner has %d of %d results", got, maxResultsPassed)
		}
	})
}
