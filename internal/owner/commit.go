package owner

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
)

// Tables that store works. All their rows are in the part of the ownership row
// (election.Part).
const (
	tableWork     = "work"     // api.WorkRow, written once, removed when the work finishes
	tableProgress = "progress" // api.ProgressRow, removed when the work finishes
	tableFinished = "finished" // api.ProgressRow of a finished work, kept for the retention time
)

// Spacing of the commits, backoff between the tries of one, and the timeout of one try.
const (
	minCommitSpacing  = 12 * time.Millisecond // between the starts of two commits
	idleCommitSpacing = 60 * time.Millisecond // between commits that only renew the ownership
	minCommitBackoff  = 10 * time.Millisecond
	maxCommitBackoff  = 150 * time.Millisecond
	commitTimeout     = 900 * time.Millisecond // besides the time to transfer the values
	// commitBytesPerSecond is how many bytes of values a link of 10 Mbit/s transfers, encoded as
	// text. Other calls may use the link as well, so each try that has timed out doubles the
	// time for the transfer up to maxTransferDoublings times.
	commitBytesPerSecond = 768 << 10
	maxTransferDoublings = 2
)

// startCommit starts the next commit if one is due. Only one commit is in flight at
// a time, so that the records are written in order.
func (t *tenure) startCommit(now time.Duration) {
	if t.commitInFlight || now-t.commitSentAt < minCommitSpacing {
		return
	}
	if t.finalCommitSent {
		t.releaseOwnership()
		return
	}
	t.finalCommitSent = t.handingOver
	b := t.cell.TakeBatch()
	if b == nil && t.handingOver {
		t.releaseOwnership()
		return
	}
	if b == nil && now-t.commitSentAt < idleCommitSpacing {
		return
	}
	if b == nil {
		b = &cell.Batch{}
	} else if b.Empty() {
		t.cell.Committed(b)
		return
	}
	t.savedRunTimes.inCommit = false
	tx, err := buildTx(b)
	if err == nil {
		err = t.addLeaseEnds(tx, b)
	}
	if err == nil {
		err = t.addRunTimes(tx, now)
	}
	if err != nil {
		t.commitRejected(b, err)
		return
	}
	t.commitInFlight, t.commitSentAt, t.batchInFlight = true, now, b
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		err := t.commitUntilOutcomeKnown(tx)
		t.enqueue(func() { t.finishCommit(b, now, err) })
	}()
}

// commitUntilOutcomeKnown retries a commit until its outcome is known.
func (t *tenure) commitUntilOutcomeKnown(tx *rows.Tx) error {
	pause := minCommitBackoff
	began := time.Now()
	ambiguous := false
	timeouts := 0
	for {
		ctx, cancel := context.WithTimeout(t.ctx, commitTryTimeout(tx, timeouts))
		_, err := t.lease.Commit(ctx, tx)
		if ctx.Err() != nil {
			timeouts++
		}
		cancel()
		var conflict *rows.ConflictError
		if errors.Is(err, rows.ErrInvalid) && !ambiguous {
			return errors.Join(errCommitRejected, err)
		}
		if err == nil || errors.Is(err, election.ErrLost) || errors.As(err, &conflict) || errors.Is(err, rows.ErrInvalid) || t.ctx.Err() != nil {
			return err
		}
		if !clock.Sleep(t.ctx, pause) {
			return err
		}
		pause = min(2*pause, maxCommitBackoff)
		ambiguous = ambiguous || !errors.Is(err, rows.ErrUnavailable)
		if !ambiguous && time.Since(began) > unavailableCommitTimeout {
			return errCommitNotApplied
		}
	}
}

// commitTryTimeout returns the time limit of a try, after a number of tries that have timed out.
// It grows with the commit: with the same limit for all, no try of a large one would be complete
// on a narrow link, and the owner would store nothing any more.
func commitTryTimeout(tx *rows.Tx, timeouts int) time.Duration {
	valueBytes := 0
	for _, r := range tx.Put {
		valueBytes += len(r.Value)
	}
	transfer := time.Duration(valueBytes) * time.Second / commitBytesPerSecond
	return commitTimeout + transfer<<min(timeouts, maxTransferDoublings)
}

// errCommitRejected means that the table service has found a commit invalid, and that no try
// of it can have been applied.
var errCommitRejected = errors.New("the table service has rejected the commit")

// errCommitNotApplied means that the table service did not carry out any try of a
// commit, so that nothing was applied.
var errCommitNotApplied = errors.New("the table service did not carry out any try of the commit")

// unavailableCommitTimeout is how long a commit is retried while the table service
// reports rows.ErrUnavailable for each try.
const unavailableCommitTimeout = 300 * time.Millisecond

// finishCommit passes the outcome of a commit to the core. It ends the tenure unless the
// commit is known to have been applied or not to have been carried out. The commit counts as in
// flight then, so that a pass before the end of the tenure does not take what it wrote for stored.
func (t *tenure) finishCommit(b *cell.Batch, sent time.Duration, err error) {
	notApplied, rejected := errors.Is(err, errCommitNotApplied), errors.Is(err, errCommitRejected)
	if err != nil && !notApplied && !rejected {
		event.CommitFailed.Log(t.options.Logger, "epoch", t.epoch, "err", err)
		t.cancel(err)
		return
	}
	t.commitInFlight, t.batchInFlight = false, nil
	switch {
	case notApplied:
		t.cell.NotCommitted(b, errkind.Wrap(err, errkind.StoreUnavailable, "", "the work was not stored"))
	case rejected:
		t.commitRejected(b, err)
	default:
		t.ownershipRenewed(sent)
		t.leaseEndsCommitted(b)
		t.cell.Committed(b)
	}
}

// commitRejected passes the rejection of a commit to the core. The ownership is not in
// doubt, and the other works go on. If the commit had the learned run times, these may be the
// cause, so the batch is committed again without them.
func (t *tenure) commitRejected(b *cell.Batch, err error) {
	event.CommitRejected.Log(t.options.Logger, "epoch", t.epoch, "works", len(b.Rows), "err", err)
	t.finalCommitSent = false
	if t.savedRunTimes.inCommit {
		t.savedRunTimes.disabled = true
		t.cell.CommitAgain(b)
		return
	}
	t.cell.CommitRejected(b, errkind.Wrap(err, errkind.InvalidArgument, "", "the work can't be stored"))
}

// buildTx returns the transaction that writes a batch.
func buildTx(b *cell.Batch) (*rows.Tx, error) {
	tx := &rows.Tx{}
	for i := range b.Rows {
		if err := addRows(tx, &b.Rows[i]); err != nil {
			return nil, err
		}
	}
	for _, id := range b.Expired {
		tx.Remove = append(tx.Remove, newRow(tableFinished, id, nil))
	}
	return tx, nil
}

func addRows(tx *rows.Tx, r *cell.Rows) error {
	for part := len(r.Progress); part < r.StoredParts; part++ {
		tx.Remove = append(tx.Remove, newRow(tableProgress, progressKey(r.ID, part), nil))
	}
	if r.Finished != nil {
		tx.Remove = append(tx.Remove, newRow(tableWork, r.ID, nil))
		return appendPut(tx, tableFinished, r.ID, r.Finished)
	}
	if r.Work != nil {
		if err := appendPut(tx, tableWork, r.ID, r.Work); err != nil {
			return err
		}
	}
	for part, p := range r.Progress {
		if err := appendPut(tx, tableProgress, progressKey(r.ID, part), p); err != nil {
			return err
		}
	}
	return nil
}

// partSeparator stands in the key of a progress row between the ID of the work and the
// number of the part.
const partSeparator = "/"

// progressKey returns the key of a part of the progress of a work. The first part has the ID
// of the work as its key.
func progressKey(id string, part int) string {
	if part == 0 {
		return id
	}
	return id + partSeparator + strconv.Itoa(part)
}

// parseProgressKey returns the ID of the work and the number of the part.
func parseProgressKey(key string) (id string, part int) {
	id, number, _ := strings.Cut(key, partSeparator)
	part, _ = strconv.Atoi(number)
	return id, part
}

func appendPut(tx *rows.Tx, table, key string, value msgp.Marshaler) error {
	data, err := value.MarshalMsg(nil)
	if err != nil {
		return err
	}
	tx.Put = append(tx.Put, newRow(table, key, data))
	return nil
}

func newRow(table, key string, value []byte) rows.Row {
	return rows.Row{Table: table, Part: election.Part, Key: key, Value: value}
}
