package jobs

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	jobPrefix = "job/"
	// firstSaveTimeout limits the first write of a job, because its submitter
	// is waiting.
	firstSaveTimeout = 2 * time.Second
)

// TableRecords stores job rows in the table service. Writes go through the
// group commit; reads go directly to the table.
type TableRecords struct {
	table   platform.Table
	batcher platform.Batcher
}

// NewTableRecords returns Records stored in table. The table must return values
// without the stamps that the batcher stores with them.
func NewTableRecords(table platform.Table, batcher platform.Batcher) *TableRecords {
	return &TableRecords{table: table, batcher: batcher}
}

func recordKey(partition, team, id string) string {
	return jobPrefix + partition + "/" + team + "/" + id
}

// Load returns a page of all records of a partition.
func (t *TableRecords) Load(ctx context.Context, partition, after string, limit int) ([]Record, string, error) {
	rows, err := t.table.Scan(ctx, jobPrefix+partition+"/", after, limit)
	if err != nil {
		return nil, "", storeError(err)
	}
	// A page may be cut short by its size in bytes; only an empty page is the end.
	records, err := decodeRecords(rows)
	if err != nil || len(rows) == 0 {
		return records, "", err
	}
	return records, rows[len(rows)-1].Key, nil
}

// Get returns one record.
func (t *TableRecords) Get(ctx context.Context, ref api.JobRef) (Record, error) {
	row, err := t.table.Get(ctx, recordKey(ref.Partition, ref.Team, ref.Id))
	if err != nil {
		return Record{}, storeError(err)
	}
	if row.Version == 0 {
		return Record{}, nil
	}
	return decodeRecord(row)
}

// List returns records of one team, or of all teams if team is empty. after is a
// job ID, or team/job ID if team is empty.
func (t *TableRecords) List(ctx context.Context, partition, team, after string, limit int) ([]Record, error) {
	prefix := jobPrefix + partition + "/"
	if team != "" {
		prefix += team + "/"
	}
	if after != "" {
		after = prefix + after
	}
	var all []platform.Row
	for len(all) < limit {
		rows, err := t.table.Scan(ctx, prefix, after, limit-len(all))
		if err != nil {
			return nil, storeError(err)
		}
		if len(rows) == 0 {
			break
		}
		all = append(all, rows...)
		after = rows[len(rows)-1].Key
	}
	return decodeRecords(all)
}

// Save writes a record.
func (t *TableRecords) Save(ctx context.Context, lease api.PartitionLease, r Record) (int64, error) {
	value, err := r.Row.MarshalMsg(nil)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Internal, "", "job record cannot be encoded")
	}
	if r.Version == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstSaveTimeout)
		defer cancel()
	}
	key := recordKey(lease.Partition, r.Row.Spec.Team, r.Row.Spec.Id)
	version, err := t.batcher.Commit(ctx, commitChecks(lease, key, r.Version), []platform.Write{{Key: key, Value: value}})
	return version, t.commitError(ctx, lease, err)
}

// Delete removes a record.
func (t *TableRecords) Delete(ctx context.Context, lease api.PartitionLease, r Record) error {
	key := recordKey(lease.Partition, r.Row.Spec.Team, r.Row.Spec.Id)
	_, err := t.batcher.Commit(ctx, commitChecks(lease, key, r.Version), []platform.Write{{Key: key, Delete: true}})
	return t.commitError(ctx, lease, err)
}

func commitChecks(lease api.PartitionLease, key string, version int64) []platform.Check {
	return []platform.Check{
		{Key: ownership.RowKey(lease.Partition), Version: int64(lease.RowVersion)},
		{Key: key, Version: version},
	}
}

// commitError distinguishes a lost lease from a changed record after a
// conflict.
func (t *TableRecords) commitError(ctx context.Context, lease api.PartitionLease, err error) error {
	if !errors.Is(err, platform.ErrConflict) {
		return storeError(err)
	}
	row, getErr := t.table.Get(ctx, ownership.RowKey(lease.Partition))
	if getErr != nil {
		return storeError(getErr)
	}
	if row.Version != int64(lease.RowVersion) {
		return ErrSuperseded
	}
	return ErrRecordChanged
}

// storeError maps an error of the table service to an error kind.
func storeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrAmbiguous):
		return errkind.Wrap(err, errkind.OutcomeUnknown, "", "the table service may have applied the write")
	default:
		return errkind.Wrap(err, errkind.StoreUnavailable, "", "the table service did not carry out the operation")
	}
}

func decodeRecords(rows []platform.Row) ([]Record, error) {
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		r, err := decodeRecord(row)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func decodeRecord(row platform.Row) (Record, error) {
	r := Record{Version: row.Version}
	if _, err := r.Row.UnmarshalMsg(row.Value); err != nil {
		return Record{}, errkind.Wrap(err, errkind.Internal, "", "job record %s is malformed", strings.TrimPrefix(row.Key, jobPrefix))
	}
	return r, nil
}
