package owner

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// At the end of a tenure its calls to the adviser go on. The next owner is told of them, so that it
// makes no calls that wait behind them, nor the same calls again.
const (
	passCallsRetryDelay = 50 * time.Millisecond // before the next try to tell an owner
	maxCallsPassed      = 256                   // calls in a message
)

// earlierCalls holds the calls of earlier owners that a tenure was told of.
type earlierCalls struct {
	mu   sync.Mutex
	list []cell.AdviceCallInFlight
}

func (e *earlierCalls) add(calls []cell.AdviceCallInFlight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, calls...)
}

func (e *earlierCalls) all() []cell.AdviceCallInFlight {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// receiveCalls gives the calls of earlier owners to the core.
func (t *tenure) receiveCalls(calls []cell.AdviceCallInFlight) {
	t.earlierCalls.add(calls)
	t.enqueue(func() { t.cell.AdviceCallsInherited(calls) })
}

// callsInFlight returns the long calls in flight of a tenure whose control goroutine has ended,
// those of earlier owners included.
func (t *tenure) callsInFlight() []cell.AdviceCallInFlight {
	if t.cell == nil { // the records were not loaded
		return t.earlierCalls.all()
	}
	return t.cell.AdviceCallsInFlight()
}

// startPassingCalls starts to tell the next owner which calls are in flight. They count as unsent
// until then.
func (r *adviceRelay) startPassingCalls(calls []cell.AdviceCallInFlight, epoch int) {
	r.unsent.Add(1)
	go func() {
		defer r.unsent.Add(-1)
		r.passCallsOn(calls, epoch)
	}()
}

// passCallsOn tells the next owner which calls are in flight. If it can't be told while they are,
// it repeats the calls.
func (r *adviceRelay) passCallsOn(calls []cell.AdviceCallInFlight, epoch int) {
	limit := min(passOnTimeout, longestLeft(calls, r.options.Clock.Boot()))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for len(calls) > 0 {
		next, ok := r.awaitOwner(ctx, epoch)
		if !ok || r.tellCalls(ctx, next, calls) == nil {
			return
		}
		if !clock.Sleep(ctx, passCallsRetryDelay) {
			return
		}
	}
}

// longestLeft returns the time until the last of the calls is expected to end.
func longestLeft(calls []cell.AdviceCallInFlight, now time.Duration) time.Duration {
	var longest time.Duration
	for _, call := range calls {
		longest = max(longest, call.Ends-now)
	}
	return longest
}

// tellCalls tells an owner which calls are in flight.
func (r *adviceRelay) tellCalls(ctx context.Context, owner election.View, calls []cell.AdviceCallInFlight) error {
	ctx, cancel := context.WithTimeout(ctx, passOnCallTimeout)
	defer cancel()
	message := &api.AdviceCallsInFlight{Epoch: owner.Epoch, Calls: []api.AdviceCallInFlight{}}
	now := r.options.Clock.Boot()
	for _, call := range calls[:min(len(calls), maxCallsPassed)] {
		if left := call.Ends - now; left > 0 {
			message.Calls = append(message.Calls, api.AdviceCallInFlight{
				Step: call.Step.String(), Workers: call.Workers, Node: call.Node, EndsInMs: int(left.Milliseconds()),
			})
		}
	}
	if owner.Self {
		return r.acceptCalls(message)
	}
	return r.options.Peers.Call(ctx, owner.Address, api.MethodAdviceCalls, message, &api.Empty{})
}

// acceptCalls takes the calls that an earlier owner has in flight. It fails while no tenure of this
// node of the epoch, or of a later one, has begun.
func (r *adviceRelay) acceptCalls(in *api.AdviceCallsInFlight) error {
	r.mu.Lock()
	t := r.tenure
	r.mu.Unlock()
	if t == nil || t.epoch < in.Epoch {
		return errkind.New(errkind.OwnerUnavailable, "", "the tenure of epoch %d has not begun", in.Epoch)
	}
	calls, err := decodeCalls(in, r.options.Clock.Boot())
	if err != nil && len(calls) == 0 {
		return err
	}
	event.AdviceCallsReceived.Log(r.options.Logger, "calls", len(calls), "malformed", len(in.Calls)-len(calls), "epoch", in.Epoch)
	t.receiveCalls(calls)
	return nil
}

// decodeCalls decodes the calls in a message that arrives now. It leaves out those that are
// malformed and returns the error of the last one.
func decodeCalls(in *api.AdviceCallsInFlight, now time.Duration) (calls []cell.AdviceCallInFlight, malformed error) {
	for _, call := range in.Calls {
		step, err := work.ParseStepID(call.Step)
		if err != nil {
			malformed = err
			continue
		}
		ends := now + min(time.Duration(call.EndsInMs)*time.Millisecond, maxAdviceTime)
		calls = append(calls, cell.AdviceCallInFlight{Step: step, Workers: call.Workers, Node: call.Node, Ends: ends})
	}
	return calls, malformed
}

func (r *adviceRelay) handleCalls(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.AdviceCallsInFlight
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	return &api.Empty{}, r.acceptCalls(&in)
}
