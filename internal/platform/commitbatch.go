package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// commit commits operations without overlapping rows, until each has a result or its
// caller has returned.
func (g *GroupCommit) commit(ops []*pendingOp) {
	retryBackoff := newStoreBackoff()
	conflicts := 0
	for {
		ops = enterPhaseAll(ops, phaseInBatch)
		switch {
		case len(ops) == 0:
			return
		case conflicts == maxBatchConflicts:
			g.commitEach(ops)
			return
		case g.ctx.Err() != nil:
			abortAll(ops)
			return
		}
		version, err := g.commitTransaction(ops)
		switch {
		case err == nil:
			finishAll(ops, version)
			return
		case isUnavailable(err):
			requeueAll(ops, false)
			clock.Sleep(g.ctx, retryBackoff.NextBackOff())
		case errors.Is(err, ErrConflict):
			event.BatchConflict.Log(g.options.Logger, "operations", len(ops), "err", err)
			conflicts++
			ops = g.finishConflicting(ops, err)
		case errors.Is(err, ErrInvalid):
			event.BatchInvalid.Log(g.options.Logger, "operations", len(ops), "err", err)
			g.commitEach(ops)
			return
		default:
			event.CommitAmbiguous.Log(g.options.Logger, "operations", len(ops), "err", err)
			if ops = g.resolveBatch(ops); ops == nil {
				return
			}
		}
	}
}

// finishConflicting ends the operations with the check that failed, and returns the others
// for the next transaction. It commits each operation alone if the error does not name the
// check, or if an earlier transaction with the operations may have been applied: then the
// check may have failed because of that transaction.
func (g *GroupCommit) finishConflicting(ops []*pendingOp, err error) []*pendingOp {
	var conflict *ConflictError
	if !errors.As(err, &conflict) || anyAmbiguous(ops) {
		g.commitEach(ops)
		return nil
	}
	failed, rest := splitByCheck(ops, conflict.Key)
	if len(failed) == 0 {
		g.commitEach(ops)
		return nil
	}
	for _, p := range failed {
		p.finish(0, err)
	}
	requeueAll(rest, false)
	return rest
}

func anyAmbiguous(ops []*pendingOp) bool {
	return slices.ContainsFunc(ops, func(p *pendingOp) bool { return p.ambiguous })
}

// splitByCheck separates the operations that check a row from the others.
func splitByCheck(ops []*pendingOp, key string) (checking, others []*pendingOp) {
	for _, p := range ops {
		if slices.ContainsFunc(p.op.Checks, func(c Check) bool { return c.Key == key }) {
			checking = append(checking, p)
		} else {
			others = append(others, p)
		}
	}
	return checking, others
}

// commitTransaction commits all operations in one transaction.
func (g *GroupCommit) commitTransaction(ops []*pendingOp) (int64, error) {
	checks, writes := merge(ops)
	start := time.Now()
	g.lastStarted = start
	version, err := g.table.Commit(g.ctx, checks, writes)
	g.options.Hook(len(ops), time.Since(start), err)
	g.updateAvailability(err)
	return version, err
}

// resolveBatch determines, from the rows of one operation, whether a transaction was
// applied. It returns the operations to commit again, or nil if there are none.
func (g *GroupCommit) resolveBatch(ops []*pendingOp) []*pendingOp {
	for _, p := range ops {
		p.ambiguous = true
	}
	retryBackoff := newStoreBackoff()
	for {
		found, version, err := g.resolveTransaction(ops)
		switch {
		case err == nil && found == resolutionApplied:
			finishAll(ops, version)
			return nil
		case err == nil && found == resolutionNotApplied:
			requeueAll(ops, true)
			return ops
		case err == nil:
			for _, p := range ops {
				p.unresolved = true
			}
			g.commitEach(ops)
			return nil
		}
		requeueAll(ops, true)
		clock.Sleep(g.ctx, retryBackoff.NextBackOff())
		ops = enterPhaseAll(ops, phaseInBatch)
		if g.ctx.Err() != nil {
			abortAll(ops)
			return nil
		}
		if len(ops) == 0 {
			return nil
		}
	}
}

// resolveTransaction reads the rows of the operations, one operation at a time, until
// they show whether the transaction that contained all of them was applied.
func (g *GroupCommit) resolveTransaction(ops []*pendingOp) (resolution, int64, error) {
	for _, p := range ops {
		if puts, _ := splitWrites(p.op.Writes); len(puts) == 0 {
			continue // an absent row does not show which operation deleted it
		}
		found, version, err := resolveOutcome(g.ctx, g.table, p.op)
		if err != nil || found == resolutionApplied || found == resolutionNotApplied {
			return found, version, err
		}
	}
	return resolutionUnknown, 0, nil
}

// commitEach commits each operation in its own transaction, up to maxSingleCommits
// at a time.
func (g *GroupCommit) commitEach(ops []*pendingOp) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxSingleCommits)
	for _, p := range enterPhaseAll(ops, phaseAlone) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			g.commitAlone(p)
		})
	}
	wg.Wait()
}

func (g *GroupCommit) commitAlone(p *pendingOp) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	defer context.AfterFunc(g.ctx, cancel)()
	p.finish(p.run(ctx))
}

// updateAvailability logs the start and the end of an outage.
func (g *GroupCommit) updateAvailability(err error) {
	down := isUnavailable(err)
	if down == g.unavailable {
		return
	}
	g.unavailable = down
	if down {
		event.StoreUnavailable.Log(g.options.Logger, "err", err)
		return
	}
	event.StoreAvailable.Log(g.options.Logger)
}

// enterPhaseAll moves operations to a phase and drops those whose callers have returned.
func enterPhaseAll(ops []*pendingOp, to opPhase) []*pendingOp {
	kept := make([]*pendingOp, 0, len(ops))
	for _, p := range ops {
		if p.enterPhase(to) {
			kept = append(kept, p)
		}
	}
	return kept
}

func requeueAll(ops []*pendingOp, maybeApplied bool) {
	for _, p := range ops {
		p.requeue(maybeApplied)
	}
}

func finishAll(ops []*pendingOp, version int64) {
	for _, p := range ops {
		p.finish(version, nil)
	}
}

func abortAll(ops []*pendingOp) {
	for _, p := range ops {
		p.abort()
	}
}
