package requests

import (
	"context"
	"errors"
	"fmt"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	rowPrefix = "request/"
	// maxInlineAnswer is the largest response body kept in a row; the table
	// service is made for small rows.
	maxInlineAnswer = 64 << 10
)

// errSuperseded means that the partition row has changed, so the partition has a
// newer owner.
var errSuperseded = errors.New("the partition has a newer owner")

// records reads and writes the rows of non-idempotent requests.
type records struct {
	partition string
	table     platform.Table
	batcher   platform.Batcher
	objects   platform.ObjectStore
	clock     clock.Clock
	logger    log.Logger
}

func newRecords(o *Options) *records {
	return &records{
		partition: o.Partition,
		table:     o.Table,
		batcher:   o.Batcher,
		objects:   o.Objects,
		clock:     o.Clock,
		logger:    o.Logger,
	}
}

// record is a row as it was last written or read.
type record struct {
	row     api.RequestRow
	version int64 // 0 if the row does not exist or the result of the write is not known
	// expectedVersion is the version that the row was expected to have before
	// it was written.
	expectedVersion int64
}

func rowKey(k requestKey) string { return rowPrefix + k.team + "/" + k.id }

// get reads a record.
func (r *records) get(ctx context.Context, k requestKey) (record, error) {
	row, err := r.table.Get(ctx, rowKey(k))
	if err != nil || row.Version == 0 {
		return record{}, err
	}
	out := record{version: row.Version}
	if _, err := out.row.UnmarshalMsg(row.Value); err != nil {
		return record{}, fmt.Errorf("decode request row %q: %w", row.Key, err)
	}
	return out, nil
}

// put writes row over the given version, provided that the lease is still in
// force. The row must have a new stamp, which shows after a lost response whether
// the write took effect.
func (r *records) put(ctx context.Context, lease api.PartitionLease, row *api.RequestRow, version int64) (int64, error) {
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return 0, fmt.Errorf("encode request row: %w", err)
	}
	key := rowKey(requestKey{row.Team, row.RequestId})
	checks := []platform.Check{
		{Key: key, Version: version},
		{Key: ownership.RowKey(lease.Partition), Version: int64(lease.RowVersion)},
	}
	return r.batcher.Commit(ctx, checks, []platform.Write{{Key: key, Value: value}})
}

// intentRow returns the row that announces that a request is about to be sent.
func (r *records) intentRow(a *attempt) api.RequestRow {
	req := a.request
	return api.RequestRow{
		Team:           req.key.team,
		RequestId:      req.key.id,
		Queue:          req.queue.Name,
		Partition:      a.lease.Partition,
		Epoch:          a.lease.Epoch,
		BodyHash:       req.bodyHash,
		State:          api.RequestStateIntent,
		RecordedUnixMs: int(r.clock.Now().UnixMilli()),
		Stamp:          platform.NewStamp(),
	}
}

// isNotRun reports whether the row is of a request with this body that was not run.
func (r *record) isNotRun(bodyHash string) bool {
	return r.row.State == api.RequestStateNotRun && r.row.BodyHash == bodyHash
}

// writeIntent records that a request is about to be sent. If an existing record
// rules this out, writeIntent returns that record and writes nothing.
//
// A repeated request may have a record, which is read first: a write as the first one would be
// certain to fail, and to fail the batch it is in.
func (r *records) writeIntent(ctx context.Context, a *attempt) (rec record, existing *record, err error) {
	rec.row = r.intentRow(a)
	if a.request.repeated {
		found, err := r.get(ctx, a.request.key)
		switch {
		case err != nil:
			return rec, nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, err) // nothing was written
		case found.version != 0 && !found.isNotRun(rec.row.BodyHash):
			return rec, &found, nil
		}
		rec.expectedVersion = found.version
	}
	for range 2 { // the second pass replaces the record of a request that was not run
		rec.version, err = r.put(ctx, a.lease, &rec.row, rec.expectedVersion)
		if err == nil {
			return rec, nil, nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrAmbiguous) {
			return rec, nil, err
		}
		found, readErr := r.get(ctx, a.request.key)
		switch {
		case readErr != nil:
			return rec, nil, fmt.Errorf("%w: %v", err, readErr)
		case found.row.Stamp == rec.row.Stamp:
			return found, nil, nil // the write succeeded but its response was lost
		case errors.Is(err, platform.ErrAmbiguous):
			return rec, nil, err // the write may still take effect
		case found.version == rec.expectedVersion:
			return rec, nil, errSuperseded
		case !found.isNotRun(rec.row.BodyHash):
			return rec, &found, nil
		}
		rec.expectedVersion = found.version
	}
	return rec, nil, err
}

// resultWrite is the write of the result of a request, over all its tries.
type resultWrite struct {
	intent      record
	row         api.RequestRow // holds the result
	mayBeStored bool           // the outcome of an earlier try is unknown
}

// mayBeReplaced reports whether a row that was found still is the one that an intent was
// written to, or that it may yet be written over.
func (r *record) mayBeReplaced(found record) bool {
	if r.version != 0 {
		return found.version == r.version
	}
	return found.row.Stamp == r.row.Stamp || found.version == r.expectedVersion
}

// writeResult tries to write the result of a request. If the outcome of the
// intent write is unknown, the result is written over the version that
// the intent expected, so that the intent cannot take effect later. A row that
// was changed by others is left as it is.
//
// A result that may be stored is read first: a write over its intent would be
// certain to fail, and to fail the batch it is in.
func (r *records) writeResult(ctx context.Context, lease api.PartitionLease, w *resultWrite) error {
	rec, row := w.intent, w.row
	version := rec.version
	if version == 0 || w.mayBeStored {
		found, err := r.get(ctx, requestKey{row.Team, row.RequestId})
		switch {
		case err != nil:
			return err
		case found.row.Stamp == row.Stamp:
			return nil // an earlier try has stored it
		case !rec.mayBeReplaced(found):
			return nil
		}
		version = found.version
	}
	_, err := r.put(ctx, lease, &row, version)
	if err == nil {
		return nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	w.mayBeStored = true
	found, readErr := r.get(ctx, requestKey{row.Team, row.RequestId})
	if readErr != nil {
		return fmt.Errorf("%w: %v", err, readErr)
	}
	if found.row.Stamp == row.Stamp {
		return nil
	}
	if errors.Is(err, platform.ErrConflict) && found.version == version {
		return errSuperseded
	}
	if errors.Is(err, platform.ErrConflict) {
		return platform.ErrConflict
	}
	return err
}

// resultRow returns the row that records a result. A response body too large
// for a row goes to the object store.
func (r *records) resultRow(ctx context.Context, rec record, res result) api.RequestRow {
	row := rec.row
	row.Stamp = platform.NewStamp()
	if res.err != nil {
		row.State, row.Reason = stateOfError(res.err)
		return row
	}
	row.State = api.RequestStateDone
	row.Status = res.resp.Status
	row.ContentType = res.resp.ContentType
	if len(res.resp.Body) <= maxInlineAnswer {
		row.Answer = res.resp.Body
		return row
	}
	key := rowKey(requestKey{row.Team, row.RequestId}) + "/" + row.Stamp
	if err := r.objects.Put(ctx, key, res.resp.Body); err != nil {
		event.AnswerNotStored.Log(r.logger, "team", row.Team, "request_id", row.RequestId, "err", err)
		row.State = api.RequestStateUnknown
		row.Reason = "the request ran, but its answer could not be stored"
		row.Status = 0
		row.ContentType = ""
		return row
	}
	row.ObjectKey = key
	return row
}

// storedResult returns the recorded result of a request.
func (r *records) storedResult(ctx context.Context, hash string, rec *record) result {
	row := &rec.row
	switch {
	case row.BodyHash != hash:
		return result{err: idConflictError(row.RequestId)}
	case row.State == api.RequestStateIntent:
		return result{err: outcomeUnknownError(nil, "an earlier owner sent the request and its answer is not recorded")}
	case row.State != api.RequestStateDone:
		return result{err: outcomeUnknownError(nil, row.Reason)}
	}
	body := row.Answer
	if row.ObjectKey != "" {
		var err error
		if body, err = r.objects.Get(ctx, row.ObjectKey); err != nil {
			return result{err: outcomeUnknownError(err, "the request ran; its recorded answer cannot be read")}
		}
	}
	return result{resp: &api.ExecuteResponse{
		Status:      row.Status,
		ContentType: row.ContentType,
		Body:        body,
		Replayed:    true,
	}}
}

// status reads the state of a request that is not in flight.
func (r *records) status(ctx context.Context, k requestKey) (*api.RequestStatus, error) {
	rec, err := r.get(ctx, k)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "", "the record of the request cannot be read")
	}
	switch {
	case rec.version == 0:
		return nil, errkind.New(errkind.NotFound, "id", "request %q is not known", k.id)
	case rec.row.State == api.RequestStateIntent:
		return &api.RequestStatus{State: api.RequestStateUnknown, Reason: "the answer of the upstream is not recorded"}, nil
	}
	return &api.RequestStatus{State: rec.row.State, Reason: rec.row.Reason}, nil
}
