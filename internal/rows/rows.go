// Package rows defines the interface of the transactional table service, which stores the
// state that must outlive the nodes, and a Follower of the changes of a table.
package rows

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table. Versions come from a single counter of the service.
type Row struct {
	Table   string
	Part    string // partition of the table, the unit of ordering and of load in the service
	Key     string
	Value   []byte
	Version int64
	Removed bool // in a feed: this change removed the row
}

// Precondition is a condition for a transaction: the version that a row must have, 0 if
// the row must not exist.
type Precondition struct {
	Table, Part, Key string
	Version          int64
}

// Tx is a transaction: the rows to write and to remove if all preconditions hold. All
// its rows must have the same part.
type Tx struct {
	Preconditions []Precondition
	Put           []Row
	Remove        []Row
}

// Timestamp is the version and the time at which a transaction was applied or a page
// was read.
type Timestamp struct {
	Version int64         // newest version in the service
	Clock   time.Duration // monotonic clock of the service
}

// Page is a list of rows, read at one version.
type Page struct {
	Rows      []Row
	Truncated bool
	Timestamp
}

// Store is the table service.
//
// Commit returns a *ConflictError if a precondition failed, an error that wraps
// ErrUnavailable or ErrInvalid if nothing was applied, and any other error if the
// transaction may have been applied or may still be.
type Store interface {
	Commit(ctx context.Context, tx *Tx) (Timestamp, error)
	// Range returns the rows of a part in key order, beginning at the key from.
	Range(ctx context.Context, table, part, from string) (Page, error)
	// Feed returns the rows of a table that changed after a version. It waits at most
	// the given time for the first change. The error is ErrCompacted if the history
	// since that version has been compacted.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Errors that a Store returns.
var (
	ErrUnavailable = fmt.Errorf("the table service did not carry out the call")
	ErrInvalid     = fmt.Errorf("the table service found the call invalid")
	ErrCompacted   = fmt.Errorf("the history of the table has been compacted")
)

// ConflictError means that a precondition failed and nothing was applied.
type ConflictError struct {
	Rows []Row // current rows of the preconditions, as returned by the service
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a precondition of the transaction failed; the table service returned %d current rows", len(e.Rows))
}

// All returns all rows of a part and the timestamp of the first page. A feed that
// continues from the version of the timestamp repeats the rows that changed between
// two pages.
func All(ctx context.Context, s Store, table, part string) ([]Row, Timestamp, error) {
	var out []Row
	var first Timestamp
	from := ""
	for {
		page, err := s.Range(ctx, table, part, from)
		if err != nil {
			return nil, Timestamp{}, err
		}
		if first.Version == 0 {
			first = page.Timestamp
		}
		out = append(out, page.Rows...)
		if !page.Truncated || len(page.Rows) == 0 {
			return out, first, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
