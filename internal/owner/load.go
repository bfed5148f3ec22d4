package owner

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/runtimes"
)

const loadPageTimeout = 2 * time.Second // until a page of the records begins to arrive, and between two parts of it

// loadRecords creates the core from the stored records. If the records can't be read,
// it releases the ownership and returns false.
func (t *tenure) loadRecords() bool {
	s := t.options.Settings
	began := t.options.Clock.Boot()
	learned := make(chan *runtimes.Model, 1)
	go func() { learned <- t.readRunTimes(t.ctx) }()
	leaseEnds := make(chan recordedEnds, 1)
	go func() { leaseEnds <- t.readLeaseEnds(t.ctx) }()
	records, err := t.readRecords(t.ctx)
	if err != nil {
		event.CellLoadFailed.Log(t.options.Logger, "err", err)
		release, stop := context.WithTimeout(context.WithoutCancel(t.ctx), commitTimeout)
		defer stop()
		if err := t.lease.ReleaseUnused(release); err != nil {
			event.ReleaseFailed.Log(t.options.Logger, "err", err)
		}
		return false
	}
	lease := min(s.MaxTaskLease, preferredTaskLease)
	grantsEnd, leasesEnd := t.priorLeases(began)
	recorded := <-leaseEnds
	t.recordedReadings = recorded.readings
	t.cell = cell.New(cell.Options{
		FirstToken: t.lease.FirstToken(), LastToken: t.epoch, Address: t.options.SelfAddress, TaskLease: lease, MaxTaskLease: s.MaxTaskLease, MaxRowBytes: s.MaxRowBytes, StopTimeout: s.StopTimeout, GangTimeout: s.GangTimeout,
		SlowdownTimeout: s.HarmTime, RestoreTime: s.RestoreTime, StatusRetention: s.StatusRetention,
		RemoteFactor: s.RemoteFactor, RunTimes: <-learned, PriorGrantsEnd: grantsEnd, PriorLeasesEnd: leasesEnd, FirstContactEnd: began + firstContactGrace,
		RecordedLeaseEnds: t.recordedLeaseEnds(began), LeaseEndsUnknown: recorded.unknown, PriorOwnerLost: t.lease.PriorOwnerLost(),
		MaxEvacuationsAge: t.maxEvacuationsAge(),
	})
	t.advanceClock()
	t.applyConfig()
	t.applyEvacuations()
	t.restoreRecords(records)
	t.loadedAt = t.options.Clock.Boot()
	event.CellLoaded.Log(t.options.Logger, "epoch", t.epoch, "works", len(records.works), "finished", len(records.finished), "lease_ends", len(t.recordedReadings), "lease_ends_unknown", recorded.unknown,
		"took_ms", (t.options.Clock.Boot() - began).Milliseconds())
	return true
}

// priorLeases returns the boot times from which no earlier owner grants task leases, and at
// which those that were granted have expired. began is a time after the claim of the cell.
func (t *tenure) priorLeases(began time.Duration) (grantsEnd, leasesEnd time.Duration) {
	age, known := t.lease.PriorCommitAge()
	if !known {
		// An owner of an earlier release does not note the time of its commits, and extends
		// leases for longer.
		grantsEnd = began + earlierReleaseRenewal
		return grantsEnd, grantsEnd + cell.LeaseBound(preferredTaskLease)
	}
	lastCommit := began - age
	return lastCommit + taskGrantLimit, lastCommit + cell.LeaseBound(taskGrantLimit)
}

// firstContactGrace is how long a new owner waits for the workers and their entries. Entries
// that expired while the table service was down are back within 2 s.
const firstContactGrace = 3 * time.Second

// earlierReleaseRenewal is how long after its last commit an owner of an earlier release
// extends task leases to preferredTaskLease.
const earlierReleaseRenewal = 4 * time.Second

// preferredTaskLease is the duration of task leases unless the platform allows only a
// shorter one. It outlasts a takeover, and expires soon after a worker is lost.
const preferredTaskLease = 5 * time.Second

// records holds the rows of the works, by table.
type records struct {
	works, progress, finished []rows.Row
}

func (t *tenure) readRecords(ctx context.Context) (*records, error) {
	var r records
	for _, source := range []struct {
		table string
		out   *[]rows.Row
	}{{tableWork, &r.works}, {tableProgress, &r.progress}, {tableFinished, &r.finished}} {
		list, _, err := rows.All(ctx, pageTimeoutStore{t.options.Store}, source.table, election.Part)
		if err != nil {
			return nil, err
		}
		*source.out = list
	}
	return &r, nil
}

// pageTimeoutStore limits the time of each page that is read. The number of pages grows with
// the cell, so a limit for all of them would end each load of a large one.
type pageTimeoutStore struct{ rows.Store }

func (s pageTimeoutStore) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	ctx, cancel := rows.WithStallTimeout(ctx, loadPageTimeout, loadPageTimeout, nil)
	defer cancel()
	return s.Store.Range(ctx, table, part, from)
}

func (t *tenure) restoreRecords(r *records) {
	for _, row := range r.finished {
		var p api.ProgressRow
		if _, err := p.UnmarshalMsg(row.Value); err != nil {
			event.RowUnreadable.Log(t.options.Logger, "table", row.Table, "key", row.Key, "err", err)
			continue
		}
		t.cell.RestoreFinished(row.Key, &p)
	}
	progress := t.decodeProgress(r.progress)
	for _, row := range r.works {
		t.restoreWork(row, progress[row.Key])
	}
}

// storedProgress is the progress of a work in the table service.
type storedProgress struct {
	parts      []*api.ProgressRow
	rows       int // number of its rows, from their keys
	unreadable bool
}

// decodeProgress decodes the progress rows, and returns the progress of each work.
func (t *tenure) decodeProgress(list []rows.Row) map[string]*storedProgress {
	out := make(map[string]*storedProgress, len(list))
	for _, row := range list {
		id, part := parseProgressKey(row.Key)
		p := out[id]
		if p == nil {
			p = &storedProgress{}
			out[id] = p
		}
		p.rows = max(p.rows, part+1)
		var decoded api.ProgressRow
		if _, err := decoded.UnmarshalMsg(row.Value); err != nil {
			event.RowUnreadable.Log(t.options.Logger, "table", row.Table, "key", row.Key, "err", err)
			p.unreadable = true
			continue
		}
		p.parts = append(p.parts, &decoded)
	}
	return out
}

// join returns the whole progress, or nil if a part of it is missing or can't be read.
func (p *storedProgress) join() *api.ProgressRow {
	if p == nil || p.unreadable || len(p.parts) != p.rows {
		return nil
	}
	return cell.JoinProgress(p.parts)
}

// restoreWork restores a work from its row and its progress. A work without readable
// progress is restored with unknown progress.
func (t *tenure) restoreWork(row rows.Row, stored *storedProgress) {
	var w api.WorkRow
	if _, err := w.UnmarshalMsg(row.Value); err != nil {
		event.RowUnreadable.Log(t.options.Logger, "table", row.Table, "key", row.Key, "err", err)
		return
	}
	progress, storedRows := stored.join(), 0
	if stored != nil {
		storedRows = stored.rows
	}
	if progress == nil {
		event.ProgressUnknown.Log(t.options.Logger, "work", row.Key, "err", errNoProgress)
		progress = t.unknownProgress(&w.Work)
	}
	t.cell.Restore(&w, progress, storedRows)
}
