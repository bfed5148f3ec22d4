package jobs

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

const (
	finishedRetention = 24 * time.Hour // records of finished jobs are deleted after this time
	purgeInterval     = time.Hour      // between scans for such records
)

// startPurge starts the deletion of expired records when it is due.
func (o *owner) startPurge() {
	now := o.bootTime()
	if now < o.nextPurge {
		return
	}
	o.nextPurge = now + purgeInterval
	finishedBefore := o.now().Add(-finishedRetention).UnixMilli()
	o.runAsync(func(ctx context.Context) func() {
		deleted, err := o.purge(ctx, finishedBefore)
		return func() {
			if err != nil {
				event.JobPurgeFailed.Log(o.logger, "err", err)
			} else if deleted > 0 {
				event.JobsPurged.Log(o.logger, "records", deleted)
			}
		}
	})
}

// purge deletes the records of jobs that finished before the given Unix time in
// milliseconds. It does not run on the control goroutine: finished jobs are
// not in memory, and each deletion checks the version of the record.
func (o *owner) purge(ctx context.Context, finishedBefore int64) (deleted int, err error) {
	for after := ""; ; {
		page, next, err := o.partition.options.Records.Load(ctx, o.lease.Partition, after, loadPageSize)
		if err != nil {
			return deleted, err
		}
		for _, r := range page {
			if !jobFinished(r.Row.State) || int64(r.Row.FinishedUnixMs) >= finishedBefore {
				continue
			}
			if err := o.partition.options.Records.Delete(ctx, o.lease, r); err != nil {
				return deleted, err
			}
			deleted++
		}
		if next == "" {
			return deleted, nil
		}
		after = next
	}
}
