package owner

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
)

// The ends of the leases of workers that do not respond are one row. It is written with a commit or
// with the release of the cell, and holds for each owner that follows until one of them writes it.
const (
	tableLeaseEnds = election.TableLeaseEnds // api.LeaseEndsRow
	keyLeaseEnds   = "all"
)

// unknownLeaseEnd counts as the end for a recorded reading that can't be converted.
const unknownLeaseEnd = time.Duration(math.MaxInt64)

// leaseEndReadings are ends of leases as readings of the clock of the table service, in milliseconds.
type leaseEndReadings map[cell.Incarnation]int

// readingsOf returns the readings of ends. An end that is recorded is passed on as it is, since each
// conversion between the clocks adds to it. Those without a reading are left out.
func (t *tenure) readingsOf(ends []cell.LeaseEnd) leaseEndReadings {
	out := make(leaseEndReadings, len(ends))
	for _, end := range ends {
		reading, known := t.recordedReadings[end.Incarnation]
		if !end.Recorded || !known {
			reading = t.lease.MaxStoreClockAt(end.End)
		}
		if reading > 0 {
			out[end.Incarnation] = reading
		}
	}
	return out
}

// leaseEndsRow returns the row with some ends.
func (t *tenure) leaseEndsRow(readings leaseEndReadings) (rows.Row, error) {
	out := api.LeaseEndsRow{Epoch: t.epoch}
	for incarnation, reading := range readings {
		out.Workers = append(out.Workers, api.WorkerLeaseEnd{Worker: incarnation.Worker, BornUnixMs: incarnation.StartUnixMs, EndMs: reading})
	}
	slices.SortFunc(out.Workers, func(a, b api.WorkerLeaseEnd) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.BornUnixMs, b.BornUnixMs))
	})
	value, err := out.MarshalMsg(nil)
	return newRow(tableLeaseEnds, keyLeaseEnds, value), err
}

// addLeaseEnds adds the row to a transaction if the batch writes it.
func (t *tenure) addLeaseEnds(tx *rows.Tx, b *cell.Batch) error {
	if !b.WritesLeaseEnds {
		return nil
	}
	t.readingsInFlight = t.readingsOf(b.LeaseEnds)
	row, err := t.leaseEndsRow(t.readingsInFlight)
	if err != nil {
		return err
	}
	tx.Put = append(tx.Put, row)
	return nil
}

// leaseEndsCommitted notes that a batch is stored.
func (t *tenure) leaseEndsCommitted(b *cell.Batch) {
	if b.WritesLeaseEnds {
		t.recordedReadings = t.readingsInFlight
	}
}

// leaseEndsAtRelease returns the row to be written with the release; none if the stored one has all
// entries.
func (t *tenure) leaseEndsAtRelease() []rows.Row {
	readings := t.readingsOf(t.cell.LeaseEnds())
	added := false
	for incarnation := range readings {
		_, recorded := t.recordedReadings[incarnation]
		added = added || !recorded
	}
	if !added {
		return nil
	}
	row, err := t.leaseEndsRow(readings)
	if err != nil {
		event.ReleaseFailed.Log(t.options.Logger, "err", err)
		return nil
	}
	return []rows.Row{row}
}

// readLeaseEnds returns the recorded ends that hold.
func (t *tenure) readLeaseEnds(ctx context.Context) recordedEnds {
	epoch := t.lease.LeaseEndsEpoch()
	if epoch == 0 {
		return recordedEnds{}
	}
	list, _, err := rows.All(ctx, pageTimeoutStore{t.options.Store}, tableLeaseEnds, election.Part)
	if err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", tableLeaseEnds, "key", keyLeaseEnds, "err", err)
		return recordedEnds{unknown: true}
	}
	for _, r := range list {
		if r.Key == keyLeaseEnds {
			return t.decodeLeaseEnds(r, epoch)
		}
	}
	return recordedEnds{}
}

// recordedEnds are the entries of the stored row that holds.
type recordedEnds struct {
	readings leaseEndReadings
	unknown  bool // the row can't be read
}

// decodeLeaseEnds returns the ends in a row of an epoch, none if it is of another one.
func (t *tenure) decodeLeaseEnds(r rows.Row, epoch int) recordedEnds {
	var row api.LeaseEndsRow
	if _, err := row.UnmarshalMsg(r.Value); err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", r.Table, "key", r.Key, "err", err)
		return recordedEnds{unknown: true}
	}
	if row.Epoch != epoch {
		return recordedEnds{} // an owner of an earlier release had nothing to record
	}
	out := recordedEnds{readings: make(leaseEndReadings, len(row.Workers))}
	for i := range row.Workers {
		in := &row.Workers[i]
		out.readings[cell.Incarnation{Worker: in.Worker, StartUnixMs: in.BornUnixMs}] = in.EndMs
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
		out[incarnation] = unknownLeaseEnd
		if end, ok := t.lease.WhenStoreClockReaches(reading); ok {
			out[incarnation] = max(end, earliest)
		}
	}
	return out
}
