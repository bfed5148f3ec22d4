package election

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/rows"
)

// rowRead is the result of a read of the ownership row.
type rowRead struct {
	row ownershipRow
	age time.Duration // the least time since the row was committed; 0 if it is not known
	err error
}

// commitsSlower bounds how much longer a commit takes than a read, for the age of a row.
const commitsSlower = 2

// readRow reads the ownership row and how old it is.
func (a *Agent) readRow(ctx context.Context) rowRead {
	began := a.now()
	reading := clockReadingStore{Store: a.options.Store}
	row, err := readOwnershipRow(ctx, &reading)
	return rowRead{row: row, age: rowAge(row, reading.clock, a.now()-began), err: err}
}

// rowAge returns the least age of a row at a reading of the clock of the table service, by a read
// that took some time; 0 if it is not known. The row tells when its commit was sent. While the
// table service is slow, it is stored much later.
func rowAge(row ownershipRow, clock, took time.Duration) time.Duration {
	sentAt := time.Duration(row.record.SentAtMs) * time.Millisecond
	if sentAt <= 0 || clock == 0 {
		return 0
	}
	return max(0, clock-sentAt-commitsSlower*took)
}

// clockReadingStore keeps the reading of the clock of the table service at the last read.
type clockReadingStore struct {
	rows.Store
	clock time.Duration
}

// Range implements rows.Store.
func (s *clockReadingStore) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	page, err := s.Store.Range(ctx, table, part, from)
	s.clock = page.Clock
	return page, err
}
