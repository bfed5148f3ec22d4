package jobs

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

const (
	finishedKept  = 24 * time.Hour // records of finished jobs are deleted after this time
	purgeInterval = time.Hour      // between looks for such records
)

// stepPurge looks for records to delete when it is time.
func (t *tenure) stepPurge() {
	now := t.boot()
	if now < t.nextPurge {
		return
	}
	t.nextPurge = now + purgeInterval
	expired := t.now().Add(-finishedKept).UnixMilli()
	t.begin(func(ctx context.Context) func() {
		deleted, err := t.purge(ctx, expired)
		return func() {
			if err != nil {
				event.JobPurgeFailed.Log(t.logger, "err", err)
			} else if deleted > 0 {
				event.JobsPurged.Log(t.logger, "records", deleted)
			}
		}
	})
}

// purge deletes the records of jobs that finished before a time, Unix time in
// milliseconds. It runs off the control goroutine: finished jobs are not in
// memory, and each deletion checks the version of the record.
func (t *tenure) purge(ctx context.Context, expired int64) (deleted int, err error) {
	for after := ""; ; {
		page, next, err := t.p.opts.Records.Load(ctx, t.lease.Partition, after, loadPageSize)
		if err != nil {
			return deleted, err
		}
		for _, r := range page {
			if !finishedState(r.Row.State) || int64(r.Row.FinishedUnixMs) >= expired {
				continue
			}
			if err := t.p.opts.Records.Delete(ctx, t.lease, r); err != nil {
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
