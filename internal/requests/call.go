package requests

import (
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// callKey names a request within a cell.
type callKey struct{ team, id string }

// callState is the stage of a call.
type callState int

const (
	stateQueued   callState = iota // waits for a slot
	stateRunning                   // has or had a slot, no result yet
	stateSettling                  // has a result whose record is still being written
	stateOver                      // forgotten by the control goroutine
)

// call is one request in flight. All callers with the same ID share it. Except
// for done, it belongs to the control goroutine; the goroutine that executes it
// reads only the fields that do not change after it was started.
type call struct {
	key   callKey
	req   *api.ExecuteRequest
	queue api.Queue
	hash  string
	seq   uint64 // order of arrival

	arrived  time.Duration // boot time
	deadline time.Duration // boot time
	state    callState
	waiters  int
	index    int // position in its heap; -1 outside
	// mayHaveRun is whether an attempt ended with an outcome other than not run.
	mayHaveRun bool

	abandoned atomic.Bool // no caller waits any more; may be read by any goroutine

	result result
	done   chan struct{} // closed when result is set
}

// result is what the callers of a call get.
type result struct {
	resp *api.ExecuteResponse
	err  error
}

// resolve sets the result. Only the first call has an effect.
func (c *call) resolve(r result) {
	select {
	case <-c.done:
	default:
		c.result = r
		close(c.done)
	}
}

// replayed returns a call with the result of c for a caller that repeats the
// request while its record is being written.
func (c *call) replayed() *call {
	out := &call{key: c.key, state: stateSettling, result: c.result, done: c.done}
	if c.result.resp != nil {
		resp := *c.result.resp
		resp.Replayed = true
		out.result.resp = &resp
	}
	return out
}

// truthful replaces an error that says that the call was not run if an earlier
// attempt may have run.
func (c *call) truthful(r result) result {
	if r.err == nil || !c.mayHaveRun || errkind.From(r.err).Outcome() != errkind.NotRun {
		return r
	}
	return result{err: unknown(r.err, "an earlier attempt may have run")}
}

// expired returns the error for a call that was not started in time.
func expired() error {
	return errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline passed before the request was started")
}

// canceled returns the error for a call that was not started.
func canceled(reason string) error {
	return errkind.New(errkind.Canceled, "", "%s", reason)
}

// unknown returns the error for a call that may have run.
func unknown(cause error, reason string) error {
	if cause == nil {
		return errkind.New(errkind.OutcomeUnknown, "", "%s", reason)
	}
	return errkind.Wrap(cause, errkind.OutcomeUnknown, "", "%s", reason)
}
