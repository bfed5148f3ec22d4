package owner

import (
	"context"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/rows"
)

// recordedFleet is a list of workers without changes, with heartbeats of draining workers.
type recordedFleet struct{ heartbeats cell.Heartbeats }

func (recordedFleet) Run(ctx context.Context, _ cell.Heartbeats, _ func([]cell.WorkerInfo, []cell.WorkerRef)) {
	<-ctx.Done()
}

func (f recordedFleet) Heartbeats() cell.Heartbeats { return f.heartbeats }

func (l clockedLease) MinStoreClockAt(boot time.Duration) int { return l.MaxStoreClockAt(boot) }

func (l clockedLease) BootBeforeStoreClock(readingMs int) (time.Duration, bool) {
	return l.WhenStoreClockReaches(readingMs)
}

// Guards against a draining worker that has left between two owners and is not known to the second
// one, and against a record that can't be read.
func TestReleaseRecordsTheHeartbeatsOfDrainingWorkers(t *testing.T) {
	store := memoryStore{}
	first := newTestTenure(store)
	first.lease = clockedLease{store: store}
	known := cell.Heartbeats{ReadAt: 59 * time.Minute, Workers: []cell.Heartbeat{{
		Worker: cell.WorkerRef{ID: "w1", IncarnationUnixMs: 7, Address: "a1"}, Version: 9, After: 58 * time.Minute,
	}}}
	first.options.Fleet = recordedFleet{known}
	first.cell = cell.New(cell.Options{})
	first.release()
	record := store[tableHeartbeats]
	if len(record) != 1 {
		t.Fatalf("%d rows are recorded", len(record))
	}
	for _, tt := range []struct {
		name   string
		row    []rows.Row
		want   bool
		logged bool
	}{
		{"released", record, true, false},
		{"no record", nil, false, false},
		{"unreadable", []rows.Row{newRow(tableHeartbeats, keyHeartbeats, []byte{0xc1})}, false, true},
		{"other key", []rows.Row{newRow(tableHeartbeats, "other", []byte{0xc1})}, false, false},
	} {
		store[tableHeartbeats] = tt.row
		next := newTestTenure(store)
		next.lease = clockedLease{store: store}
		got := next.readHeartbeats(t.Context())
		if same := got.ReadAt == known.ReadAt && slices.Equal(got.Workers, known.Workers); same != tt.want {
			t.Errorf("%s: read %+v", tt.name, got)
		}
		if logged := strings.Contains(next.logs.String(), "event=7031 "); logged != tt.logged {
			t.Errorf("%s: event 7031 is logged: %t", tt.name, logged)
		}
	}
}

// Guards against a release that the table service rejects because of the size of the record, and
// against a heartbeat of unknown age in it.
func TestRecordOfHeartbeatsIsBounded(t *testing.T) {
	known := cell.Heartbeats{ReadAt: time.Hour, Workers: []cell.Heartbeat{{Worker: cell.WorkerRef{ID: "age unknown"}, Version: 1}}}
	for n := range 2 * maxHeartbeats {
		ref := cell.WorkerRef{ID: fmt.Sprintf("%064d", n), IncarnationUnixMs: 1 << 40, Address: "100.100.100.100:10000"}
		known.Workers = append(known.Workers, cell.Heartbeat{Worker: ref, Version: 1 << 40, After: time.Hour})
	}
	for _, maxRowBytes := range []int{0, 64 << 10, 4096, 1} {
		tenure := newTestTenure(memoryStore{})
		tenure.lease = clockedLease{}
		tenure.options.Fleet = recordedFleet{known}
		tenure.options.Settings.MaxRowBytes = maxRowBytes
		row := tenure.heartbeatsRow()
		if maxRowBytes == 1 {
			if row != nil {
				t.Errorf("a row of %d bytes is recorded", len(row[0].Value))
			}
			continue
		}
		if len(row) != 1 {
			t.Fatalf("limit %d bytes: %d rows", maxRowBytes, len(row))
		}
		got := tenure.decodeHeartbeats(row[0])
		size := base64.StdEncoding.EncodedLen(len(row[0].Value))
		if len(got.Workers) == 0 || len(got.Workers) > maxHeartbeats || maxRowBytes > 0 && size > maxRowBytes {
			t.Errorf("limit %d bytes: %d workers in %d bytes as text", maxRowBytes, len(got.Workers), size)
		}
		if got.Workers[0].Worker.ID == "age unknown" {
			t.Error("a heartbeat of unknown age is recorded")
		}
	}
}
