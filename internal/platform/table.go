package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/dghubble/sling"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	maxRowBodyBytes  = 4 << 20
	maxScanBodyBytes = 16 << 20
	// ScanPageRows is the maximum number of rows in one page of ScanAll.
	ScanPageRows = 500
)

// TableClient is the HTTP client of the table service.
type TableClient struct{ *serviceClient }

// NewTableClient returns a client of the table service.
func NewTableClient(o Options) *TableClient { return &TableClient{newServiceClient("table", o)} }

type rowQuery struct {
	Key string `url:"key"`
}

type scanQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after"`
	Limit  int    `url:"limit"`
}

// Get returns a row.
func (c *TableClient) Get(ctx context.Context, key string) (row Row, err error) {
	defer c.observe("get", time.Now(), &err)
	var out api.TableRow
	req := sling.New().Get(c.base + PathTableRow).QueryStruct(rowQuery{key})
	if err := c.read(ctx, req, maxRowBodyBytes, &out); err != nil {
		return Row{}, err
	}
	if out.Key != key {
		return Row{}, fmt.Errorf("%w: got row %q, want row %q", ErrUnavailable, out.Key, key)
	}
	return fromAPIRow(out), nil
}

// Scan returns rows in key order.
func (c *TableClient) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	defer c.observe("scan", time.Now(), &err)
	var out api.TableRows
	req := sling.New().Get(c.base + PathTableRows).QueryStruct(scanQuery{prefix, after, limit})
	if err := c.read(ctx, req, maxScanBodyBytes, &out); err != nil {
		return nil, err
	}
	rows = make([]Row, 0, len(out.Rows))
	for _, r := range out.Rows {
		rows = append(rows, fromAPIRow(r))
	}
	return rows, nil
}

// read sends a read-only call and decodes the response.
func (s *serviceClient) read(ctx context.Context, req *sling.Sling, limit int64, out any) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	resp, _, err := call(ctx, s.client, req, limit)
	if err != nil {
		return withCause(ErrUnavailable, err)
	}
	if resp.invalid() {
		return withCause(ErrInvalid, resp.statusError())
	}
	if err := resp.decode(out); err != nil {
		return withCause(ErrUnavailable, err)
	}
	return nil
}

// Commit applies a transaction in one call.
func (c *TableClient) Commit(ctx context.Context, checks []Check, writes []Write) (version int64, err error) {
	defer c.observe("commit", time.Now(), &err)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req := sling.New().Post(c.base + PathTableCommit).BodyJSON(toAPICommit(checks, writes))
	resp, sent, err := call(ctx, c.client, req, maxSmallBodyBytes)
	if err != nil {
		return 0, writeCallError(sent, err)
	}
	if err := rejectionError(resp); err != nil {
		return 0, err
	}
	var out api.TableCommitResult
	if err := resp.decode(&out); err != nil {
		return 0, withCause(ErrAmbiguous, err)
	}
	if !out.Applied {
		return 0, &ConflictError{Key: out.ConflictKey}
	}
	return int64(out.Version), nil
}

// writeCallError classifies the error of a write without a response.
func writeCallError(sent bool, err error) error {
	if sent {
		return withCause(ErrAmbiguous, err)
	}
	return withCause(ErrUnavailable, err)
}

// rejectionError returns the error of a response that rejects the call, so that nothing
// was applied, or nil.
func rejectionError(resp response) error {
	switch {
	case resp.retryable():
		return withCause(ErrUnavailable, resp.statusError())
	case resp.invalid():
		return withCause(ErrInvalid, resp.statusError())
	}
	return nil
}

// ScanAll returns all rows whose keys start with prefix. It reads page by page, so rows
// that change meanwhile are returned as of before or after the change.
func ScanAll(ctx context.Context, table Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := table.Scan(ctx, prefix, after, ScanPageRows)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		after = page[len(page)-1].Key
	}
}

func fromAPIRow(r api.TableRow) Row {
	return Row{Key: r.Key, Value: r.Value, Version: int64(r.Version)}
}

func toAPICommit(checks []Check, writes []Write) api.TableCommit {
	out := api.TableCommit{
		Checks: make([]api.TableCheck, 0, len(checks)),
		Writes: make([]api.TableWrite, 0, len(writes)),
	}
	for _, c := range checks {
		out.Checks = append(out.Checks, api.TableCheck{Key: c.Key, Version: int(c.Version)})
	}
	for _, w := range writes {
		out.Writes = append(out.Writes, api.TableWrite{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return out
}
