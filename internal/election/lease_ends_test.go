package election

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

var leaseEnds = rows.Row{Table: TableLeaseEnds, Key: "all"}

// leaseEndsChain is a cell whose owners write the row of lease ends.
type leaseEndsChain struct {
	t     *testing.T
	clock *clock.Fake
	store *driftingStore
	owner *Lease
}

func newLeaseEndsChain(t *testing.T) *leaseEndsChain {
	c := clock.NewFake(time.Now())
	chain := &leaseEndsChain{t, c, &driftingStore{&fakeStore{}, c, 1, 0, nil}, nil}
	chain.claim()
	return chain
}

// claim replaces the owner, which may have released the cell.
func (c *leaseEndsChain) claim() { c.owner = claimFrom(c.t, c.store, c.clock) }

func (c *leaseEndsChain) commit(put ...rows.Row) {
	c.t.Helper()
	if _, err := c.owner.Commit(c.t.Context(), &rows.Tx{Put: put}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *leaseEndsChain) release(put ...rows.Row) {
	c.t.Helper()
	if err := c.owner.Release(c.t.Context(), "", put...); err != nil {
		c.t.Fatal(err)
	}
}

// dropField removes what an owner of an earlier release does not write.
func (c *leaseEndsChain) dropField() {
	var record api.CellLease
	if _, err := record.UnmarshalMsg(c.store.row.Value); err != nil {
		c.t.Fatal(err)
	}
	record.LeaseEndsEpoch = 0
	value, err := record.MarshalMsg(nil)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.row.Value = value
}

// Guards against an owner that drops recorded ends of leases which hold, and against one that relies
// on a row by which an earlier owner was not bound.
func TestRowOfLeaseEndsHoldsUntilItIsWritten(t *testing.T) {
	for _, tt := range []struct {
		name  string
		last  func(c *leaseEndsChain) // after an owner that has written the row in a commit
		holds func(first, second int) int
	}{
		{"killed", func(*leaseEndsChain) {}, func(first, _ int) int { return first }},
		{"more commits", func(c *leaseEndsChain) { c.commit(); c.commit() }, func(first, _ int) int { return first }},
		{"released", func(c *leaseEndsChain) { c.release() }, func(first, _ int) int { return first }},
		{"next one ends before it has loaded", func(c *leaseEndsChain) { c.claim(); c.release() }, func(first, _ int) int { return first }},
		{"next one is replaced", func(c *leaseEndsChain) { c.claim(); c.commit() }, func(first, _ int) int { return first }},
		{"next one writes it", func(c *leaseEndsChain) { c.claim(); c.commit(leaseEnds) }, func(_, second int) int { return second }},
		{"next one releases with it", func(c *leaseEndsChain) { c.claim(); c.release(leaseEnds) }, func(_, second int) int { return second }},
		{"next one is of an earlier release", func(c *leaseEndsChain) { c.claim(); c.dropField() }, func(int, int) int { return 0 }},
		{"next one of an earlier release releases with it", func(c *leaseEndsChain) { c.claim(); c.release(leaseEnds); c.dropField() }, func(_, second int) int { return second }},
		{"unreadable", func(c *leaseEndsChain) { c.store.row.Value = []byte{0xc1} }, func(int, int) int { return 0 }},
		{"unreadable after a release", func(c *leaseEndsChain) { c.release(); c.store.row.Value = []byte{0xc1} }, func(int, int) int { return 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newLeaseEndsChain(t)
			if got := c.owner.LeaseEndsEpoch(); got != 0 {
				t.Errorf("the row of %d holds without an earlier owner", got)
			}
			first := c.owner.Epoch()
			c.commit(leaseEnds)
			tt.last(c)
			want := tt.holds(first, c.owner.Epoch())
			c.claim()
			if got := c.owner.LeaseEndsEpoch(); got != want {
				t.Errorf("the row of %d holds, want %d", got, want)
			}
		})
	}
}

// Guards against a row of lease ends that counts as written although its commit was not carried out.
func TestRowOfAFailedCommitDoesNotHold(t *testing.T) {
	c := newLeaseEndsChain(t)
	c.store.down = true
	if _, err := c.owner.Commit(t.Context(), &rows.Tx{Put: []rows.Row{leaseEnds}}); err == nil {
		t.Fatal("no error")
	}
	c.store.down = false
	c.commit()
	c.claim()
	if got := c.owner.LeaseEndsEpoch(); got != 0 {
		t.Errorf("the row of %d holds", got)
	}
}

// Guards against rows that are not written together with the release.
func TestReleaseWritesTheRowsWithIt(t *testing.T) {
	c := newLeaseEndsChain(t)
	c.release(leaseEnds)
	if put := c.store.put; len(put) != 2 || put[0].Key != keyOwner || put[1].Key != leaseEnds.Key {
		t.Errorf("rows of the release: %+v", put)
	}
}
