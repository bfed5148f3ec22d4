package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// phase tells where an operation of a GroupCommit is.
type phase int

const (
	waiting   phase = iota // not under way; may be abandoned
	inBatch                // part of a transaction that is under way
	alone                  // committed by itself, under its own context
	abandoned              // its caller is gone
)

type result struct {
	version int64
	err     error
}

// pending is an operation of a GroupCommit. Its attempt belongs to the goroutine
// of the GroupCommit.
type pending struct {
	*attempt
	ctx    context.Context
	queued time.Time
	bytes  int
	done   chan result // holds one result

	mu        sync.Mutex
	phase     phase
	maybeDone bool // an earlier transaction with it may have been applied
}

func newPending(ctx context.Context, table Table, op Op) *pending {
	p := &pending{
		attempt: newAttempt(table, op),
		ctx:     ctx,
		queued:  time.Now(),
		done:    make(chan result, 1),
	}
	for _, c := range op.Checks {
		p.bytes += len(c.Key) + writeOverheadInBytes
	}
	for _, w := range p.stored {
		p.bytes += len(w.Key) + len(w.Value) + writeOverheadInBytes
	}
	return p
}

// begin moves p to phase to and reports false if its caller is gone.
func (p *pending) begin(to phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == abandoned {
		return false
	}
	p.phase = to
	return true
}

// pause makes p wait for the next transaction. maybeDone tells that the last one
// may have been applied.
func (p *pending) pause(maybeDone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase != abandoned {
		p.phase = waiting
	}
	p.maybeDone = p.maybeDone || maybeDone
}

// abandon is called when the context of p ended. It returns the error for the
// caller, or nil if the result comes soon.
func (p *pending) abandon() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.phase == alone:
		return nil
	case p.phase == inBatch || p.maybeDone:
		p.phase = abandoned
		return fmt.Errorf("%w: %s", ErrAmbiguous, resultUnknownReason)
	}
	p.phase = abandoned
	return unavailable(notSentReason)
}

func (p *pending) finish(version int64, err error) { p.done <- result{version, err} }

// giveUp ends p when the GroupCommit is stopped.
func (p *pending) giveUp() {
	if p.ambiguous {
		p.finish(0, fmt.Errorf("%w: %s", ErrAmbiguous, closedReason))
		return
	}
	p.finish(0, unavailable(closedReason))
}

func unavailable(reason string) error { return fmt.Errorf("%w: %s", ErrUnavailable, reason) }

// isUnavailable reports whether nothing was applied and a retry may succeed.
func isUnavailable(err error) bool { return errors.Is(err, ErrUnavailable) }
