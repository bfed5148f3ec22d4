package standin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/endivehill/endivehill/internal/platform"
)

// Limits of the table service.
const (
	maxScanRows      = 1000
	maxTableKeyBytes = 512
	maxCommitBytes   = 8 << 20
	maxScanBytes     = 4 << 20 // a page ends with the row that reaches this size
)

// Table stands in for the table service. It implements platform.Table for use
// inside a process and http.Handler for use over HTTP, with the same faults.
type Table struct {
	faultInjector
	mux *http.ServeMux

	rowsMu  sync.Mutex
	rows    map[string]platform.Row
	version int64
	counts  TableCounts
}

// TableCounts counts the calls that a table processed, without refused calls.
type TableCounts struct {
	Gets      int
	Scans     int
	Commits   int // transactions applied
	Conflicts int
	Lost      int // applied transactions whose answer was lost
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{rows: map[string]platform.Row{}, mux: http.NewServeMux()}
	t.registerRoutes()
	return t
}

// Counts returns the counts so far.
func (t *Table) Counts() TableCounts {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	return t.counts
}

// Get returns a row.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.injectedError(ctx, false); err != nil {
		return platform.Row{}, err
	}
	row := t.get(key)
	if !t.afterCall(ctx, false) {
		return platform.Row{}, callerGoneError(ctx)
	}
	return row, nil
}

// Scan returns rows in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.injectedError(ctx, false); err != nil {
		return nil, err
	}
	rows := t.scan(prefix, after, limit)
	if !t.afterCall(ctx, false) {
		return nil, callerGoneError(ctx)
	}
	return rows, nil
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) (int64, error) {
	if err := validateCommit(checks, writes); err != nil {
		return 0, err
	}
	switch t.beforeCall(ctx, true) {
	case unavailable, rateLimited:
		return 0, platform.ErrUnavailable
	case callerGone: // as over HTTP, the caller does not know that nothing was applied
		return 0, fmt.Errorf("%w: %w", platform.ErrAmbiguous, context.Cause(ctx))
	}
	version, err := t.apply(checks, writes)
	if !t.afterCall(ctx, true) {
		t.countLostAnswer(err)
		return 0, fmt.Errorf("%w: the answer was lost", platform.ErrAmbiguous)
	}
	return version, err
}

func (t *Table) injectedError(ctx context.Context, write bool) error {
	switch t.beforeCall(ctx, write) {
	case proceed:
		return nil
	case callerGone:
		return callerGoneError(ctx)
	default:
		return platform.ErrUnavailable
	}
}

func callerGoneError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, context.Cause(ctx))
}

func (t *Table) get(key string) platform.Row {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	t.counts.Gets++
	return copyRow(key, t.rows[key])
}

func (t *Table) scan(prefix, after string, limit int) []platform.Row {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	t.counts.Scans++
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if limit <= 0 || limit > maxScanRows {
		limit = maxScanRows
	}
	rows := make([]platform.Row, 0, min(limit, len(keys)))
	size := 0
	for _, key := range keys[:min(limit, len(keys))] {
		if size >= maxScanBytes {
			break
		}
		rows = append(rows, copyRow(key, t.rows[key]))
		size += len(key) + len(t.rows[key].Value)
	}
	return rows
}

func (t *Table) apply(checks []platform.Check, writes []platform.Write) (int64, error) {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	for _, c := range checks {
		if t.rows[c.Key].Version != c.Version {
			t.counts.Conflicts++
			return 0, &platform.ConflictError{Key: c.Key}
		}
	}
	t.version++
	t.counts.Commits++
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: t.version}
	}
	return t.version, nil
}

func (t *Table) countLostAnswer(err error) {
	if err != nil {
		return
	}
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	t.counts.Lost++
}

func copyRow(key string, row platform.Row) platform.Row {
	return platform.Row{Key: key, Value: bytes.Clone(row.Value), Version: row.Version}
}

// validateCommit returns an error for a transaction that the service rejects as
// malformed.
func validateCommit(checks []platform.Check, writes []platform.Write) error {
	written := map[string]bool{}
	for _, w := range writes {
		if written[w.Key] {
			return fmt.Errorf("%w: key %q is written twice", platform.ErrInvalid, w.Key)
		}
		written[w.Key] = true
		if err := validateKey(w.Key); err != nil {
			return err
		}
	}
	for _, c := range checks {
		if err := validateKey(c.Key); err != nil {
			return err
		}
		if c.Version < 0 {
			return fmt.Errorf("%w: check of key %q has negative version %d", platform.ErrInvalid, c.Key, c.Version)
		}
	}
	return nil
}

func validateKey(key string) error {
	if key == "" || len(key) > maxTableKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, allowed are 1 to %d", platform.ErrInvalid, len(key), maxTableKeyBytes)
	}
	return nil
}
