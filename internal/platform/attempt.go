package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Backoff of calls to a store that is unavailable.
const (
	minStoreBackoff = 20 * time.Millisecond
	maxStoreBackoff = time.Second
)

// Op is one operation on the table service.
//
// At least one row that it writes should be covered by a check. Only then is it
// known to take effect at most once: a duplicate that arrives late fails its
// check. An operation without such a row can end in ErrAmbiguous.
type Op struct {
	Checks []Check
	Writes []Write // plain values
	Stamp  string  // random and unique; made if empty
}

// CommitStamped commits op, retries while the store is unavailable, and settles
// ambiguous results by the stamps of the rows written, until ctx ends. The error
// is or wraps ErrConflict, ErrInvalid, or, when ctx ended, ErrUnavailable (not
// applied) or ErrAmbiguous.
//
// An operation whose rows were all overwritten by others before its result was
// settled is reported as ErrConflict. An operation that only deletes is settled
// by the absence of its rows and then returns version 0.
func CommitStamped(ctx context.Context, table Table, op Op) (int64, error) {
	return newAttempt(rawTable(table), op).run(ctx)
}

// attempt is the state of committing one operation.
type attempt struct {
	table             Table
	op                Op
	stored            []Write // op.Writes with stamped values
	giveUpUnavailable bool    // return ErrUnavailable at once

	ambiguous  bool // a call may have been applied or may still be
	unresolved bool // the rows must be read before the next call
	conflicted bool // the last call failed its checks
}

func newAttempt(table Table, op Op) *attempt {
	if op.Stamp == "" {
		op.Stamp = NewStamp()
	}
	return &attempt{table: table, op: op, stored: stampWrites(op)}
}

func stampWrites(op Op) []Write {
	stored := make([]Write, 0, len(op.Writes))
	for _, w := range op.Writes {
		if !w.Delete {
			w.Value = Encode(op.Stamp, w.Value)
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

// isFinal reports whether err is a result that the caller may get as it is.
func isFinal(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalid) ||
		errors.Is(err, ErrAmbiguous) || errors.Is(err, ErrUnavailable)
}

// timedOut returns the error when ctx ended before there was a result.
func (a *attempt) timedOut(cause error) error {
	if a.ambiguous {
		return joined(ErrAmbiguous, cause)
	}
	return joined(ErrUnavailable, cause)
}

// try settles an earlier call or does the next one. An error that is not
// permanent is retried.
func (a *attempt) try(ctx context.Context) (int64, error) {
	if a.unresolved {
		return a.settle(ctx)
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
		a.unresolved, a.conflicted = true, true // an earlier call may be the cause
		return a.settle(ctx)
	case errors.Is(err, ErrUnavailable):
		if a.giveUpUnavailable && !a.ambiguous {
			return 0, backoff.Permanent(err)
		}
		return 0, err
	case errors.Is(err, ErrInvalid):
		return 0, backoff.Permanent(err)
	}
	a.ambiguous, a.unresolved = true, true
	return 0, err
}

// settle reads the rows and then ends the attempt or repeats the call.
func (a *attempt) settle(ctx context.Context) (int64, error) {
	found, version, err := resolve(ctx, a.table, a.op)
	if err != nil {
		return 0, err
	}
	switch found {
	case applied:
		return version, nil
	case overwritten:
		return 0, backoff.Permanent(conflictOf(a.op))
	case undecided:
		return 0, backoff.Permanent(fmt.Errorf("%w: no row written has a check", ErrAmbiguous))
	}
	if a.conflicted {
		return 0, backoff.Permanent(conflictOf(a.op))
	}
	a.unresolved = false
	return a.commit(ctx)
}

func conflictOf(op Op) error {
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
