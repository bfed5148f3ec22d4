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
	purgeInterval    = 10 * time.Minute
	purgeTimeout     = 8 * time.Minute
	purgePageSize    = 500   // rows in one read
	purgeMaxRows     = 50000 // rows of a team in one purge: 83 requests a second over ten minutes
	purgeConcurrency = 64    // parallel deletions, which then share transactions
	// purgeMargin is added to the retention to allow for clocks that differ
	// between nodes.
	purgeMargin = time.Hour
)

// purge starts the deletion of expired records when it is due.
func (c *controller) purge() {
	if !c.owned || c.now-c.lastPurge < purgeInterval {
		return
	}
	c.lastPurge = c.now
	teams := c.teamsWithRecords()
	if len(teams) == 0 || !c.purging.CompareAndSwap(false, true) {
		return
	}
	lease := c.lease
	c.partition.goroutines.Add(1)
	go func() {
		defer c.partition.goroutines.Done()
		defer c.purging.Store(false)
		ctx, cancel := context.WithTimeout(c.partition.ioContext, purgeTimeout)
		defer cancel()
		for _, team := range teams {
			if err := c.partition.records.purge(ctx, lease, team); err != nil {
				event.RecordPurgeFailed.Log(c.options.Logger, "team", team, "err", err)
				return
			}
		}
	}()
}

// teamsWithRecords returns the teams that have non-idempotent request queues.
func (c *controller) teamsWithRecords() []string {
	var out []string
	seen := map[string]bool{}
	for _, q := range c.queueByName {
		if q.Class == api.ClassRequest && !q.Idempotent && !seen[q.Team] {
			seen[q.Team] = true
			out = append(out, q.Team)
		}
	}
	return out
}

// expiredRows returns the leading rows whose IDs are older than limit.
func expiredRows(rows []platform.Row, prefix string, limit time.Time) []platform.Row {
	for i, row := range rows {
		id, err := uuid.Parse(strings.TrimPrefix(row.Key, prefix))
		if err != nil || !TimeOfID(id).Before(limit) {
			return rows[:i]
		}
	}
	return rows
}

// deleteAll deletes rows in parallel.
func (r *records) deleteAll(ctx context.Context, lease api.PartitionLease, rows []platform.Row) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(purgeConcurrency)
	for _, row := range rows {
		group.Go(func() error { return r.delete(ctx, lease, row) })
	}
	return group.Wait()
}

// purge deletes the records of team that are past the retention. The keys sort
// by time, because the IDs are UUIDs of version 7. Owners of several partitions
// may purge the same records; the version check makes that harmless.
func (r *records) purge(ctx context.Context, lease api.PartitionLease, team string) error {
	limit := r.clock.Now().Add(-RecordRetention - purgeMargin)
	prefix := rowPrefix + team + "/"
	after := ""
	for range purgeMaxRows / purgePageSize {
		rows, err := r.table.Scan(ctx, prefix, after, purgePageSize)
		if err != nil {
			return err
		}
		old := expiredRows(rows, prefix, limit)
		if err := r.deleteAll(ctx, lease, old); err != nil {
			return err
		}
		if len(rows) == 0 || len(old) < len(rows) {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
	return nil
}

// delete deletes a record and its response body in the object store.
func (r *records) delete(ctx context.Context, lease api.PartitionLease, row platform.Row) error {
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
