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
	// recordTimeout limits one attempt to write a record. The request holds a
	// slot while its intent is written.
	recordTimeout = time.Second
	// recordRetryInitial, recordRetryMax and recordRetryTime are the first and
	// the longest backoff and the total time of the attempts to write a record
	// while the table service is down.
	recordRetryInitial = 100 * time.Millisecond
	recordRetryMax     = 5 * time.Second
	recordRetryTime    = 5 * time.Minute
)

// executeOnce runs a non-idempotent request: it records the intent, sends the
// request at most once and records the result.
func (p *Partition) executeOnce(a *attempt) {
	ctx, cancel := p.attemptContext(a)
	defer cancel()
	rec, existing, err := p.writeIntent(ctx, a)
	p.send(intentResultMessage{request: a.request, failed: tableFailed(err)})
	if existing != nil {
		p.send(attemptEndedMessage{attempt: a})
		p.send(resultMessage{attempt: a, result: p.replay(ctx, a, existing)})
		return
	}
	if err != nil {
		p.intentFailed(a, rec, err)
		return
	}
	if err := p.checkBeforeSend(a); err != nil {
		p.send(attemptEndedMessage{attempt: a})
		p.resolveAndRecord(a, rec, result{err: err})
		return
	}
	answer, err := p.deliver(ctx, a)
	p.send(attemptEndedMessage{attempt: a, sent: true, err: err, status: statusOf(answer)})
	p.resolveAndRecord(a, rec, p.sentResult(a, answer, err))
}

func (p *Partition) writeIntent(ctx context.Context, a *attempt) (record, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return p.records.writeIntent(ctx, a)
}

// intentFailed ends an attempt whose intent was not recorded. Nothing was sent.
func (p *Partition) intentFailed(a *attempt, rec record, err error) {
	p.send(attemptEndedMessage{attempt: a})
	if errors.Is(err, errSuperseded) {
		p.send(supersededMessage{a.lease.Epoch})
		p.send(resultMessage{attempt: a, result: result{err: errkind.Wrap(err, errkind.Fenced, "partition", "partition %q has a newer owner", a.lease.Partition)}})
		return
	}
	res := result{err: errkind.Wrap(err, errkind.StoreUnavailable, "", "the request could not be recorded")}
	if !errors.Is(err, platform.ErrAmbiguous) {
		p.send(resultMessage{attempt: a, result: res})
		return
	}
	// The intent may have been stored and must be overwritten.
	p.resolveBeforeRecording(a, &resultWrite{intent: rec, row: p.records.resultRow(p.ioContext, rec, res)}, res)
}

// tableFailed reports whether a write failed because of the table service.
func tableFailed(err error) bool {
	return err != nil && !errors.Is(err, errSuperseded)
}

// checkBeforeSend checks again the deadline, the callers and the leadership,
// which may have changed while the intent was written.
func (p *Partition) checkBeforeSend(a *attempt) error {
	if a.deadline <= p.options.Clock.Boot() {
		return deadlineError()
	}
	if a.request.abandoned.Load() {
		return canceledError("the caller went away before the request was started")
	}
	if err := p.options.CheckLead(); err != nil {
		return errkind.Wrap(err, errkind.OwnerUnavailable, "partition", "the owner of partition %q may not place work", a.lease.Partition)
	}
	return nil
}

// sentResult returns the result of a request that was sent. The outcome is
// unknown unless the request certainly did not run.
func (p *Partition) sentResult(a *attempt, answer *api.ExecutorAnswer, err error) result {
	if err == nil {
		return a.result(answer, nil)
	}
	if errkind.From(err).Outcome() == errkind.NotRun {
		return a.result(nil, err)
	}
	event.RequestUnknown.Log(p.options.Logger, "team", a.request.key.team, "request_id", a.request.key.id, "vm", a.vm.Id, "err", err)
	return result{err: outcomeUnknownError(err, "the upstream gave no complete answer")}
}

// replay answers a repeated request from its record. An intent of an earlier
// owner of the partition will get no result any more, so it is recorded as
// unknown.
func (p *Partition) replay(ctx context.Context, a *attempt, existing *record) result {
	res := p.records.storedResult(ctx, a.request.bodyHash, existing)
	row := existing.row
	if row.State != api.RequestStateIntent || row.Partition != a.lease.Partition || row.Epoch >= a.lease.Epoch {
		return res
	}
	row.State = api.RequestStateUnknown
	row.Reason = "an earlier owner sent the request and its answer is not recorded"
	row.Stamp = platform.NewStamp()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	// If the write fails, the answer is the same and the next repetition writes the row.
	_, _ = p.records.put(ctx, a.lease, &row, existing.version)
	return res
}

// resolveAndRecord passes the result of a request to its callers and records
// it. A response is passed on first: a caller that has the response needs no
// record of it, and until the record is written a repetition gets the same
// response. An error is recorded first; otherwise, a repetition after "not run"
// could find the intent and be treated as a request that may have run.
func (p *Partition) resolveAndRecord(a *attempt, rec record, res result) {
	if res.err == nil {
		p.send(resultMessage{attempt: a, result: res, sent: true, recording: true})
		defer p.send(recordDoneMessage{a.request})
		ctx, cancel := context.WithTimeout(p.ioContext, recordTimeout)
		defer cancel()
		p.writeRecordWithRetry(a, &resultWrite{intent: rec, row: p.records.resultRow(ctx, rec, res)})
		return
	}
	ctx, cancel := context.WithTimeout(p.ioContext, recordTimeout)
	defer cancel()
	w := &resultWrite{intent: rec, row: p.records.resultRow(ctx, rec, res)}
	err := p.records.writeResult(ctx, a.lease, w)
	if writeIsFinal(err) {
		p.handleFinalWrite(a, err)
		p.send(resultMessage{attempt: a, result: res, sent: true})
		return
	}
	event.RecordWriteRetried.Log(p.options.Logger, "team", w.row.Team, "request_id", w.row.RequestId, "err", err)
	p.resolveBeforeRecording(a, w, res)
}

// writeIsFinal reports whether a record write that returned err need not be
// repeated: it succeeded, or no repetition can succeed.
func writeIsFinal(err error) bool {
	return err == nil || errors.Is(err, errSuperseded) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrInvalid)
}

// handleFinalWrite handles the result of a write that is not repeated. A conflict
// needs no action, because others have changed the record.
func (p *Partition) handleFinalWrite(a *attempt, err error) {
	if errors.Is(err, errSuperseded) {
		p.send(supersededMessage{a.lease.Epoch})
	}
	if errors.Is(err, platform.ErrInvalid) {
		p.logRecordAbandoned(a, err)
	}
}

func (p *Partition) logRecordAbandoned(a *attempt, err error) {
	event.RecordAbandoned.Log(p.options.Logger, "team", a.request.key.team, "request_id", a.request.key.id, "err", err)
}

// resolveBeforeRecording passes the result to the callers and then writes the record
// with retries. The request stays in flight until the write ends, so that a
// repetition gets the same result.
func (p *Partition) resolveBeforeRecording(a *attempt, w *resultWrite, res result) {
	p.send(resultMessage{attempt: a, result: res, sent: true, recording: true})
	defer p.send(recordDoneMessage{a.request})
	p.writeRecordWithRetry(a, w)
}

// writeRecordWithRetry writes a record until the write is final or
// recordRetryTime has passed.
func (p *Partition) writeRecordWithRetry(a *attempt, w *resultWrite) {
	delay := newBackOff(recordRetryInitial, recordRetryMax)
	operation := func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(p.ioContext, recordTimeout)
		defer cancel()
		err := p.records.writeResult(ctx, a.lease, w)
		if writeIsFinal(err) {
			p.handleFinalWrite(a, err)
			return struct{}{}, nil
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(p.ioContext, operation, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(recordRetryTime))
	if err != nil {
		p.logRecordAbandoned(a, err)
	}
}
