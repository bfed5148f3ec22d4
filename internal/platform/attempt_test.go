package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

// scriptedTable is a table whose first commits and reads fail in a given way.
type scriptedTable struct {
	*standin.Table
	lostCommits int // commits that are not applied and end in ErrAmbiguous
	lateCommits int // commits that end in ErrAmbiguous and are applied when the next commit begins
	failingGets int // reads that fail
	applyLate   func()
}

func (s *scriptedTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) (int64, error) {
	if s.applyLate != nil {
		s.applyLate()
		s.applyLate = nil
	}
	if s.lateCommits > 0 {
		s.lateCommits--
		s.applyLate = func() { _, _ = s.Table.Commit(ctx, checks, writes) }
		return 0, platform.ErrAmbiguous
	}
	if s.lostCommits > 0 {
		s.lostCommits--
		return 0, platform.ErrAmbiguous
	}
	return s.Table.Commit(ctx, checks, writes)
}

func (s *scriptedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if s.failingGets > 0 {
		s.failingGets--
		return platform.Row{}, platform.ErrUnavailable
	}
	return s.Table.Get(ctx, key)
}

// When responses are lost, a write that took effect must not be reported as failed or be
// applied twice, and one that did not take effect must not be reported as applied.
func TestCommitStampedResolvesAmbiguousResults(t *testing.T) {
	insert := platform.Operation{Checks: absent("k"), Writes: put("k", "new")}
	blind := platform.Operation{Writes: put("k", "new")}
	remove := platform.Operation{Writes: []platform.Write{{Key: "k", Delete: true}}}
	tests := []struct {
		name    string
		op      platform.Operation
		exists  bool
		faults  standin.Faults
		script  scriptedTable
		want    error
		commits int // applied to the table
	}{
		{name: "applied, answer lost", op: insert, faults: standin.Faults{LoseNextAnswers: 1}, commits: 1},
		{name: "applied, answer lost, reads fail", op: insert, faults: standin.Faults{LoseNextAnswers: 1}, script: scriptedTable{failingGets: 3}, commits: 1},
		{name: "not applied", op: insert, script: scriptedTable{lostCommits: 2}, commits: 1},
		{name: "applied late, before the repetition", op: insert, script: scriptedTable{lateCommits: 1}, commits: 1},
		{name: "conflict", op: insert, exists: true, want: platform.ErrConflict},
		{name: "conflict after a lost call", op: insert, exists: true, script: scriptedTable{lostCommits: 1}, want: platform.ErrConflict},
		{name: "without check, applied", op: blind, faults: standin.Faults{LoseNextAnswers: 1}, commits: 1},
		{name: "without check, lost", op: blind, script: scriptedTable{lostCommits: 1}, want: platform.ErrAmbiguous},
		{name: "deletion applied", op: remove, exists: true, faults: standin.Faults{LoseNextAnswers: 1}, commits: 1},
		{name: "deletion lost", op: remove, exists: true, script: scriptedTable{lostCommits: 1}, commits: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				raw := standin.NewTable()
				if tt.exists {
					version, err := raw.Commit(ctx, nil, []platform.Write{{Key: "k", Value: platform.EncodeStamped("other", nil)}})
					if err != nil {
						t.Fatal(err)
					}
					if tt.op.Writes[0].Delete {
						tt.op.Checks = []platform.Check{{Key: "k", Version: version}}
					}
				}
				earlier := raw.Counts().Commits
				raw.SetFaults(tt.faults)
				tt.script.Table = raw
				_, err := platform.CommitStamped(ctx, &tt.script, tt.op)
				if !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				if got := raw.Counts().Commits - earlier; got != tt.commits {
					t.Errorf("%d transactions applied, want %d", got, tt.commits)
				}
			})
		})
	}
}

// When the context ends, the error must be ErrUnavailable only if the commit certainly
// was not applied, and ErrAmbiguous otherwise.
func TestCommitStampedEndsWithItsContext(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		script scriptedTable
		want   error
	}{
		{"never sent", standin.Faults{Down: true}, scriptedTable{}, platform.ErrUnavailable},
		{"unreadable afterwards", standin.Faults{LoseNextAnswers: 1}, scriptedTable{failingGets: 1 << 20}, platform.ErrAmbiguous},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				tt.script.Table = standin.NewTable()
				tt.script.Table.SetFaults(tt.faults)
				_, err := platform.CommitStamped(ctx, &tt.script, platform.Operation{Checks: absent("k"), Writes: put("k", "v")})
				if !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
			})
		})
	}
}

// Stamps must not appear in the values that callers get, and Commit must not retry while
// the table service is unavailable.
func TestStampedTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		raw := standin.NewTable()
		table := platform.NewStampedTable(platform.NewStampedTable(raw))
		raw.SetFaults(standin.Faults{LoseNextAnswers: 1})
		version, err := table.Commit(ctx, absent("k"), put("k", "value"))
		if err != nil {
			t.Fatal(err)
		}
		row, err := table.Get(ctx, "k")
		if err != nil || string(row.Value) != "value" || row.Version != version {
			t.Fatalf("row %+v, error %v", row, err)
		}
		rows, err := table.Scan(ctx, "", "", 10)
		if err != nil || len(rows) != 1 || string(rows[0].Value) != "value" {
			t.Fatalf("rows %+v, error %v", rows, err)
		}
		raw.SetFaults(standin.Faults{Down: true})
		if _, err := table.Commit(ctx, absent("k"), put("k", "v")); !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("got %v, want ErrUnavailable", err)
		}
	})
}

// DecodeStamped must not panic on any input, and encoding its result must restore the
// input.
func FuzzDecode(f *testing.F) {
	f.Add(platform.EncodeStamped("stamp", []byte("value")))
	f.Add([]byte{})
	f.Add([]byte{255, 1})
	f.Fuzz(func(t *testing.T, stored []byte) {
		stamp, value, err := platform.DecodeStamped(stored)
		if err != nil {
			return
		}
		if got := platform.EncodeStamped(stamp, value); string(got) != string(stored) {
			t.Errorf("%q became %q", stored, got)
		}
	})
}
