package membership_test

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/platform"
)

// simRand is a seeded random source for concurrent use.
type simRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (s *simRand) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Intn(n)
}

func (s *simRand) duration(limit time.Duration) time.Duration {
	return time.Duration(s.intn(int(limit)))
}

// oneIn reports true once in n times on average.
func (s *simRand) oneIn(n int) bool { return s.intn(n) == 0 }

// simTable is the connection of one node to the shared table, with faults: the
// connection may be cut, answers may be lost, writes may be applied late, and a paused
// node neither sends nor receives.
type simTable struct {
	node   *simNode
	shared platform.Table
}

func (t *simTable) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = t.read(ctx, func() error { row, err = t.shared.Get(context.Background(), key); return err })
	return row, err
}

func (t *simTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = t.read(ctx, func() error {
		rows, err = t.shared.Scan(context.Background(), prefix, after, limit)
		return err
	})
	return rows, err
}

func (t *simTable) read(ctx context.Context, do func() error) error {
	if err := t.transit(ctx); err != nil {
		return platform.ErrUnavailable
	}
	if err := do(); err != nil {
		return err
	}
	if err := t.transit(ctx); err != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (t *simTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) (int64, error) {
	s := t.node.sim
	if err := t.transit(ctx); err != nil {
		if ctx.Err() == nil && s.rand.oneIn(2) {
			return 0, platform.ErrUnavailable
		}
		return 0, platform.ErrAmbiguous // the caller does not know whether the commit was applied
	}
	if s.loseAnswers.Load() && s.rand.oneIn(6) {
		go func() {
			time.Sleep(s.rand.duration(8 * time.Second))
			_, _ = t.shared.Commit(context.Background(), checks, writes)
		}()
		return 0, platform.ErrAmbiguous
	}
	version, err := t.shared.Commit(context.Background(), checks, writes)
	if s.loseAnswers.Load() && s.rand.oneIn(6) {
		return 0, platform.ErrAmbiguous
	}
	if t.transit(ctx) != nil {
		return 0, platform.ErrAmbiguous
	}
	return version, err
}

// transit waits for the one-way delay and fails if the connection is cut.
func (t *simTable) transit(ctx context.Context) error {
	n := t.node
	n.waitWhilePaused()
	if err := wait(ctx, n.sim.rand.duration(5*time.Millisecond)); err != nil {
		return err
	}
	if n.dead.Load() || n.storeCut.Load() || n.sim.outage.Load() {
		if n.sim.rand.oneIn(2) {
			<-ctx.Done()
		}
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
