package platform

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"
)

// Rows are stored as one byte with the length of the stamp, the stamp and the
// value. The stamp is random and names the operation that wrote the row; it
// tells after a lost answer whether the operation was applied.

// maxStampBytes is what the length byte can tell.
const maxStampBytes = 255

// NewStamp returns a random stamp.
func NewStamp() string { return rand.Text() }

// Encode returns value as it is stored by the operation with the given stamp of
// at most 255 bytes.
func Encode(stamp string, value []byte) []byte {
	stamp = stamp[:min(len(stamp), maxStampBytes)]
	stored := make([]byte, 0, 1+len(stamp)+len(value))
	stored = append(stored, byte(len(stamp)))
	stored = append(stored, stamp...)
	return append(stored, value...)
}

// Decode splits a stored value into the stamp of its writer and the value.
func Decode(stored []byte) (stamp string, value []byte, err error) {
	if len(stored) == 0 {
		return "", nil, errors.New("the stored value has no stamp")
	}
	n := 1 + int(stored[0])
	if len(stored) < n {
		return "", nil, errors.Errorf("the stored value has %d bytes, its stamp needs %d", len(stored), n)
	}
	return string(stored[1:n]), stored[n:], nil
}

// StampedTable is a Table whose values carry stamps in the store. Its users see
// plain values. Commit settles ambiguous results by reading back; it fails with
// ErrAmbiguous only if the context ends first or Op.Writes has no row that
// Op.Checks covers.
type StampedTable struct{ raw Table }

// NewStampedTable returns a table that stores its rows in raw.
func NewStampedTable(raw Table) *StampedTable { return &StampedTable{raw: rawTable(raw)} }

// rawTable returns the table that stores stamps, so that none is added twice.
func rawTable(t Table) Table {
	if s, ok := t.(*StampedTable); ok {
		return s.raw
	}
	return t
}

// Get returns a row with its plain value.
func (t *StampedTable) Get(ctx context.Context, key string) (Row, error) {
	row, err := t.raw.Get(ctx, key)
	if err != nil {
		return Row{}, err
	}
	return plain(row)
}

// Scan returns rows with their plain values.
func (t *StampedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := t.raw.Scan(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		if rows[i], err = plain(rows[i]); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Commit applies a transaction. It returns ErrUnavailable without a retry.
func (t *StampedTable) Commit(ctx context.Context, checks []Check, writes []Write) (int64, error) {
	a := newAttempt(t.raw, Op{Checks: checks, Writes: writes})
	a.giveUpUnavailable = true
	return a.run(ctx)
}

func plain(row Row) (Row, error) {
	if row.Version == 0 {
		return row, nil
	}
	_, value, err := Decode(row.Value)
	if err != nil {
		return Row{}, errors.Wrapf(err, "row %q", row.Key)
	}
	row.Value = value
	return row, nil
}
