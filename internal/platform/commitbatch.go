package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// commit commits operations that do not overlap, until each has a result or its
// caller is gone.
func (g *GroupCommit) commit(ops []*pending) {
	wait := newStoreBackoff()
	for {
		ops = begun(ops, inBatch)
		switch {
		case len(ops) == 0:
			return
		case g.ctx.Err() != nil:
			giveUpAll(ops)
			return
		}
		version, err := g.transaction(ops)
		switch {
		case err == nil:
			finishAll(ops, version)
			return
		case isUnavailable(err):
			pauseAll(ops, false)
			clock.Sleep(g.ctx, wait.NextBackOff())
		case errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalid):
			event.BatchConflict.Log(g.options.Logger, "operations", len(ops), "err", err)
			g.commitSingly(ops)
			return
		default:
			event.CommitAmbiguous.Log(g.options.Logger, "operations", len(ops), "err", err)
			if ops = g.settleBatch(ops); ops == nil {
				return
			}
		}
	}
}

// transaction commits all operations at once.
func (g *GroupCommit) transaction(ops []*pending) (int64, error) {
	checks, writes := merge(ops)
	start := time.Now()
	g.started = start
	version, err := g.table.Commit(g.ctx, checks, writes)
	g.options.Hook(len(ops), time.Since(start), err)
	g.noteAvailability(err)
	return version, err
}

// settleBatch finds out by the rows of one operation whether a transaction was
// applied. It returns the operations to commit again, or nil if all are settled.
func (g *GroupCommit) settleBatch(ops []*pending) []*pending {
	for _, p := range ops {
		p.ambiguous = true
	}
	wait := newStoreBackoff()
	for {
		found, version, err := g.witness(ops)
		switch {
		case err == nil && found == applied:
			finishAll(ops, version)
			return nil
		case err == nil && found == notApplied:
			pauseAll(ops, true)
			return ops
		case err == nil:
			for _, p := range ops {
				p.unresolved = true
			}
			g.commitSingly(ops)
			return nil
		}
		pauseAll(ops, true)
		clock.Sleep(g.ctx, wait.NextBackOff())
		ops = begun(ops, inBatch)
		if g.ctx.Err() != nil {
			giveUpAll(ops)
			return nil
		}
		if len(ops) == 0 {
			return nil
		}
	}
}

// witness reads the rows of one operation after the other until one tells
// whether the transaction that held all of them was applied.
func (g *GroupCommit) witness(ops []*pending) (resolution, int64, error) {
	for _, p := range ops {
		if puts, _ := splitWrites(p.op.Writes); len(puts) == 0 {
			continue // the absence of a row does not tell who deleted it
		}
		found, version, err := resolve(g.ctx, g.table, p.op)
		if err != nil || found == applied || found == notApplied {
			return found, version, err
		}
	}
	return undecided, 0, nil
}

// commitSingly commits each operation by itself, a few at once.
func (g *GroupCommit) commitSingly(ops []*pending) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxSingleCommits)
	for _, p := range begun(ops, alone) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			g.commitAlone(p)
		})
	}
	wg.Wait()
}

func (g *GroupCommit) commitAlone(p *pending) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	defer context.AfterFunc(g.ctx, cancel)()
	p.finish(p.run(ctx))
}

// noteAvailability logs the begin and the end of an outage.
func (g *GroupCommit) noteAvailability(err error) {
	down := isUnavailable(err)
	if down == g.down {
		return
	}
	g.down = down
	if down {
		event.StoreUnavailable.Log(g.options.Logger, "err", err)
		return
	}
	event.StoreAvailable.Log(g.options.Logger)
}

// begun moves operations to a phase and drops those whose callers are gone.
func begun(ops []*pending, to phase) []*pending {
	kept := make([]*pending, 0, len(ops))
	for _, p := range ops {
		if p.begin(to) {
			kept = append(kept, p)
		}
	}
	return kept
}

func pauseAll(ops []*pending, maybeDone bool) {
	for _, p := range ops {
		p.pause(maybeDone)
	}
}

func finishAll(ops []*pending, version int64) {
	for _, p := range ops {
		p.finish(version, nil)
	}
}

func giveUpAll(ops []*pending) {
	for _, p := range ops {
		p.giveUp()
	}
}
