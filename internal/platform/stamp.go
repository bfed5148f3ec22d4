package platform

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"
)

// The stored value of a row is one byte with the length of the stamp, the stamp and the
// value. The stamp is random and identifies the operation that wrote the row. After a
// lost response it shows whether the operation was applied.

// maxStampBytes is the largest length that fits into the length byte.
const maxStampBytes = 255

// NewStamp returns a random stamp.
func NewStamp() string { return rand.Text() }

// EncodeStamped returns the stored form of a value that is written by the operation with
// the given stamp. It truncates a stamp to 255 bytes.
func EncodeStamped(stamp string, value []byte) []byte {
	stamp = stamp[:min(len(stamp), maxStampBytes)]
	stored := make([]byte, 0, 1+len(stamp)+len(value))
	stored = append(stored, byte(len(stamp)))
	stored = append(stored, stamp...)
	return append(stored, value...)
}

// DecodeStamped splits a stored value into the stamp of its writer and the value.
func DecodeStamped(stored []byte) (stamp string, value []byte, err error) {
	if len(stored) == 0 {
		return "", nil, errors.New("the stored value has no stamp")
	}
	n := 1 + int(stored[0])
	if len(stored) < n {
		return "", nil, errors.Errorf("the stored value has %d bytes, but its stamp requires at least %d", len(stored), n)
	}
	return string(stored[1:n]), stored[n:], nil
}

// StampedTable is a Table that stores values with stamps and returns them without.
// Commit resolves ambiguous results by reading the rows. It returns ErrAmbiguous only
// if the context ends first or none of the written rows has a check.
type StampedTable struct{ raw Table }

// NewStampedTable returns a StampedTable that stores its rows in raw.
func NewStampedTable(raw Table) *StampedTable { return &StampedTable{raw: rawTable(raw)} }

// rawTable returns the table below a StampedTable, so that stamps are not added twice.
func rawTable(t Table) Table {
	if s, ok := t.(*StampedTable); ok {
		return s.raw
	}
	return t
}

// Get returns a row with its value without the stamp.
func (t *StampedTable) Get(ctx context.Context, key string) (Row, error) {
	row, err := t.raw.Get(ctx, key)
	if err != nil {
		return Row{}, err
	}
	return stripStamp(row)
}

// Scan returns rows with their values without the stamps.
func (t *StampedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := t.raw.Scan(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		if rows[i], err = stripStamp(rows[i]); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Commit applies a transaction. It returns ErrUnavailable without a retry.
func (t *StampedTable) Commit(ctx context.Context, checks []Check, writes []Write) (int64, error) {
	a := newAttempt(t.raw, Operation{Checks: checks, Writes: writes})
	a.failOnUnavailable = true
	return a.run(ctx)
}

func stripStamp(row Row) (Row, error) {
	if row.Version == 0 {
		return row, nil
	}
	_, value, err := DecodeStamped(row.Value)
	if err != nil {
		return Row{}, errors.Wrapf(err, "row %q", row.Key)
	}
	row.Value = value
	return row, nil
}
