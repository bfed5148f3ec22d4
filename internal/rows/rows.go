// Package rows describes the transactional table service that holds what must
// outlive the nodes, and follows the changes of a table.
package rows

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table. Versions come from one counter of the whole service.
type Row struct {
	Table   string
	Part    string // unit of order and of load within the service
	Key     string
	Value   []byte
	Version int64
	Removed bool // in a feed: the row was removed
}

// Expectation is the version that a row must have; 0 if it must not exist.
type Expectation struct {
	Table, Part, Key string
	Version          int64
}

// Tx is applied whole or not at all. All its rows have the same part.
type Tx struct {
	Expect []Expectation
	Put    []Row
	Remove []Row
}

// Stamp is when a transaction was applied or a page was read.
type Stamp struct {
	Version int64         // newest version of the service
	Clock   time.Duration // steady clock of the service
}

// Page is a list of rows as of a single moment.
type Page struct {
	Rows      []Row
	Truncated bool
	Stamp
}

// Store is the table service.
//
// Commit returns a *ConflictError if an expectation failed, an error that wraps
// ErrUnavailable or ErrInvalid if nothing was done, and any other error if the transaction may
// have been applied or may still be.
type Store interface {
	Commit(ctx context.Context, tx *Tx) (Stamp, error)
	// Range returns the rows of a part in key order, from the key on.
	Range(ctx context.Context, table, part, from string) (Page, error)
	// Feed returns the rows of a table that changed after a version. It waits at
	// most the given time for the first. The error is ErrCompacted if the history
	// since that version is gone.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Errors of a Store.
var (
	ErrUnavailable = fmt.Errorf("the table service did nothing")
	ErrInvalid     = fmt.Errorf("the table service can't read the call")
	ErrCompacted   = fmt.Errorf("the history of the table is gone")
)

// ConflictError tells that an expectation failed and nothing was done.
type ConflictError struct {
	Rows []Row // the present rows that were expected to have another version
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d expected rows, at least one has another version", len(e.Rows))
}

// All returns all rows of a part and the version from which a feed continues.
// Rows that change between two pages are repeated by that feed.
func All(ctx context.Context, s Store, table, part string) ([]Row, Stamp, error) {
	var out []Row
	var first Stamp
	from := ""
	for {
		page, err := s.Range(ctx, table, part, from)
		if err != nil {
			return nil, Stamp{}, err
		}
		if first.Version == 0 {
			first = page.Stamp
		}
		out = append(out, page.Rows...)
		if !page.Truncated || len(page.Rows) == 0 {
			return out, first, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
