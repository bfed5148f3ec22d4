package owner

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
)

// Tables of the records of works. All their rows lie in the part of the owner.
const (
	tableWork     = "work"     // api.WorkRow, written once, until the work is finished
	tableProgress = "progress" // api.ProgressRow, until the work is finished
	tableFinished = "finished" // api.ProgressRow of a finished work, for the retention time
)

// Pauses between two tries of a commit.
const (
	minCommitPause = 10 * time.Millisecond
	maxCommitPause = 150 * time.Millisecond
	commitTimeout  = 900 * time.Millisecond
)

// commit starts the next commit if one is due. Only one is on its way at a time,
// so that the records are written in order.
func (t *tenure) commit(now time.Duration) {
	if t.committing || now-t.commitSent < commitSpacing {
		return
	}
	if t.lastCommit {
		t.release()
		return
	}
	t.lastCommit = t.leaving
	b := t.cell.TakeBatch()
	if b == nil && t.leaving {
		t.release()
		return
	}
	if b == nil && now-t.commitSent < renewInterval {
		return
	}
	if b == nil {
		b = &cell.Batch{}
	} else if b.Empty() {
		t.cell.Committed(b)
		return
	}
	tx, err := transaction(b)
	if err != nil {
		t.cancel(err)
		return
	}
	t.committing, t.commitSent, t.batch = true, now, b
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		err := t.commitUntilKnown(tx)
		t.post(func() { t.committed(b, now, err) })
	}()
}

// commitUntilKnown repeats a commit until its outcome is known.
func (t *tenure) commitUntilKnown(tx *rows.Tx) error {
	pause := minCommitPause
	began := time.Now()
	ambiguous := false
	for {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		_, err := t.lease.Commit(ctx, tx)
		cancel()
		var conflict *rows.ConflictError
		if err == nil || errors.Is(err, election.ErrLost) || errors.As(err, &conflict) || errors.Is(err, rows.ErrInvalid) || t.ctx.Err() != nil {
			return err
		}
		if !clock.Sleep(t.ctx, pause) {
			return err
		}
		pause = min(2*pause, maxCommitPause)
		ambiguous = ambiguous || !errors.Is(err, rows.ErrUnavailable)
		if !ambiguous && time.Since(began) > refusedLimit {
			return errNotApplied
		}
	}
}

// errNotApplied tells that the store has refused every try of a commit.
var errNotApplied = errors.New("the table service has refused the commit")

// refusedLimit is how long a commit is tried that the store refuses each time.
const refusedLimit = 300 * time.Millisecond

// committed takes the outcome of a commit.
func (t *tenure) committed(b *cell.Batch, sent time.Duration, err error) {
	t.committing, t.batch = false, nil
	if errors.Is(err, errNotApplied) {
		t.cell.NotCommitted(b, errkind.Wrap(err, errkind.StoreUnavailable, "", "the work was not stored"))
		return
	}
	if err != nil {
		event.CommitFailed.Log(t.options.Logger, "epoch", t.epoch, "err", err)
		t.batch = b
		t.cancel(err)
		return
	}
	t.committedAt = sent
	t.cell.Committed(b)
}

// transaction returns the rows of a batch.
func transaction(b *cell.Batch) (*rows.Tx, error) {
	tx := &rows.Tx{}
	for i := range b.Rows {
		if err := addRows(tx, &b.Rows[i]); err != nil {
			return nil, err
		}
	}
	for _, id := range b.Forget {
		tx.Remove = append(tx.Remove, row(tableFinished, id, nil))
	}
	return tx, nil
}

func addRows(tx *rows.Tx, r *cell.Rows) error {
	if r.Finished != nil {
		tx.Remove = append(tx.Remove, row(tableWork, r.ID, nil), row(tableProgress, r.ID, nil))
		return put(tx, tableFinished, r.ID, r.Finished)
	}
	if r.Work != nil {
		if err := put(tx, tableWork, r.ID, r.Work); err != nil {
			return err
		}
	}
	return put(tx, tableProgress, r.ID, r.Progress)
}

func put(tx *rows.Tx, table, key string, value msgp.Marshaler) error {
	data, err := value.MarshalMsg(nil)
	if err != nil {
		return err
	}
	tx.Put = append(tx.Put, row(table, key, data))
	return nil
}

func row(table, key string, value []byte) rows.Row {
	return rows.Row{Table: table, Part: election.Part, Key: key, Value: value}
}

// load reads the records of the cell. It reports false if that can't be done.
func (t *tenure) load() bool {
	s := t.options.Settings
	began := t.options.Clock.Boot()
	ctx, cancel := context.WithTimeout(t.ctx, loadTimeout)
	defer cancel()
	records, err := t.readRecords(ctx)
	if err != nil {
		event.CellFailed.Log(t.options.Logger, "err", err)
		release, stop := context.WithTimeout(context.WithoutCancel(t.ctx), commitTimeout)
		defer stop()
		if err := t.lease.Release(release, ""); err != nil {
			event.CellFailed.Log(t.options.Logger, "err", err)
		}
		return false
	}
	lease := min(s.MaxTaskLease, preferredTaskLease)
	t.cell = cell.New(cell.Options{
		Epoch: t.epoch, TaskLease: lease, StopTimeout: s.StopTimeout, GangTimeout: s.GangTimeout,
		HarmTimeout: s.HarmTime, RestoreTime: s.RestoreTime, StatusRetention: s.StatusRetention,
		RemoteFactor: s.RemoteFactor, PriorLeasesEnd: began + unrenewedLimit + cell.LeaseBound(lease),
	})
	t.advance()
	t.configure()
	t.restore(records)
	event.CellLoaded.Log(t.options.Logger, "epoch", t.epoch, "works", len(records.works), "finished", len(records.finished),
		"took_ms", (t.options.Clock.Boot() - began).Milliseconds())
	return true
}

// preferredTaskLease is the lease of tasks where the platform allows it. It
// outlasts a takeover, and ends soon after a worker is lost.
const preferredTaskLease = 5 * time.Second

// records is what the tables say about the works.
type records struct {
	works, progress, finished []rows.Row
}

func (t *tenure) readRecords(ctx context.Context) (*records, error) {
	var r records
	for _, part := range []struct {
		table string
		out   *[]rows.Row
	}{{tableWork, &r.works}, {tableProgress, &r.progress}, {tableFinished, &r.finished}} {
		list, _, err := rows.All(ctx, t.options.Store, part.table, election.Part)
		if err != nil {
			return nil, err
		}
		*part.out = list
	}
	return &r, nil
}

func (t *tenure) restore(r *records) {
	for _, in := range r.finished {
		var p api.ProgressRow
		if _, err := p.UnmarshalMsg(in.Value); err != nil {
			event.RowUnreadable.Log(t.options.Logger, "table", in.Table, "key", in.Key, "err", err)
			continue
		}
		t.cell.RestoreFinished(in.Key, &p)
	}
	progress := make(map[string]*api.ProgressRow, len(r.progress))
	for _, in := range r.progress {
		var p api.ProgressRow
		if _, err := p.UnmarshalMsg(in.Value); err != nil {
			event.RowUnreadable.Log(t.options.Logger, "table", in.Table, "key", in.Key, "err", err)
			continue
		}
		progress[in.Key] = &p
	}
	for _, in := range r.works {
		var w api.WorkRow
		if _, err := w.UnmarshalMsg(in.Value); err != nil || progress[in.Key] == nil {
			event.RowUnreadable.Log(t.options.Logger, "table", in.Table, "key", in.Key, "err", err)
			continue
		}
		t.cell.Restore(&w, progress[in.Key])
	}
}
