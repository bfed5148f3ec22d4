package owner

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
)

// The ends of the leases of workers that did not respond are one row, which is written with the
// release of the cell. It is of use to the owner that follows the release, and to no other.
const (
	tableLeaseEnds = "leaseends" // api.LeaseEndsRow
	keyLeaseEnds   = "all"
)

// leaseEndsRow returns the row to be written with the release; none if there is nothing to record.
// An end that the earlier owner has recorded is passed on as it is, since each conversion between
// the clocks adds to it.
func (t *tenure) leaseEndsRow() []rows.Row {
	out := api.LeaseEndsRow{Epoch: t.epoch}
	for _, end := range t.cell.LeaseEnds() {
		reading := t.recordedReadings[end.Incarnation]
		if !end.Recorded {
			reading = t.lease.MaxStoreClockAt(end.End)
		}
		if reading > 0 {
			out.Workers = append(out.Workers, api.WorkerLeaseEnd{Worker: end.Worker, BornUnixMs: end.StartUnixMs, EndMs: reading})
		}
	}
	if len(out.Workers) == 0 {
		return nil
	}
	value, err := out.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return []rows.Row{newRow(tableLeaseEnds, keyLeaseEnds, value)}
}

// readLeaseEnds returns what the earlier owner has recorded with its release, as readings of the
// clock of the table service in milliseconds; nil if it has not released the cell.
func (t *tenure) readLeaseEnds(ctx context.Context) map[cell.Incarnation]int {
	epoch := t.lease.ReleasedEpoch()
	if epoch == 0 {
		return nil
	}
	list, _, err := rows.All(ctx, pageTimeoutStore{t.options.Store}, tableLeaseEnds, election.Part)
	if err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", tableLeaseEnds, "key", keyLeaseEnds, "err", err)
		return nil
	}
	for _, r := range list {
		if r.Key == keyLeaseEnds {
			return t.decodeLeaseEnds(r, epoch)
		}
	}
	return nil
}

// decodeLeaseEnds returns the ends in a row of an epoch; nil if it is of another one.
func (t *tenure) decodeLeaseEnds(r rows.Row, epoch int) map[cell.Incarnation]int {
	var row api.LeaseEndsRow
	if _, err := row.UnmarshalMsg(r.Value); err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", r.Table, "key", r.Key, "err", err)
		return nil
	}
	if row.Epoch != epoch {
		return nil // the earlier owner had nothing to record
	}
	out := make(map[cell.Incarnation]int, len(row.Workers))
	for i := range row.Workers {
		in := &row.Workers[i]
		out[cell.Incarnation{Worker: in.Worker, StartUnixMs: in.BornUnixMs}] = in.EndMs
	}
	return out
}

// maxReleaseGap is the longest time without an owner after which recorded ends count as they are.
// After a longer one the workers and their entries get firstContactGrace to come back: they may
// have ends to report, and runs that are declared lost before are started again.
const maxReleaseGap = 2 * time.Second

// recordedLeaseEnds returns the boot times from which the recorded ends count, for an owner that
// began to load its records at the given time.
func (t *tenure) recordedLeaseEnds(began time.Duration) map[cell.Incarnation]time.Duration {
	earliest := began
	if gap, known := t.lease.PriorCommitAge(); !known || gap > maxReleaseGap {
		earliest = began + firstContactGrace
	}
	out := make(map[cell.Incarnation]time.Duration, len(t.recordedReadings))
	for incarnation, reading := range t.recordedReadings {
		if end, ok := t.lease.WhenStoreClockReaches(reading); ok {
			out[incarnation] = max(end, earliest)
		}
	}
	return out
}
