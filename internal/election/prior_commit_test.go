package election

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// clockedStore is a fakeStore with a clock, which is ahead of that of the nodes.
type clockedStore struct {
	*fakeStore
	clock *clock.Fake
}

func (s clockedStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	timestamp, err := s.fakeStore.Commit(ctx, tx)
	timestamp.Clock = time.Hour + s.clock.Boot()
	return timestamp, err
}

// Guards against a next owner that takes the last commit of the earlier one for older than it
// was, and declares runs lost whose leases have not expired.
func TestNextOwnerKnowsTheAgeOfTheLastCommit(t *testing.T) {
	c := clock.NewFake(time.Now())
	store := clockedStore{&fakeStore{}, c}
	claimNow := func() *Lease {
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
	first := claimNow()
	if _, known := first.PriorCommitAge(); known {
		t.Error("the age is known without an earlier owner")
	}
	c.Advance(10 * time.Second)
	if _, err := first.Commit(t.Context(), &rows.Tx{}); err != nil {
		t.Fatal(err)
	}
	c.Advance(3 * time.Second)
	age, known := claimNow().PriorCommitAge()
	if !known || age > 3*time.Second || age < 3*time.Second-10*time.Millisecond {
		t.Errorf("age %v, known %v, want just under 3s", age, known)
	}
	if _, known := claimNow().PriorCommitAge(); known {
		t.Error("the age is known after a claim without a commit")
	}
}

// Guards against a commit that is taken for one of another owner, because its tries were
// sent at different times.
func TestRepeatedCommitIsRecognized(t *testing.T) {
	c := clock.NewFake(time.Now())
	store := clockedStore{&fakeStore{}, c}
	lease, err := claim(t.Context(), store, c, Holder{Node: "n0", Incarnation: "i", Address: "n0"}, ownershipRow{})
	if err != nil {
		t.Fatal(err)
	}
	store.unansweredCommits = 1
	if _, err := lease.Commit(t.Context(), &rows.Tx{}); err == nil {
		t.Fatal("the first try is answered")
	}
	c.Advance(time.Second)
	if _, err := lease.Commit(t.Context(), &rows.Tx{}); err != nil {
		t.Errorf("second try: %v", err)
	}
}

// Guards against owners that release the cell before they have loaded its records, after which the
// next one takes the cell for served all along, and its leases for granted until then.
func TestOwnerThatReleasesTheCellUnusedLeavesTheLastCommit(t *testing.T) {
	for _, age := range []time.Duration{0, 3 * time.Second} { // 0: not known
		c := clock.NewFake(time.Now())
		store := clockedStore{&fakeStore{}, c}
		first := claimFrom(t, store, c)
		if age > 0 {
			if _, err := first.Commit(t.Context(), &rows.Tx{}); err != nil {
				t.Fatal(err)
			}
		}
		c.Advance(time.Second)
		if err := claimFrom(t, store, c).ReleaseUnused(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.Advance(2 * time.Second)
		got, known := claimFrom(t, store, c).PriorCommitAge()
		if known != (age > 0) || got > age || got < age-10*time.Millisecond {
			t.Errorf("age %v, known %v, want %v", got, known, age)
		}
	}
}
