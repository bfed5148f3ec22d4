package requests

import (
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// requestKey identifies a request within a cell.
type requestKey struct{ team, id string }

// requestState is the stage of a request in flight.
type requestState int

const (
	stateQueued    requestState = iota // waiting for a slot
	stateRunning                       // assigned to an executor; no result yet
	stateRecording                     // has a result; its record is still being written
	stateRemoved                       // no longer tracked by the control goroutine
)

// inFlightRequest is an accepted request without a final result. All callers
// with the same request ID share it. Except for done and abandoned, the control
// goroutine owns it; the goroutine that executes the request reads only fields
// that do not change after the start, and callers read result once done is closed.
type inFlightRequest struct {
	key        requestKey
	req        *api.ExecuteRequest
	queue      api.Queue
	bodyHash   string
	arrivalSeq uint64 // order of arrival

	arrived   time.Duration // boot time
	deadline  time.Duration // boot time
	state     requestState
	waiters   int // callers that wait for the result
	heapIndex int // position in its deadlineHeap; -1 if not queued
	// mayHaveRun reports that an attempt ended with an outcome other than not
	// run.
	mayHaveRun bool
	repeated   bool // the request came before, so it may have a record

	abandoned atomic.Bool // no caller is waiting; any goroutine may read it

	result result
	done   chan struct{} // closed when result is set
}

// result is the response or error that the callers of a request get.
type result struct {
	resp *api.ExecuteResponse
	err  error
}

// resolve sets the result. Only the first call has an effect.
func (r *inFlightRequest) resolve(res result) {
	select {
	case <-r.done:
	default:
		r.result = res
		close(r.done)
	}
}

// replayed returns a copy of r with its result marked as replayed, for a caller
// that repeats the request while its record is being written.
func (r *inFlightRequest) replayed() *inFlightRequest {
	out := &inFlightRequest{key: r.key, state: stateRecording, result: r.result, done: r.done}
	if r.result.resp != nil {
		resp := *r.result.resp
		resp.Replayed = true
		out.result.resp = &resp
	}
	return out
}

// correctOutcome replaces an error that reports the request as not run if an
// earlier attempt may have run.
func (r *inFlightRequest) correctOutcome(res result) result {
	if res.err == nil || !r.mayHaveRun || errkind.From(res.err).Outcome() != errkind.NotRun {
		return res
	}
	return result{err: outcomeUnknownError(res.err, "an earlier attempt may have run")}
}

// deadlineError returns the error for a request that was not started before its
// deadline.
func deadlineError() error {
	return errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline passed before the request was started")
}

// canceledError returns the error for a request that was canceled before its
// start.
func canceledError(reason string) error {
	return errkind.New(errkind.Canceled, "", "%s", reason)
}

// outcomeUnknownError returns the error for a request that may have run.
func outcomeUnknownError(cause error, reason string) error {
	if cause == nil {
		return errkind.New(errkind.OutcomeUnknown, "", "%s", reason)
	}
	return errkind.Wrap(cause, errkind.OutcomeUnknown, "", "%s", reason)
}
