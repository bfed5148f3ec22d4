package owner

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/rows"
)

// narrowLease commits over a link of a limited rate. A commit that is ended before all of it was
// transferred is not applied.
type narrowLease struct {
	fastLease
	bytesPerSecond float64
	tries          *int
}

func (l narrowLease) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	*l.tries++
	size := 0
	for _, r := range tx.Put {
		size += base64.StdEncoding.EncodedLen(len(r.Value))
	}
	select {
	case <-time.After(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second))):
		return rows.Timestamp{}, nil
	case <-ctx.Done():
		return rows.Timestamp{}, ctx.Err()
	}
}

// Guards against an owner that stores nothing any more because the largest commit takes longer on
// a narrow link than each of its tries may.
func TestLargestCommitIsStoredOverANarrowLink(t *testing.T) {
	const entries, totalBytes = 96, 600 << 10 // the largest batch of the core
	tx := &rows.Tx{}
	for n := range entries {
		tx.Put = append(tx.Put, newRow(tableWork, fmt.Sprintf("%016x", n), bytes.Repeat([]byte("x"), totalBytes/entries)))
	}
	for _, share := range []float64{1, 0.5, 0.25} {
		inBubble(t, func(t *testing.T) {
			const limit = 20 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			tries := 0
			tenure := &tenure{ctx: ctx, lease: narrowLease{bytesPerSecond: share * 10e6 / 8, tries: &tries}}
			began := time.Now()
			if err := tenure.commitUntilOutcomeKnown(tx); err != nil {
				t.Errorf("%v of a link of 10 Mbit/s: not stored after %v and %d tries: %v", share, time.Since(began), tries, err)
			}
		})
	}
}
