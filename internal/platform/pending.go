package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// opPhase is the phase of an operation of a GroupCommit.
type opPhase int

const (
	phaseWaiting   opPhase = iota // queued or between two transactions
	phaseInBatch                  // part of a running transaction
	phaseAlone                    // committed in its own transaction, under its own context
	phaseAbandoned                // its caller has returned
)

type commitResult struct {
	version int64
	err     error
}

// pendingOp is an operation of a GroupCommit. Its attempt is owned by the goroutine of
// the GroupCommit.
type pendingOp struct {
	*attempt
	ctx    context.Context
	queued time.Time
	bytes  int
	result chan commitResult // with room for one result

	mu           sync.Mutex
	phase        opPhase
	maybeApplied bool // an earlier transaction with this operation may have been applied
}

func newPendingOp(ctx context.Context, table Table, op Operation) *pendingOp {
	p := &pendingOp{
		attempt: newAttempt(table, op),
		ctx:     ctx,
		queued:  time.Now(),
		result:  make(chan commitResult, 1),
	}
	for _, c := range op.Checks {
		p.bytes += len(c.Key) + entryOverheadBytes
	}
	for _, w := range p.stored {
		p.bytes += len(w.Key) + len(w.Value) + entryOverheadBytes
	}
	return p
}

// enterPhase moves p to phase to. It returns false if the caller of p has returned.
func (p *pendingOp) enterPhase(to opPhase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == phaseAbandoned {
		return false
	}
	p.phase = to
	return true
}

// requeue makes p wait for the next transaction. maybeApplied tells whether the last
// transaction may have been applied.
func (p *pendingOp) requeue(maybeApplied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase != phaseAbandoned {
		p.phase = phaseWaiting
	}
	p.maybeApplied = p.maybeApplied || maybeApplied
}

// abandon is called when the context of p has ended. It returns the error for the
// caller, or nil if the caller must wait for the result, which follows soon.
func (p *pendingOp) abandon() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.phase == phaseAlone:
		return nil
	case p.phase == phaseInBatch || p.maybeApplied:
		p.phase = phaseAbandoned
		return fmt.Errorf("%w: %s", ErrAmbiguous, resultUnknownReason)
	}
	p.phase = phaseAbandoned
	return unavailableError(notSentReason)
}

func (p *pendingOp) finish(version int64, err error) { p.result <- commitResult{version, err} }

// abort ends p without a result when the GroupCommit is closed.
func (p *pendingOp) abort() {
	if p.ambiguous {
		p.finish(0, fmt.Errorf("%w: %s", ErrAmbiguous, closedReason))
		return
	}
	p.finish(0, unavailableError(closedReason))
}

func unavailableError(reason string) error { return fmt.Errorf("%w: %s", ErrUnavailable, reason) }

// isUnavailable reports whether err means that nothing was applied and a retry may
// succeed.
func isUnavailable(err error) bool { return errors.Is(err, ErrUnavailable) }
