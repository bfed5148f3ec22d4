package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Backoff between calls while the table service is unavailable.
const (
	minStoreBackoff = 20 * time.Millisecond
	maxStoreBackoff = time.Second
)

// Operation is one operation on the table service.
//
// At least one row that the operation writes should have a check. Only then does the
// operation take effect at most once: a delayed duplicate fails its check. An
// operation without such a row can end in ErrAmbiguous.
type Operation struct {
	Checks []Check
	Writes []Write // values without stamps
	Stamp  string  // random and unique; generated if empty
}

// CommitStamped commits op until ctx ends. It retries while the table service is
// unavailable and resolves ambiguous results by reading the stamps of the written
// rows. The error is or wraps ErrConflict, ErrInvalid, or, when ctx ended,
// ErrUnavailable (not applied) or ErrAmbiguous.
//
// If others overwrote all rows of the operation before its result was resolved, the
// error is ErrConflict. An operation that only deletes rows counts as applied, with
// version 0, if its rows are absent.
func CommitStamped(ctx context.Context, table Table, op Operation) (int64, error) {
	return newAttempt(rawTable(table), op).run(ctx)
}

// attempt commits one operation and keeps the state between its calls.
type attempt struct {
	table             Table
	op                Operation
	stored            []Write // op.Writes with stamped values
	failOnUnavailable bool    // return ErrUnavailable without a retry

	ambiguous  bool // a call may have been applied, or may still be applied
	unresolved bool // the rows must be read before the next commit
	conflicted bool // a check of the last commit failed
}

func newAttempt(table Table, op Operation) *attempt {
	if op.Stamp == "" {
		op.Stamp = NewStamp()
	}
	return &attempt{table: table, op: op, stored: stampWrites(op)}
}

func stampWrites(op Operation) []Write {
	stored := make([]Write, 0, len(op.Writes))
	for _, w := range op.Writes {
		if !w.Delete {
			w.Value = EncodeStamped(op.Stamp, w.Value)
		}
		stored = append(stored, w)
	}
	return stored
}

// run repeats try until the result is final or ctx ends.
func (a *attempt) run(ctx context.Context) (int64, error) {
	version, err := backoff.Retry(ctx, func() (int64, error) { return a.try(ctx) },
		backoff.WithBackOff(newStoreBackoff()), backoff.WithMaxElapsedTime(0))
	if err == nil || isFinal(err) {
		return version, err
	}
	return 0, a.timedOut(err)
}

// isFinal reports whether err is returned to the caller unchanged.
func isFinal(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalid) ||
		errors.Is(err, ErrAmbiguous) || errors.Is(err, ErrUnavailable)
}

// timedOut returns the error for a context that ended before the result was known.
func (a *attempt) timedOut(cause error) error {
	if a.ambiguous {
		return withCause(ErrAmbiguous, cause)
	}
	return withCause(ErrUnavailable, cause)
}

// try resolves the previous commit or sends the next one. An error that is not
// permanent is retried.
func (a *attempt) try(ctx context.Context) (int64, error) {
	if a.unresolved {
		return a.resolve(ctx)
	}
	return a.commit(ctx)
}

func (a *attempt) commit(ctx context.Context) (int64, error) {
	version, err := a.table.Commit(ctx, a.op.Checks, a.stored)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, ErrConflict):
		if !a.ambiguous {
			return 0, backoff.Permanent(err)
		}
		a.unresolved, a.conflicted = true, true // an earlier commit of this operation may be the cause
		return a.resolve(ctx)
	case errors.Is(err, ErrUnavailable):
		if a.failOnUnavailable && !a.ambiguous {
			return 0, backoff.Permanent(err)
		}
		return 0, err
	case errors.Is(err, ErrInvalid):
		return 0, backoff.Permanent(err)
	}
	a.ambiguous, a.unresolved = true, true
	return 0, err
}

// resolve reads the rows, and then either returns the result or commits again.
func (a *attempt) resolve(ctx context.Context) (int64, error) {
	found, version, err := resolveOutcome(ctx, a.table, a.op)
	if err != nil {
		return 0, err
	}
	switch found {
	case resolutionApplied:
		return version, nil
	case resolutionOverwritten:
		return 0, backoff.Permanent(conflictError(a.op))
	case resolutionUnknown:
		return 0, backoff.Permanent(fmt.Errorf("%w: none of the written rows has a check", ErrAmbiguous))
	}
	if a.conflicted {
		return 0, backoff.Permanent(conflictError(a.op))
	}
	a.unresolved = false
	return a.commit(ctx)
}

func conflictError(op Operation) error {
	if len(op.Writes) == 0 {
		return ErrConflict
	}
	return fmt.Errorf("%w: operation on row %q", ErrConflict, op.Writes[0].Key)
}

func newStoreBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minStoreBackoff
	b.MaxInterval = maxStoreBackoff
	return b
}
