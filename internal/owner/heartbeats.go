package owner

import (
	"context"
	"math"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
)

// The last heartbeats of draining workers are one row, which is written with the release of the
// cell. It tells facts, which hold for any later owner, but they are of use only for the next
// seconds.
const (
	tableHeartbeats = "heartbeats" // api.HeartbeatsRow
	keyHeartbeats   = "all"
)

// heartbeatBytes is what a worker takes in the row at most, without its ID and address.
var heartbeatBytes = (&api.WorkerHeartbeat{}).Msgsize()

const (
	// maxHeartbeats bounds the number of workers in the row, and heartbeatsShare its size: the part
	// of the longest row that it takes before it is encoded as text.
	maxHeartbeats   = 200
	heartbeatsShare = 0.5
	// heartbeatsTimeout is the time to read the row, without which the watch of the workers begins.
	heartbeatsTimeout = 300 * time.Millisecond
)

// heartbeatsRow returns the row to be written with the release; none if there is nothing to record.
func (t *tenure) heartbeatsRow() []rows.Row {
	known := t.options.Fleet.Heartbeats()
	out := api.HeartbeatsRow{Epoch: t.epoch, ReadAtMs: t.lease.MinStoreClockAt(known.ReadAt)}
	limit := t.maxHeartbeatsBytes()
	for _, h := range known.Workers {
		after := t.lease.MinStoreClockAt(h.After)
		limit -= heartbeatBytes + len(h.Worker.ID) + len(h.Worker.Address)
		if limit < 0 || len(out.Workers) == maxHeartbeats {
			break
		}
		if h.After > 0 && after > 0 {
			out.Workers = append(out.Workers, api.WorkerHeartbeat{
				Worker: h.Worker.ID, BornUnixMs: h.Worker.IncarnationUnixMs, Address: h.Worker.Address, EntryVersion: int(h.Version), AfterMs: after,
			})
		}
	}
	if known.ReadAt == 0 || out.ReadAtMs == 0 || len(out.Workers) == 0 {
		return nil
	}
	value, err := out.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return []rows.Row{newRow(tableHeartbeats, keyHeartbeats, value)}
}

// maxHeartbeatsBytes returns the most bytes that the workers in the row may take.
func (t *tenure) maxHeartbeatsBytes() int {
	if longest := t.options.Settings.MaxRowBytes; longest > 0 {
		return int(heartbeatsShare * float64(longest))
	}
	return math.MaxInt
}

// readHeartbeats returns what an earlier owner has recorded; nothing if it can't be read in time.
func (t *tenure) readHeartbeats(ctx context.Context) cell.Heartbeats {
	ctx, cancel := context.WithTimeout(ctx, heartbeatsTimeout)
	defer cancel()
	list, _, err := rows.All(ctx, t.options.Store, tableHeartbeats, election.Part)
	if err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", tableHeartbeats, "key", keyHeartbeats, "err", err)
		return cell.Heartbeats{}
	}
	for _, r := range list {
		if r.Key == keyHeartbeats {
			return t.decodeHeartbeats(r)
		}
	}
	return cell.Heartbeats{}
}

// decodeHeartbeats returns the heartbeats in a row, with boot times that are no later than the
// recorded readings: a worker that seems to have been silent for longer has not left.
func (t *tenure) decodeHeartbeats(r rows.Row) cell.Heartbeats {
	var row api.HeartbeatsRow
	if _, err := row.UnmarshalMsg(r.Value); err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", r.Table, "key", r.Key, "err", err)
		return cell.Heartbeats{}
	}
	readAt, known := t.lease.BootBeforeStoreClock(row.ReadAtMs)
	if !known {
		return cell.Heartbeats{}
	}
	out := cell.Heartbeats{ReadAt: readAt}
	for i := range row.Workers {
		in := &row.Workers[i]
		if after, ok := t.lease.BootBeforeStoreClock(in.AfterMs); ok {
			ref := cell.WorkerRef{ID: in.Worker, IncarnationUnixMs: in.BornUnixMs, Address: in.Address}
			out.Workers = append(out.Workers, cell.Heartbeat{Worker: ref, Version: int64(in.EntryVersion), After: after})
		}
	}
	return out
}

// workersOf returns the workers of heartbeats.
func workersOf(h cell.Heartbeats) []cell.WorkerRef {
	out := make([]cell.WorkerRef, 0, len(h.Workers))
	for i := range h.Workers {
		out = append(out, h.Workers[i].Worker)
	}
	return out
}
