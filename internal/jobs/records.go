package jobs

import (
	"context"

	"github.com/endivehill/endivehill/internal/api"
)

// Record is a job row and its version in the table service.
type Record struct {
	Row     api.JobRow
	Version int64 // 0: not stored yet
}

// Records stores job rows.
type Records interface {
	// Load returns at most limit records of a partition with keys after the
	// given one, in key order, and the key from which to continue, which is
	// empty at the end. A page may hold fewer than limit records without being
	// the last.
	Load(ctx context.Context, partition, after string, limit int) (records []Record, next string, err error)
	// Get returns one record; Version is 0 if it does not exist.
	Get(ctx context.Context, ref api.JobRef) (Record, error)
	// List returns records of one team in key order.
	List(ctx context.Context, partition, team, after string, limit int) ([]Record, error)
	// Save writes a record if the stored version is still r.Version and lease is
	// still in force, and returns the new version. It returns ErrSuperseded if
	// the lease is not in force, and ErrRecordChanged if the record has another
	// version.
	Save(ctx context.Context, lease api.PartitionLease, r Record) (int64, error)
	// Delete removes the record of a finished job under the same conditions.
	Delete(ctx context.Context, lease api.PartitionLease, r Record) error
}
