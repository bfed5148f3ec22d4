package election

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// driftingStore is a fakeStore with a clock of its own rate. Its answers take some time.
type driftingStore struct {
	*fakeStore
	clock      *clock.Fake
	rate       float64
	answerTime time.Duration
	put        []rows.Row // of the last commit
}

func (s *driftingStore) now() time.Duration {
	return time.Hour + time.Duration(s.rate*float64(s.clock.Boot()))
}

// Commit applies a transaction after half of the answer time. The ownership row is its first.
func (s *driftingStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	s.clock.Advance(s.answerTime / 2)
	defer s.clock.Advance(s.answerTime / 2)
	s.put = tx.Put
	timestamp, err := s.fakeStore.Commit(ctx, &rows.Tx{Preconditions: tx.Preconditions, Put: tx.Put[:1]})
	timestamp.Clock = s.now()
	return timestamp, err
}

func claimFrom(t *testing.T, store rows.Store, c clock.Clock) *Lease {
	t.Helper()
	row, err := readOwnershipRow(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	lease, err := claim(t.Context(), store, c, Holder{Node: "n0", Incarnation: "i", Address: "n0"}, row)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// Guards against a time that passes for the next owner before it has passed for the one that has
// recorded it, and against one that passes much later.
func TestTimeRecordedForTheNextOwnerIsNotEarly(t *testing.T) {
	for _, rate := range []float64{minStoreClockRate, 1, 1 / minStoreClockRate} {
		for _, ahead := range []time.Duration{-5 * time.Second, 0, 50 * time.Millisecond, 6 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(rate, ahead), func(t *testing.T) {
				const answerTime, betweenOwners = 20 * time.Millisecond, 700 * time.Millisecond
				c := clock.NewFake(time.Now())
				store := &driftingStore{&fakeStore{}, c, rate, answerTime, nil}
				first := claimFrom(t, store, c)
				c.Advance(time.Second)
				end := c.Boot() + ahead
				reading := first.MaxStoreClockAt(end)
				if err := first.Release(t.Context(), "", rows.Row{Table: "leaseends"}); err != nil {
					t.Fatal(err)
				}
				c.Advance(betweenOwners)
				next := claimFrom(t, store, c)
				got, known := next.WhenStoreClockReaches(reading)
				// Two conversions of a rate that is unknown by 2 %, and those of the time between.
				latest := max(end, c.Boot()) + 2*answerTime + time.Duration(0.06*float64(max(0, ahead)+time.Second+betweenOwners))
				if !known || got < end || got > latest {
					t.Errorf("known %v, passes %v after the end, at most %v is allowed", known, got-end, latest-end)
				}
			})
		}
	}
}

// Guards against a reading that no owner has recorded, or that is not known, which counts as passed.
func TestUnknownReadingIsNotPassed(t *testing.T) {
	c := clock.NewFake(time.Now())
	withoutClock := claimFrom(t, &fakeStore{}, c)
	if reading := withoutClock.MaxStoreClockAt(c.Boot()); reading != 0 {
		t.Errorf("reading %d without a clock of the store", reading)
	}
	withClock := claimFrom(t, clockedStore{&fakeStore{}, c}, c)
	for _, tt := range []struct {
		lease   *Lease
		reading int
	}{{withoutClock, 1}, {withClock, 0}, {withClock, -1}, {withClock, 1 << 62}, {withClock, -1 << 62}} {
		if end, known := tt.lease.WhenStoreClockReaches(tt.reading); known {
			t.Errorf("reading %d: passed at %v", tt.reading, end)
		}
	}
}

// Guards against a recorded time of the past that the next owner takes for later than it was, and
// against one that it takes for much earlier.
func TestPastTimeRecordedForTheNextOwnerIsNotLate(t *testing.T) {
	for _, rate := range []float64{minStoreClockRate, 1, 1 / minStoreClockRate} {
		for _, ago := range []time.Duration{0, 50 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(rate, ago), func(t *testing.T) {
				const answerTime, sinceCommit, betweenOwners = 20 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond
				c := clock.NewFake(time.Now())
				store := &driftingStore{&fakeStore{}, c, rate, answerTime, nil}
				first := claimFrom(t, store, c)
				c.Advance(10 * time.Second)
				if _, err := first.Commit(t.Context(), &rows.Tx{}); err != nil {
					t.Fatal(err)
				}
				c.Advance(sinceCommit)
				past := c.Boot() - ago
				reading := first.MinStoreClockAt(past)
				if err := first.Release(t.Context(), ""); err != nil {
					t.Fatal(err)
				}
				c.Advance(betweenOwners)
				got, known := claimFrom(t, store, c).BootBeforeStoreClock(reading)
				earliest := past - 2*answerTime - sinceCommit - time.Duration(0.06*float64(ago+betweenOwners))
				if !known || got > past || got < earliest {
					t.Errorf("known %v, %v after the time, at least %v is allowed", known, got-past, earliest-past)
				}
			})
		}
	}
}

// Guards against a time that is derived from a reading which was not recorded before the claim.
func TestReadingAfterTheClaimIsNoPastTime(t *testing.T) {
	c := clock.NewFake(time.Now())
	withoutClock := claimFrom(t, &fakeStore{}, c)
	if reading := withoutClock.MinStoreClockAt(c.Boot()); reading != 0 {
		t.Errorf("reading %d without a clock of the store", reading)
	}
	withClock := claimFrom(t, clockedStore{&fakeStore{}, c}, c)
	for _, tt := range []struct {
		lease   *Lease
		reading int
	}{{withoutClock, 1}, {withClock, 0}, {withClock, -1}, {withClock, 1 << 62}, {withClock, -1 << 62}} {
		if boot, known := tt.lease.BootBeforeStoreClock(tt.reading); known {
			t.Errorf("reading %d: at %v", tt.reading, boot)
		}
	}
}
