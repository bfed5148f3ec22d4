package requests

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	sweepInterval = 10 * time.Minute
	sweepTimeout  = 8 * time.Minute
	sweepPage     = 500   // rows a read
	sweepMax      = 50000 // rows a sweep and team: 83 requests a second over ten minutes
	sweepParallel = 64    // deletions at once, so that they share transactions
	// sweepMargin keeps records for longer than the age rule needs, for clocks
	// that differ between nodes.
	sweepMargin = time.Hour
)

// sweep starts the deletion of old records when it is due.
func (s *control) sweep() {
	if !s.owned || s.now-s.swept < sweepInterval {
		return
	}
	s.swept = s.now
	teams := s.recordedTeams()
	if len(teams) == 0 || !s.sweeping.CompareAndSwap(false, true) {
		return
	}
	lease := s.lease
	s.p.goroutines.Add(1)
	go func() {
		defer s.p.goroutines.Done()
		defer s.sweeping.Store(false)
		ctx, cancel := context.WithTimeout(s.p.background, sweepTimeout)
		defer cancel()
		for _, team := range teams {
			if err := s.p.records.sweep(ctx, lease, team); err != nil {
				event.RecordSweepFailed.Log(s.o.Logger, "team", team, "err", err)
				return
			}
		}
	}()
}

// recordedTeams returns the teams that have non-idempotent queues.
func (s *control) recordedTeams() []string {
	var out []string
	seen := map[string]bool{}
	for _, q := range s.queueByName {
		if q.Class == api.ClassRequest && !q.Idempotent && !seen[q.Team] {
			seen[q.Team] = true
			out = append(out, q.Team)
		}
	}
	return out
}

// oldRows returns the rows before the first one whose ID is not older than limit.
func oldRows(rows []platform.Row, prefix string, limit time.Time) []platform.Row {
	for i, row := range rows {
		id, err := uuid.Parse(strings.TrimPrefix(row.Key, prefix))
		if err != nil || !TimeOfID(id).Before(limit) {
			return rows[:i]
		}
	}
	return rows
}

// removeAll deletes rows, several at once.
func (r *records) removeAll(ctx context.Context, lease api.PartitionLease, rows []platform.Row) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sweepParallel)
	for _, row := range rows {
		group.Go(func() error { return r.remove(ctx, lease, row) })
	}
	return group.Wait()
}

// sweep deletes the records of team that are past the retention. The keys sort
// by time, because the IDs are UUIDs of version 7. Owners of several partitions
// may sweep the same records; the version check makes that harmless.
func (r *records) sweep(ctx context.Context, lease api.PartitionLease, team string) error {
	limit := r.clock.Now().Add(-Retention - sweepMargin)
	prefix := rowPrefix + team + "/"
	after := ""
	for range sweepMax / sweepPage {
		rows, err := r.table.Scan(ctx, prefix, after, sweepPage)
		if err != nil {
			return err
		}
		old := oldRows(rows, prefix, limit)
		if err := r.removeAll(ctx, lease, old); err != nil {
			return err
		}
		if len(rows) == 0 || len(old) < len(rows) {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
	return nil
}

// remove deletes a record and its answer in the object store.
func (r *records) remove(ctx context.Context, lease api.PartitionLease, row platform.Row) error {
	var rec api.RequestRow
	if _, err := rec.UnmarshalMsg(row.Value); err == nil && rec.ObjectKey != "" {
		if err := r.objects.Delete(ctx, rec.ObjectKey); err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	checks := []platform.Check{
		{Key: row.Key, Version: row.Version},
		{Key: ownership.RowKey(lease.Partition), Version: int64(lease.RowVersion)},
	}
	_, err := r.batcher.Commit(ctx, checks, []platform.Write{{Key: row.Key, Delete: true}})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
