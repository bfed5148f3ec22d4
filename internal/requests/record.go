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
	// maxInlineAnswer is the largest answer kept in a row; the table service is
	// made for small rows.
	maxInlineAnswer = 64 << 10
)

// errLost means that the partition row has changed: there is a newer owner.
var errLost = errors.New("the partition has a newer owner")

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
	// expected is the version that the write of row checked.
	expected int64
}

func rowKey(k callKey) string { return rowPrefix + k.team + "/" + k.id }

// get reads a record.
func (r *records) get(ctx context.Context, k callKey) (record, error) {
	row, err := r.table.Get(ctx, rowKey(k))
	if err != nil || row.Version == 0 {
		return record{}, err
	}
	out := record{version: row.Version}
	if _, err := out.row.UnmarshalMsg(row.Value); err != nil {
		return record{}, fmt.Errorf("row %q: %w", row.Key, err)
	}
	return out, nil
}

// put writes row over the given version, provided that the lease is still in
// force. The stamp of the row must be new.
func (r *records) put(ctx context.Context, lease api.PartitionLease, row *api.RequestRow, version int64) (int64, error) {
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return 0, fmt.Errorf("request row: %w", err)
	}
	key := rowKey(callKey{row.Team, row.RequestId})
	checks := []platform.Check{
		{Key: key, Version: version},
		{Key: ownership.RowKey(lease.Partition), Version: int64(lease.RowVersion)},
	}
	return r.batcher.Commit(ctx, checks, []platform.Write{{Key: key, Value: value}})
}

// intent returns the row that says that a call is about to be sent.
func (r *records) intent(run *run) api.RequestRow {
	c := run.call
	return api.RequestRow{
		Team:           c.key.team,
		RequestId:      c.key.id,
		Queue:          c.queue.Name,
		Partition:      run.lease.Partition,
		Epoch:          run.lease.Epoch,
		BodyHash:       c.hash,
		State:          api.RequestStateIntent,
		RecordedUnixMs: int(r.clock.Now().UnixMilli()),
		Stamp:          platform.NewStamp(),
	}
}

// begin records that run is about to be sent. If the request has a record that
// rules this out, begin returns it as prior and writes nothing.
func (r *records) begin(ctx context.Context, run *run) (rec record, prior *record, err error) {
	rec.row = r.intent(run)
	for range 2 { // a record of a request that was not run is replaced
		rec.version, err = r.put(ctx, run.lease, &rec.row, rec.expected)
		if err == nil {
			return rec, nil, nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrAmbiguous) {
			return rec, nil, err
		}
		found, readErr := r.get(ctx, run.call.key)
		switch {
		case readErr != nil:
			return rec, nil, fmt.Errorf("%w: %v", err, readErr)
		case found.row.Stamp == rec.row.Stamp:
			return found, nil, nil // the write took effect; its response was lost
		case errors.Is(err, platform.ErrAmbiguous):
			return rec, nil, err // it may still take effect
		case found.version == rec.expected:
			return rec, nil, errLost
		case found.row.State != api.RequestStateNotRun || found.row.BodyHash != rec.row.BodyHash:
			return rec, &found, nil
		}
		rec.expected = found.version
	}
	return rec, nil, err
}

// finish records the end of a call. If the result of writing the intent is not
// known, the end is written in its place, so that the intent cannot take effect
// later. A row that was changed by others is left as it is.
func (r *records) finish(ctx context.Context, lease api.PartitionLease, rec record, end api.RequestRow) error {
	version := rec.version
	if version == 0 {
		found, err := r.get(ctx, callKey{rec.row.Team, rec.row.RequestId})
		if err != nil {
			return err
		}
		if found.row.Stamp != rec.row.Stamp && found.version != rec.expected {
			return nil
		}
		version = found.version
	}
	_, err := r.put(ctx, lease, &end, version)
	if err == nil {
		return nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	found, readErr := r.get(ctx, callKey{end.Team, end.RequestId})
	if readErr != nil {
		return fmt.Errorf("%w: %v", err, readErr)
	}
	if found.row.Stamp == end.Stamp {
		return nil
	}
	if errors.Is(err, platform.ErrConflict) && found.version == version {
		return errLost
	}
	if errors.Is(err, platform.ErrConflict) {
		return platform.ErrConflict
	}
	return err
}

// end returns the row that records a result. An answer that is too large for a
// row goes to the object store.
func (r *records) end(ctx context.Context, rec record, res result) api.RequestRow {
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
	key := rowKey(callKey{row.Team, row.RequestId}) + "/" + row.Stamp
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

// replay returns the result of a request that has a record.
func (r *records) replay(ctx context.Context, hash string, rec *record) result {
	row := &rec.row
	switch {
	case row.BodyHash != hash:
		return result{err: idConflict(row.RequestId)}
	case row.State == api.RequestStateIntent:
		return result{err: unknown(nil, "an earlier owner sent the request and its answer is not recorded")}
	case row.State != api.RequestStateDone:
		return result{err: unknown(nil, row.Reason)}
	}
	body := row.Answer
	if row.ObjectKey != "" {
		var err error
		if body, err = r.objects.Get(ctx, row.ObjectKey); err != nil {
			return result{err: unknown(err, "the request ran; its recorded answer cannot be read")}
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
func (r *records) status(ctx context.Context, k callKey) (*api.RequestStatus, error) {
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
