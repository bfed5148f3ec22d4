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
// that do not change after the start.
type inFlightRequest struct {
	key        requestKey
	req        *api.ExecuteRequest
	queue      api.Queue
	bodyHash   string
	arrivalSeq uint64 // order of arrival

	arrived   time.Duration // boot time
	deadline  time.Duration // boot time
	state     requestState
	waiters   int
	heapIndex int // position in its deadlineHeap; -1 if not queued
	// mayHaveRun reports that an attempt ended with an outcome other than not
	// run.
	mayHaveRun bool

	abandoned atomic.Bool // no caller is waiting; any goroutine may read it

	result result
	done   chan struct{} // closed when result is set
}

// result is the response or error that the callers of a request get.
type result struct {
	resp *api.ExecuteResponse
	err  error
}

// resolve sets the result. Only the first invocation has an effect.
func (c *inFlightRequest) resolve(r result) {
	select {
	case <-c.done:
	default:
		c.result = r
		close(c.done)
	}
}

// replayed returns a copy of c with its result marked as replayed, for a caller
// that repeats the request while its record is being written.
func (c *inFlightRequest) replayed() *inFlightRequest {
	out := &inFlightRequest{key: c.key, state: stateRecording, result: c.result, done: c.done}
	if c.result.resp != nil {
		resp := *c.result.resp
		resp.Replayed = true
		out.result.resp = &resp
	}
	return out
}

// correctOutcome replaces an error that reports the request as not run if an
// earlier attempt may have run.
func (c *inFlightRequest) correctOutcome(r result) result {
	if r.err == nil || !c.mayHaveRun || errkind.From(r.err).Outcome() != errkind.NotRun {
		return r
	}
	return result{err: outcomeUnknownError(r.err, "an earlier attempt may have run")}
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
