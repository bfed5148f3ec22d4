package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// An advice call may last longer than a tenure, as when the nodes are stopped one after the
// other. Its result is of use to the cell, whoever owns it by then. So a call outlasts the
// owner that made it, and a node that holds a result passes it to the owners of higher epochs
// than the one that it was meant for, for passOnTimeout at most.
const (
	passOnTimeout     = 2 * time.Second        // for a next owner to become known and to receive the results
	passOnCallTimeout = 500 * time.Millisecond // for an owner to receive a message
	maxResultsPassed  = 256                    // results that are passed to an owner
	// maxMessageBytes limits a message unless it has one result only, so that the time for it
	// suffices on a narrow link that others use too.
	maxMessageBytes = 32 << 10
)

// adviceRelay takes results of advice calls to the owner of the cell.
type adviceRelay struct {
	options *Options
	unsent  *atomic.Int64 // see Owner.AwaitSent

	mu         sync.Mutex
	tenure     *tenure         // of this node, nil for none
	endedEpoch int             // of the last tenure of this node that has ended
	waiting    []*adviceResult // for the next tenure of this node, which has claimed the cell
}

// begin gives the results that wait for it to a tenure, and those that follow.
func (r *adviceRelay) begin(t *tenure) {
	r.mu.Lock()
	waiting := r.waiting
	r.tenure, r.waiting = t, nil
	r.mu.Unlock()
	t.receiveResults(validResults(waiting, r.options.Clock.Boot()))
}

// end passes the results of a tenure that has ended to the next owner.
func (r *adviceRelay) end(t *tenure) {
	r.mu.Lock()
	if r.tenure == t {
		r.tenure = nil
	}
	r.endedEpoch = max(r.endedEpoch, t.epoch)
	r.mu.Unlock()
	r.passOnFirst(t.adviceResults.close(r.options.Clock.Boot()), t.epoch)
}

// passOnFirst starts to pass on results that no other node has. They count as unsent until an owner
// has received them.
func (r *adviceRelay) passOnFirst(results []*adviceResult, epoch int) {
	r.unsent.Add(1)
	sent := sync.OnceFunc(func() { r.unsent.Add(-1) })
	go func() {
		defer sent()
		r.passOn(results, epoch, sent)
	}()
}

// deliver gives results to the tenure of this node, or keeps them for it if the node has claimed
// the cell. It reports false if this node does not own the cell.
func (r *adviceRelay) deliver(results []*adviceResult) bool {
	view, _ := r.options.View()
	r.mu.Lock()
	t := r.tenure
	claimed := view.Self && view.Epoch > r.endedEpoch
	if t == nil && claimed {
		waiting := append(validResults(r.waiting, r.options.Clock.Boot()), results...)
		r.waiting = latestResults(waiting)
	}
	r.mu.Unlock()
	if t != nil {
		t.receiveResults(results)
	}
	return t != nil || claimed
}

// accept takes results that another node passes on. If this node does not own the cell any
// more, it passes them to the next owner. A message is rejected if all of its results are
// malformed.
func (r *adviceRelay) accept(in *api.AdviceResults) error {
	now := r.options.Clock.Boot()
	results, err := decodeAdviceResults(in, now)
	if err != nil && len(results) == 0 {
		return err
	}
	if err != nil {
		event.AdviceMalformed.Log(r.options.Logger, "results", len(in.Results), "malformed", len(in.Results)-len(results), "epoch", in.Epoch, "err", err)
	}
	results = validResults(results, now)
	owner := r.deliver(results)
	event.AdviceReceived.Log(r.options.Logger, "results", len(results), "epoch", in.Epoch, "owner", owner)
	if !owner {
		go r.passOn(results, max(in.Epoch, r.lastEpoch()), nil)
	}
	return nil
}

// lastEpoch returns the epoch of the last tenure of this node that has ended.
func (r *adviceRelay) lastEpoch() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedEpoch
}

// passOn passes results to the owners of higher epochs, each as soon as it is known: the first
// one may be replaced before it uses them. If none is known in time, the next owner repeats the
// calls. It calls received, unless it is nil, after each owner that has received the results.
func (r *adviceRelay) passOn(results []*adviceResult, epoch int, received func()) {
	limit := min(passOnTimeout, validFor(results, r.options.Clock.Boot()))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for len(results) > 0 {
		next, ok := r.awaitOwner(ctx, epoch)
		if !ok {
			return
		}
		if r.passTo(ctx, next, results) && received != nil {
			received()
		}
		epoch = next.Epoch
		results = validResults(results, r.options.Clock.Boot())
	}
}

// passTo passes results to an owner, those first that are valid for longest. It reports whether
// the owner has received them all.
func (r *adviceRelay) passTo(ctx context.Context, owner election.View, results []*adviceResult) bool {
	if owner.Self {
		return r.deliver(results)
	}
	passed := 0
	rest := latestResults(results)
	for len(rest) > 0 {
		if r.replaced(owner) {
			return false
		}
		message := r.nextMessage(owner.Epoch, rest)
		if err := r.sendMessage(ctx, owner.Address, message); err != nil {
			event.AdviceNotPassedOn.Log(r.options.Logger, "to", owner.Address, "passed", passed, "left", len(rest), "err", err)
			return false
		}
		passed += len(message.Results)
		rest = validResults(rest[:len(rest)-len(message.Results)], r.options.Clock.Boot())
	}
	event.AdvicePassedOn.Log(r.options.Logger, "to", owner.Address, "epoch", owner.Epoch, "results", passed)
	return true
}

// nextMessage returns a message with the last ones of the results, at least one.
func (r *adviceRelay) nextMessage(epoch int, results []*adviceResult) *api.AdviceResults {
	message := &api.AdviceResults{Epoch: epoch}
	now := r.options.Clock.Boot()
	size := 0
	for _, result := range slices.Backward(results) {
		encoded := result.message(now)
		size += encoded.Msgsize()
		if size > maxMessageBytes && len(message.Results) > 0 {
			break
		}
		message.Results = append(message.Results, encoded)
	}
	slices.Reverse(message.Results)
	return message
}

func (r *adviceRelay) sendMessage(ctx context.Context, address string, message *api.AdviceResults) error {
	ctx, cancel := context.WithTimeout(ctx, passOnCallTimeout)
	defer cancel()
	return r.options.Peers.Call(ctx, address, api.MethodAdviceResults, message, &api.Empty{})
}

// replaced reports whether an owner of a higher epoch is known.
func (r *adviceRelay) replaced(owner election.View) bool {
	v, _ := r.options.View()
	return v.Epoch > owner.Epoch && v.Address != ""
}

// awaitOwner waits until an owner with a higher epoch is known.
func (r *adviceRelay) awaitOwner(ctx context.Context, epoch int) (election.View, bool) {
	for {
		v, changed := r.options.View()
		if v.Epoch > epoch && v.Address != "" {
			return v, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return election.View{}, false
		}
	}
}

// advise makes a call to the adviser for the owner of an epoch. The call goes on if that owner
// is lost, and its result goes to the next one too if there is one while the tickets are valid.
// An open connection does not show that the owner is alive: it may be frozen.
func (r *adviceRelay) advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	if call.Epoch == 0 {
		return r.options.Adviser.Advise(ctx, call)
	}
	step, err := work.ParseStepID(call.Step)
	if err != nil {
		return nil, err
	}
	began := r.options.Clock.Boot()
	limit := timeLeft(ctx)
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	answer, err := r.options.Adviser.Advise(detached, call)
	if err != nil {
		return nil, err
	}
	result := newAdviceResult(step, call.Workers, answer, r.options.Clock.Boot())
	if result.answeredAt-began > limit { // the process was paused, and the tickets may have expired
		return nil, context.DeadlineExceeded
	}
	go r.passOn([]*adviceResult{result}, call.Epoch, nil)
	return answer, nil
}

// maxAdviceTime bounds a call to the adviser without a deadline.
const maxAdviceTime = 10 * time.Second

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return maxAdviceTime
}

func (r *adviceRelay) handleAdvise(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.AdviceCall
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	answer, err := r.advise(ctx, &in)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (r *adviceRelay) handleResults(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.AdviceResults
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	return &api.Empty{}, r.accept(&in)
}
