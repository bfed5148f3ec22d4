package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

// commitAll commits ops concurrently and returns their errors.
func commitAll(ctx context.Context, b platform.Batcher, ops []platform.Operation) []error {
	errs := make([]error, len(ops))
	var wg sync.WaitGroup
	for i, op := range ops {
		wg.Go(func() { _, errs[i] = b.Commit(ctx, op.Checks, op.Writes) })
	}
	wg.Wait()
	return errs
}

func inserts(n int) []platform.Operation {
	ops := make([]platform.Operation, n)
	for i := range ops {
		key := "k" + strconv.Itoa(i)
		ops[i] = platform.Operation{Checks: absent(key), Writes: put(key, "v")}
	}
	return ops
}

func newGroup(t *testing.T, raw platform.Table, o platform.GroupOptions) *platform.GroupCommit {
	t.Helper()
	g := platform.NewGroupCommit(raw, o)
	t.Cleanup(func() { g.Close(context.Background()) })
	return g
}

// Operations must share transactions, and a conflict of one operation, a lost response or
// an outage must not fail the other operations of the batch.
func TestGroupCommit(t *testing.T) {
	tests := []struct {
		name     string
		ops      int
		existing int // number of the first rows that exist already
		faults   standin.Faults
		downFor  time.Duration
		commits  int
		conflict int
	}{
		{name: "one transaction", ops: 64, commits: 1},
		{name: "two transactions", ops: 65, commits: 2},
		{name: "conflicts are isolated", ops: 10, existing: 3, commits: 1, conflict: 3},
		{name: "answer lost", ops: 10, faults: standin.Faults{LoseNextAnswers: 1}, commits: 1},
		{name: "answer lost, then a conflict", ops: 10, existing: 1, faults: standin.Faults{LoseNextAnswers: 1}, commits: 9, conflict: 1},
		{name: "outage", ops: 10, faults: standin.Faults{Down: true}, downFor: 20 * time.Second, commits: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				raw := standin.NewTable()
				for _, op := range inserts(tt.existing) {
					if _, err := raw.Commit(ctx, nil, op.Writes); err != nil {
						t.Fatal(err)
					}
				}
				g := newGroup(t, raw, platform.GroupOptions{})
				// The first batch starts immediately. Operations that follow within
				// the spacing are collected in the next batch.
				if _, err := g.Commit(ctx, absent("first"), put("first", "v")); err != nil {
					t.Fatal(err)
				}
				raw.SetFaults(tt.faults)
				if tt.downFor > 0 {
					time.AfterFunc(tt.downFor, func() { raw.SetFaults(standin.Faults{}) })
				}
				conflicts := 0
				for i, err := range commitAll(ctx, g, inserts(tt.ops)) {
					if errors.Is(err, platform.ErrConflict) {
						conflicts++
					} else if err != nil {
						t.Errorf("operation %d: %v", i, err)
					}
				}
				if conflicts != tt.conflict {
					t.Errorf("%d conflicts, want %d", conflicts, tt.conflict)
				}
				if got := raw.Counts().Commits - tt.existing - 1; got != tt.commits {
					t.Errorf("%d transactions, want %d", got, tt.commits)
				}
			})
		})
	}
}

// A conflict must not break up a batch: the table service would get a transaction for each
// operation, and under load the later ones would run out of time and conflict in turn.
func TestConflictsLeaveTheRestOfABatchTogether(t *testing.T) {
	const ops, existing = 64, 5
	const transactions = existing + 1
	synctest.Test(t, func(t *testing.T) {
		raw := standin.NewTable()
		for _, op := range inserts(existing) {
			if _, err := raw.Commit(t.Context(), nil, op.Writes); err != nil {
				t.Fatal(err)
			}
		}
		g := newGroup(t, raw, platform.GroupOptions{})
		for i, err := range commitAll(t.Context(), g, inserts(ops)) {
			if conflicts := errors.Is(err, platform.ErrConflict); conflicts != (i < existing) || !conflicts && err != nil {
				t.Errorf("operation %d: %v", i, err)
			}
		}
		if got := raw.Counts().Commits + raw.Counts().Conflicts - existing; got > transactions {
			t.Errorf("%d transactions for %d operations, want at most %d", got, ops, transactions)
		}
	})
}

// Many conflicts in one batch must not hold up the operations that follow with one
// transaction after the other.
func TestManyConflictsAreCommittedAtOnce(t *testing.T) {
	const ops, roundTrip = 64, 10 * time.Millisecond
	const limit = 20 * roundTrip
	synctest.Test(t, func(t *testing.T) {
		raw := standin.NewTable()
		for _, op := range inserts(ops) {
			if _, err := raw.Commit(t.Context(), nil, op.Writes); err != nil {
				t.Fatal(err)
			}
		}
		raw.SetFaults(standin.Faults{Delay: roundTrip})
		g := newGroup(t, raw, platform.GroupOptions{})
		start := time.Now()
		for i, err := range commitAll(t.Context(), g, inserts(ops)) {
			if !errors.Is(err, platform.ErrConflict) {
				t.Errorf("operation %d: %v", i, err)
			}
		}
		if took := time.Since(start); took > limit {
			t.Errorf("the batch took %v, want at most %v", took, limit)
		}
	})
}

// All operations that check a row which has changed, such as the row of a lost lease, must
// fail after one transaction, and the others must be committed together.
func TestConflictOfASharedCheckFailsItsOperationsTogether(t *testing.T) {
	const ops, transactions = 64, 2
	synctest.Test(t, func(t *testing.T) {
		raw := standin.NewTable()
		if _, err := raw.Commit(t.Context(), nil, put("lease", "v")); err != nil {
			t.Fatal(err)
		}
		g := newGroup(t, raw, platform.GroupOptions{})
		list := inserts(ops)
		for i := range ops / 2 {
			list[i].Checks = append(list[i].Checks, absent("lease")...)
		}
		for i, err := range commitAll(t.Context(), g, list) {
			if conflicts := errors.Is(err, platform.ErrConflict); conflicts != (i < ops/2) || !conflicts && err != nil {
				t.Errorf("operation %d: %v", i, err)
			}
		}
		if got := raw.Counts().Commits + raw.Counts().Conflicts - 1; got > transactions {
			t.Errorf("%d transactions for %d operations, want at most %d", got, ops, transactions)
		}
	})
}

// An operation must wait only for the delay if no batch was started within the spacing,
// and batches must not follow each other faster than the spacing.
func TestGroupCommitInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay, spacing = time.Millisecond, 20 * time.Millisecond
		g := newGroup(t, standin.NewTable(), platform.GroupOptions{Delay: delay, Spacing: func() time.Duration { return spacing }})
		start := time.Now()
		for i, want := range []time.Duration{delay, delay + spacing, delay + 2*spacing} {
			if _, err := g.Commit(t.Context(), nil, put("k"+strconv.Itoa(i), "v")); err != nil {
				t.Fatal(err)
			}
			if got := time.Since(start); got != want {
				t.Errorf("operation %d was committed after %v, want %v", i, got, want)
			}
		}
	})
}

// When the context of an operation ends, the error must be ErrUnavailable only if the
// operation was never sent, and ErrAmbiguous otherwise.
func TestGroupCommitContextEnds(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		want   error
	}{
		{"never sent", standin.Faults{Down: true}, platform.ErrUnavailable},
		{"under way", standin.Faults{Hang: true}, platform.ErrAmbiguous},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw := standin.NewTable()
				raw.SetFaults(tt.faults)
				g := platform.NewGroupCommit(raw, platform.GroupOptions{})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if _, err := g.Commit(ctx, absent("k"), put("k", "v")); !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				closing, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				g.Close(closing)
				if _, err := g.Commit(t.Context(), nil, put("k", "v")); !errors.Is(err, platform.ErrUnavailable) {
					t.Errorf("after Close: %v, want ErrUnavailable", err)
				}
			})
		})
	}
}

// The queue must not grow without limit during an outage.
func TestGroupCommitQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		raw := standin.NewTable()
		raw.SetFaults(standin.Faults{Down: true})
		g := platform.NewGroupCommit(raw, platform.GroupOptions{MaxQueue: 8, MaxOps: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { commitAll(ctx, g, inserts(9)) })
		synctest.Wait()
		if _, err := g.Commit(ctx, nil, put("k", "v")); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
		cancel()
		wg.Wait()
		g.Close(ctx)
	})
}

// Operations on the same row must not be merged into one transaction, where all but one
// would be lost.
func TestGroupCommitKeepsOverlappingOperationsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		raw := standin.NewTable()
		g := newGroup(t, raw, platform.GroupOptions{})
		ops := make([]platform.Operation, 10)
		for i := range ops {
			ops[i] = platform.Operation{Checks: absent("k"), Writes: put("k", strconv.Itoa(i))}
		}
		won := 0
		for _, err := range commitAll(t.Context(), g, ops) {
			switch {
			case err == nil:
				won++
			case !errors.Is(err, platform.ErrConflict):
				t.Error(err)
			}
		}
		if won != 1 {
			t.Errorf("%d operations inserted the row, want 1", won)
		}
	})
}

// flakyTable fails calls at random, including commits that take effect, some of them late.
type flakyTable struct {
	*standin.Table
	mu  sync.Mutex
	rng *rand.Rand
}

func (f *flakyTable) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *flakyTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) (int64, error) {
	switch d := f.draw(); {
	case d < 0.1:
		return 0, platform.ErrUnavailable
	case d < 0.2:
		return 0, platform.ErrAmbiguous
	case d < 0.3:
		_, _ = f.Table.Commit(ctx, checks, writes)
		return 0, platform.ErrAmbiguous
	case d < 0.4:
		time.AfterFunc(50*time.Millisecond, func() { _, _ = f.Table.Commit(context.Background(), checks, writes) })
		return 0, platform.ErrAmbiguous
	}
	return f.Table.Commit(ctx, checks, writes)
}

func (f *flakyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if f.draw() < 0.2 {
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

// Increments must not be lost, applied twice or misreported under any order of outages,
// lost responses, delayed commits and conflicts.
func TestGroupCommitCountsEachIncrementOnce(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw := standin.NewTable()
				store := &flakyTable{Table: raw, rng: rand.New(rand.NewPCG(seed, 0))}
				g := newGroup(t, store, platform.GroupOptions{MaxOps: 4})
				const counters, writers, rounds = 3, 6, 10
				var mu sync.Mutex
				var done [counters]int
				var wg sync.WaitGroup
				for w := range writers {
					wg.Go(func() {
						for range rounds {
							if increment(t, raw, g, w%counters) {
								mu.Lock()
								done[w%counters]++
								mu.Unlock()
							}
						}
					})
				}
				wg.Wait()
				time.Sleep(time.Second) // until delayed commits have been applied
				for i, want := range done {
					if got, _ := readCounter(t, raw, i); got != want || want == 0 {
						t.Errorf("counter %d is %d, reported increments %d", i, got, want)
					}
				}
			})
		})
	}
}

func readCounter(t *testing.T, raw platform.Table, i int) (int, int64) {
	row, err := platform.NewStampedTable(raw).Get(t.Context(), "counter/"+strconv.Itoa(i))
	if err != nil {
		t.Fatal(err)
	}
	n, _ := strconv.Atoi(string(row.Value)) // empty for a row that does not exist
	return n, row.Version
}

// increment increments a counter and reports whether it was applied.
func increment(t *testing.T, raw platform.Table, b platform.Batcher, i int) bool {
	n, version := readCounter(t, raw, i)
	key := "counter/" + strconv.Itoa(i)
	_, err := b.Commit(t.Context(), []platform.Check{{Key: key, Version: version}}, put(key, strconv.Itoa(n+1)))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		t.Error(err)
	}
	return err == nil
}
