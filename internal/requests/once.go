package requests

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	// recordTimeout bounds one attempt to write a record. A slot is held while the
	// intent is written.
	recordTimeout = time.Second
	// settleInitial, settleMax and settleTime pace the writing of a record while
	// the table service is down.
	settleInitial = 100 * time.Millisecond
	settleMax     = 5 * time.Second
	settleTime    = 5 * time.Minute
)

// executeOnce runs a non-idempotent call: it records the intent, sends the call
// at most once and records the end.
func (p *Partition) executeOnce(r *run) {
	ctx, cancel := p.runContext(r)
	defer cancel()
	rec, prior, err := p.begin(ctx, r)
	p.send(storeMessage{call: r.call, failed: storeFailed(err)})
	if prior != nil {
		p.send(returnedMessage{run: r})
		p.send(resolvedMessage{run: r, result: p.replay(ctx, r, prior)})
		return
	}
	if err != nil {
		p.beginFailed(r, rec, err)
		return
	}
	if err := p.mayStillSend(r); err != nil {
		p.send(returnedMessage{run: r})
		p.conclude(r, rec, result{err: err})
		return
	}
	answer, err := p.deliver(ctx, r)
	p.send(returnedMessage{run: r, sent: true, err: err, code: statusOf(answer)})
	p.conclude(r, rec, p.onceResult(r, answer, err))
}

func (p *Partition) begin(ctx context.Context, r *run) (record, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return p.records.begin(ctx, r)
}

// beginFailed ends a run whose intent was not recorded. Nothing was sent.
func (p *Partition) beginFailed(r *run, rec record, err error) {
	p.send(returnedMessage{run: r})
	if errors.Is(err, errLost) {
		p.send(lostMessage{r.lease.Epoch})
		p.send(resolvedMessage{run: r, result: result{err: errkind.Wrap(err, errkind.Fenced, "partition", "partition %q has a newer owner", r.lease.Partition)}})
		return
	}
	res := result{err: errkind.Wrap(err, errkind.StoreUnavailable, "", "the request could not be recorded")}
	if !errors.Is(err, platform.ErrAmbiguous) {
		p.send(resolvedMessage{run: r, result: res})
		return
	}
	// The intent may be there and must not stay.
	p.settle(r, rec, res, p.records.end(p.background, rec, res))
}

// storeFailed reports whether a write failed because of the table service.
func storeFailed(err error) bool {
	return err != nil && !errors.Is(err, errLost)
}

// mayStillSend checks again what may have changed while the intent was written.
func (p *Partition) mayStillSend(r *run) error {
	if r.deadline <= p.options.Clock.Boot() {
		return expired()
	}
	if r.call.abandoned.Load() {
		return canceled("the caller went away before the request was started")
	}
	if err := p.options.Lead(); err != nil {
		return errkind.Wrap(err, errkind.OwnerUnavailable, "partition", "the owner of partition %q may not place work", r.lease.Partition)
	}
	return nil
}

// onceResult returns the result of a call that was sent. Whatever is not
// certainly not run is unknown.
func (p *Partition) onceResult(r *run, answer *api.ExecutorAnswer, err error) result {
	if err == nil {
		return r.result(answer, nil)
	}
	if errkind.From(err).Outcome() == errkind.NotRun {
		return r.result(nil, err)
	}
	event.RequestUnknown.Log(p.options.Logger, "team", r.call.key.team, "request_id", r.call.key.id, "vm", r.vm.Id, "err", err)
	return result{err: unknown(err, "the upstream gave no complete answer")}
}

// replay answers from a record. An intent of an earlier owner of the partition
// will not be completed any more, so it is recorded as unknown.
func (p *Partition) replay(ctx context.Context, r *run, prior *record) result {
	res := p.records.replay(ctx, r.call.hash, prior)
	row := prior.row
	if row.State != api.RequestStateIntent || row.Partition != r.lease.Partition || row.Epoch >= r.lease.Epoch {
		return res
	}
	row.State = api.RequestStateUnknown
	row.Reason = "an earlier owner sent the request and its answer is not recorded"
	row.Stamp = platform.NewStamp()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	// The answer is the same if this fails; the next repetition writes it again.
	_, _ = p.records.put(ctx, r.lease, &row, prior.version)
	return res
}

// conclude gives the callers the result of a call that was sent and records it.
// An answer is given first: the caller needs no record of an answer that it has,
// and until the record is written a repetition gets the same answer. An error is
// recorded first, so that a repetition after "not run" is not taken for one of a
// call that may have run.
func (p *Partition) conclude(r *run, rec record, res result) {
	if res.err == nil {
		p.send(resolvedMessage{run: r, result: res, sent: true, settling: true})
		defer p.send(settledMessage{r.call})
		ctx, cancel := context.WithTimeout(p.background, recordTimeout)
		defer cancel()
		p.persist(r, rec, p.records.end(ctx, rec, res))
		return
	}
	ctx, cancel := context.WithTimeout(p.background, recordTimeout)
	defer cancel()
	row := p.records.end(ctx, rec, res)
	err := p.records.finish(ctx, r.lease, rec, row)
	if settled(err) {
		p.concluded(r, err)
		p.send(resolvedMessage{run: r, result: res, sent: true})
		return
	}
	event.RecordPending.Log(p.options.Logger, "team", row.Team, "request_id", row.RequestId, "err", err)
	p.settle(r, rec, res, row)
}

// settled reports whether another attempt to write a record is pointless.
func settled(err error) bool {
	return err == nil || errors.Is(err, errLost) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrInvalid)
}

func (p *Partition) concluded(r *run, err error) {
	if errors.Is(err, errLost) {
		p.send(lostMessage{r.lease.Epoch})
	}
	if errors.Is(err, platform.ErrInvalid) {
		p.givenUp(r, err)
	}
}

func (p *Partition) givenUp(r *run, err error) {
	event.RecordGivenUp.Log(p.options.Logger, "team", r.call.key.team, "request_id", r.call.key.id, "err", err)
}

// settle gives the callers the result and writes the record until that succeeds
// or is given up. The call stays in flight until then, so a repetition gets the
// same result.
func (p *Partition) settle(r *run, rec record, res result, row api.RequestRow) {
	p.send(resolvedMessage{run: r, result: res, sent: true, settling: true})
	defer p.send(settledMessage{r.call})
	p.persist(r, rec, row)
}

// persist writes a record until that succeeds or is given up.
func (p *Partition) persist(r *run, rec record, row api.RequestRow) {
	delay := newBackOff(settleInitial, settleMax)
	operation := func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(p.background, recordTimeout)
		defer cancel()
		err := p.records.finish(ctx, r.lease, rec, row)
		if settled(err) {
			p.concluded(r, err)
			return struct{}{}, nil
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(p.background, operation, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(settleTime))
	if err != nil {
		p.givenUp(r, err)
	}
}
