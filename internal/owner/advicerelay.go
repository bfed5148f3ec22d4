package owner

import (
	"context"
	"sync"
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
// owner that made it, and each node that holds a result which it can't use passes it to the
// owner of a higher epoch than the last one that it was meant for.
const (
	passOnTimeout    = 2 * time.Second // for the next owner to become known and to receive the results
	maxResultsPassed = 256             // results in a message
)

// adviceRelay takes results of advice calls to the owner of the cell.
type adviceRelay struct {
	options *Options

	mu      sync.Mutex
	tenure  *tenure         // of this node, nil for none
	waiting []*adviceResult // for the next tenure of this node, which has claimed the cell
}

// begin gives the results that wait for it to a tenure, and those that follow.
func (r *adviceRelay) begin(t *tenure) {
	r.mu.Lock()
	waiting := r.waiting
	r.tenure, r.waiting = t, nil
	r.mu.Unlock()
	now := r.options.Clock.Boot()
	t.receiveResults(validResults(waiting, now))
}

// end passes the results of a tenure that has ended to the next owner.
func (r *adviceRelay) end(t *tenure) {
	r.mu.Lock()
	r.tenure = nil
	r.mu.Unlock()
	r.passOn(t.adviceResults.close(r.options.Clock.Boot()), t.epoch)
}

// currentTenure returns the tenure of this node, nil for none.
func (r *adviceRelay) currentTenure() *tenure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenure
}

// deliver gives results to the tenure of this node, which owns the cell or has claimed it.
func (r *adviceRelay) deliver(results []*adviceResult) {
	r.mu.Lock()
	t := r.tenure
	if t == nil {
		r.waiting = append(r.waiting, results...)
	}
	r.mu.Unlock()
	if t != nil {
		t.receiveResults(results)
	}
}

// accept takes results that another node passes on. If this node does not own the cell any
// more, it passes them to the next owner.
func (r *adviceRelay) accept(in *api.AdviceResults) error {
	results, err := decodeAdviceResults(in, r.options.Clock.Boot())
	if err != nil {
		return err
	}
	view, _ := r.options.View()
	owner := view.Self || r.currentTenure() != nil
	event.AdviceReceived.Log(r.options.Logger, "results", len(results), "epoch", in.Epoch, "owner", owner)
	if owner {
		r.deliver(results)
		return nil
	}
	go r.passOn(results, in.Epoch)
	return nil
}

// passOn passes results to the owner of a higher epoch once it is known. If that fails, that
// owner repeats the calls.
func (r *adviceRelay) passOn(results []*adviceResult, epoch int) {
	if len(results) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), passOnTimeout)
	defer cancel()
	next, ok := r.awaitOwner(ctx, epoch)
	if !ok {
		return
	}
	if next.Self {
		r.deliver(results)
		return
	}
	message := &api.AdviceResults{Epoch: next.Epoch}
	now := r.options.Clock.Boot()
	for _, result := range results[max(0, len(results)-maxResultsPassed):] {
		message.Results = append(message.Results, result.message(now))
	}
	if err := r.options.Peers.Call(ctx, next.Address, api.MethodAdviceResults, message, &api.Empty{}); err != nil {
		event.AdviceNotPassedOn.Log(r.options.Logger, "to", next.Address, "err", err)
		return
	}
	event.AdvicePassedOn.Log(r.options.Logger, "to", next.Address, "epoch", next.Epoch, "results", len(message.Results))
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
// is lost; its result is then passed to the next one.
func (r *adviceRelay) advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	if call.Epoch == 0 {
		return r.options.Adviser.Advise(ctx, call)
	}
	step, err := work.ParseStepID(call.Step)
	if err != nil {
		return nil, err
	}
	detached, cancel := withoutCancel(ctx)
	defer cancel()
	answer, err := r.options.Adviser.Advise(detached, call)
	if err != nil {
		return nil, err
	}
	if view, _ := r.options.View(); ctx.Err() != nil || view.Epoch > call.Epoch {
		r.passOn([]*adviceResult{newAdviceResult(step, call.Workers, answer, r.options.Clock.Boot())}, call.Epoch)
	}
	return answer, nil
}

// withoutCancel returns a context with the deadline of ctx that is not canceled with it.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
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
