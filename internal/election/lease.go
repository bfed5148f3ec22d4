// Package election decides which node owns the cell. The owner is named by one
// row of the table service. Every commit of the owner rewrites that row under the
// condition that it is unchanged, so a commit of an earlier owner, or one that is
// carried out late, fails.
package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/rows"
)

// Place of the ownership row. All rows of the owner lie in the same part, so that
// they can be written together with it.
const (
	Part      = "cell"
	tableCell = "cell"
	keyOwner  = "owner"
)

// ErrLost tells that another node owns the cell.
var ErrLost = errors.New("another node owns the cell")

// Holder is the node that claims the cell.
type Holder struct {
	Node        string
	Incarnation string
	Address     string // of the peer listener
}

// Lease is the ownership of the cell by this process.
type Lease struct {
	store  rows.Store
	holder Holder

	mu      sync.Mutex // held during a commit
	record  api.CellLease
	version int64 // of the ownership row
}

// Epoch returns the fencing token of this owner.
func (l *Lease) Epoch() int { return l.record.Epoch }

// ownerRow is the ownership row as it was read.
type ownerRow struct {
	record  api.CellLease
	version int64 // 0 if there is no row
}

// readOwner reads the ownership row. A row that can't be decoded counts as an
// owner that is gone.
func readOwner(ctx context.Context, store rows.Store) (ownerRow, error) {
	page, err := store.Range(ctx, tableCell, Part, keyOwner)
	if err != nil {
		return ownerRow{}, err
	}
	for _, r := range page.Rows {
		if r.Key == keyOwner {
			return decodeOwner(r), nil
		}
	}
	return ownerRow{}, nil
}

func decodeOwner(r rows.Row) ownerRow {
	out := ownerRow{version: r.Version}
	if _, err := out.record.UnmarshalMsg(r.Value); err != nil {
		out.record = api.CellLease{Released: true}
	}
	return out
}

// claim takes the cell over from the owner in the row. It returns ErrLost if the
// row has changed since it was read.
func claim(ctx context.Context, store rows.Store, h Holder, from ownerRow) (*Lease, error) {
	l := &Lease{store: store, holder: h, version: from.version}
	l.record = api.CellLease{
		Epoch: from.record.Epoch + 1, Node: h.Node, Incarnation: h.Incarnation, Address: h.Address,
	}
	if _, err := l.put(ctx, &rows.Tx{}, l.record); err != nil {
		return nil, err
	}
	return l, nil
}

// Commit applies a transaction if this process still owns the cell. After an
// error that is neither ErrLost nor a *rows.ConflictError the same transaction
// must be committed again before any other.
func (l *Lease) Commit(ctx context.Context, tx *rows.Tx) (rows.Stamp, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.record
	next.Commit++
	stamp, err := l.put(ctx, tx, next)
	if err == nil {
		l.record = next
	}
	return stamp, err
}

// Release gives the cell up, so that the successor, or another node if it is empty,
// takes it over at once.
func (l *Lease) Release(ctx context.Context, successor string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.record
	next.Commit++
	next.Released, next.Successor = true, successor
	_, err := l.put(ctx, &rows.Tx{}, next)
	return err
}

// put writes the ownership row beside a transaction.
func (l *Lease) put(ctx context.Context, tx *rows.Tx, record api.CellLease) (rows.Stamp, error) {
	value, err := record.MarshalMsg(nil)
	if err != nil {
		return rows.Stamp{}, err
	}
	own := &rows.Tx{
		Expect: append([]rows.Expectation{{Table: tableCell, Part: Part, Key: keyOwner, Version: l.version}}, tx.Expect...),
		Put:    append([]rows.Row{{Table: tableCell, Part: Part, Key: keyOwner, Value: value}}, tx.Put...),
		Remove: tx.Remove,
	}
	stamp, err := l.store.Commit(ctx, own)
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		l.version = stamp.Version
		return stamp, nil
	case errors.As(err, &conflict):
		return l.resolve(conflict, record)
	}
	return rows.Stamp{}, err
}

// resolve tells a conflict that an earlier try of the same commit has caused from
// one with another owner.
func (l *Lease) resolve(conflict *rows.ConflictError, record api.CellLease) (rows.Stamp, error) {
	for _, r := range conflict.Rows {
		if r.Table != tableCell || r.Key != keyOwner {
			continue
		}
		current := decodeOwner(r)
		if current.record == record {
			l.version = r.Version
			return rows.Stamp{Version: r.Version}, nil
		}
		if r.Version == l.version {
			return rows.Stamp{}, conflict
		}
	}
	return rows.Stamp{}, ErrLost
}

// commitTimeout bounds one try of a commit.
const commitTimeout = 900 * time.Millisecond
