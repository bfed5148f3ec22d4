package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

const testTeam = "gallery"

// testCluster runs managers step by step on one table.
type testCluster struct {
	clock    *clock.Fake
	table    *standin.Table
	limit    int
	managers []*Manager
	ledgers  []Ledger
	used     []int
	unowned  map[string]bool
}

func newTestCluster(partitions, limit int) *testCluster {
	c := &testCluster{clock: clock.NewFake(time.Now()), table: standin.NewTable(), limit: limit, unowned: map[string]bool{}}
	for i := range partitions {
		m := NewManager(Options{
			Table: c.table, Clock: c.clock,
			Limit:   func(string) api.Resources { return api.Resources{Slots: c.limit} },
			Unowned: func(p string) (int64, bool) { return 0, c.unowned[p] },
		})
		c.managers = append(c.managers, m)
		c.ledgers = append(c.ledgers, m.OpenLedger(api.PartitionLease{Partition: fmt.Sprint("p", i), Epoch: 1}))
	}
	c.used = make([]int, partitions)
	return c
}

// report uses the wanted amount as far as the allotment or the present usage
// covers it, and reports the demand.
func (c *testCluster) report(i, wanted int) {
	l := c.ledgers[i]
	c.used[i] = min(wanted, max(l.Allotment(testTeam).Slots, min(c.used[i], wanted)))
	l.ReportDemand(testTeam, api.Resources{Slots: c.used[i]}, api.Resources{Slots: wanted})
}

func (c *testCluster) runOnce() {
	c.clock.Advance(flushInterval)
	for _, m := range c.managers {
		m.runOnce(context.Background())
	}
}

// row returns the recorded allotments and their sum.
func (c *testCluster) row(t interface{ Fatal(...any) }) (allotments, int) {
	row, err := c.table.Get(context.Background(), keyPrefix+testTeam)
	if err != nil {
		t.Fatal(err)
	}
	if row.Version == 0 {
		return nil, 0
	}
	_, a, err := decodeRow(row)
	if err != nil {
		t.Fatal(err)
	}
	return a, a.sum()[3]
}

// TestSumWithinLimit guards against allotments or usage that exceed the limit
// of a team in sum, under any demand and with lost answers and outages of the
// table.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(3, 20)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				c.table.SetFaults(standin.Faults{LoseNextAnswers: 1})
			case 1:
				c.table.SetFaults(standin.Faults{Down: true})
			case 2, 3:
				c.table.SetFaults(standin.Faults{})
			}
			c.report(rapid.IntRange(0, 2).Draw(t, "partition"), rapid.IntRange(0, 30).Draw(t, "wanted"))
			c.runOnce()
			c.table.UpdateFaults(func(f *standin.Faults) { f.Down = false })
			recorded, sum := c.row(t)
			if sum > c.limit {
				t.Fatalf("allotments %v exceed the limit %d", recorded, c.limit)
			}
			for i, l := range c.ledgers {
				allotted := recorded[fmt.Sprint("p", i)][3]
				if l.Allotment(testTeam).Slots > allotted || c.used[i] > allotted {
					t.Fatalf("p%d holds %d and uses %d, its recorded allotment is %d", i, l.Allotment(testTeam).Slots, c.used[i], allotted)
				}
			}
		}
	})
}

// runUntil runs steps until cond holds, for at most 90 s of simulated time.
func (c *testCluster) runUntil(t *testing.T, what string, wanted []int, cond func(allotments, int) bool) {
	t.Helper()
	for range 900 {
		for i, w := range wanted {
			c.report(i, w)
		}
		c.runOnce()
		if cond(c.row(t)) {
			return
		}
	}
	a, sum := c.row(t)
	t.Fatalf("%s: not reached in time; allotments %v, sum %d", what, a, sum)
}

// TestAllotmentsAreReturned guards against allotments that stay with idle
// partitions, that are not reduced under a lowered limit, or that stay with
// partitions that no longer exist.
func TestAllotmentsAreReturned(t *testing.T) {
	c := newTestCluster(2, 32)
	c.runUntil(t, "the first partition holds the whole limit", []int{100, 0}, func(a allotments, _ int) bool { return a["p0"][3] == 32 })
	start := c.clock.Boot()
	c.runUntil(t, "the idle allotment passes to the second partition", []int{4, 100}, func(a allotments, _ int) bool { return a["p1"][3] >= 26 })
	if d := c.clock.Boot() - start; d < idleReturnDelay || d > idleReturnDelay+2*readInterval {
		t.Errorf("the idle allotment passed to the second partition after %s", d)
	}
	c.limit = 10
	for _, m := range c.managers {
		m.LimitsChanged()
	}
	shrink := func(a allotments, sum int) bool {
		for i, l := range c.ledgers { // the owners preempt work
			c.used[i] = min(c.used[i], l.Allotment(testTeam).Slots)
		}
		return sum <= 10
	}
	c.runUntil(t, "the allotments are within the lowered limit", []int{4, 100}, shrink)
	if a, _ := c.row(t); a["p0"][3] == 0 || a["p1"][3] == 0 {
		t.Errorf("a partition has no allotment left: %v", a)
	}
	c.managers[0].CloseLedger("p0", 1)
	c.unowned["p0"] = true
	c.managers[1].LimitsChanged()
	c.runUntil(t, "the allotment of a partition that no longer exists is removed", []int{0, 100}, func(a allotments, _ int) bool { return a["p1"][3] == 10 })
}

// TestTakeover guards against a new owner that starts without the allotment of
// the partition, and against a superseded owner that changes the allotment.
func TestTakeover(t *testing.T) {
	c := newTestCluster(1, 32)
	lease := func(epoch int, key string) api.PartitionLease {
		v, err := c.table.Commit(context.Background(), nil, []platform.Write{{Key: key, Value: []byte{byte(epoch)}}})
		if err != nil {
			t.Fatal(err)
		}
		return api.PartitionLease{Partition: "p", Epoch: epoch, RowVersion: int(v)}
	}
	old, next := c.managers[0], NewManager(c.managers[0].options)
	c.managers = append(c.managers, next)
	c.ledgers = []Ledger{old.OpenLedger(lease(1, "partition/p"))}
	c.runUntil(t, "the first owner holds 7 slots", []int{7}, func(a allotments, _ int) bool { return a["p"][3] >= 7 })
	oldLedger := c.ledgers[0]
	c.ledgers[0] = next.OpenLedger(lease(2, "partition/p"))
	if got := c.ledgers[0].Allotment(testTeam); got != (api.Resources{}) {
		t.Errorf("the new owner holds %+v before the rows were read", got)
	}
	oldLedger.ReportDemand(testTeam, api.Resources{}, api.Resources{Slots: 30})
	c.runUntil(t, "the new owner holds 7 slots", []int{7}, func(allotments, int) bool { return c.ledgers[0].Allotment(testTeam).Slots >= 7 })
	if _, sum := c.row(t); sum >= 30 {
		t.Errorf("the superseded owner raised the allotment to %d", sum)
	}
}

// TestUncertainUseIsKept guards against an allotment that passes to another
// partition while it may be in use, and against an allotment that is raised for
// usage that is not certain: a new owner that does not know yet what is running
// reports an upper bound as used and nothing as wanted.
func TestUncertainUseIsKept(t *testing.T) {
	c := newTestCluster(2, 12)
	c.runUntil(t, "the first partition holds all 4 slots that it wants", []int{4, 0}, func(a allotments, _ int) bool { return a["p0"][3] == 4 })
	next := NewManager(c.managers[0].options)
	c.managers[0], c.ledgers[0] = next, next.OpenLedger(api.PartitionLease{Partition: "p0", Epoch: 2})
	for range 50 {
		c.ledgers[0].ReportDemand(testTeam, api.Resources{Slots: 16}, api.Resources{})
		c.report(1, 20)
		c.runOnce()
		if a, _ := c.row(t); a["p0"][3] != 4 {
			t.Fatalf("the allotment of 4 that may be in use is %d", a["p0"][3])
		}
	}
	c.runUntil(t, "the second partition gets the rest of the limit", []int{0, 20}, func(a allotments, _ int) bool { return a["p1"][3] == 12 })
}

// TestWriteRate guards against one transaction per request or per team: teams
// whose demand changes at the same time must share transactions.
func TestWriteRate(t *testing.T) {
	c := newTestCluster(1, 1000)
	for range 20 {
		for i := range 80 {
			used := c.ledgers[0].Allotment(fmt.Sprint("team", i))
			c.ledgers[0].ReportDemand(fmt.Sprint("team", i), used, api.Resources{Slots: 50})
		}
		c.runOnce()
	}
	if got := c.table.Counts().Commits; got > 4 {
		t.Errorf("%d transactions for 80 teams, want at most 4", got)
	}
	if got := c.ledgers[0].Allotment("team79").Slots; got < 50 {
		t.Errorf("team79 holds %d slots, want at least 50", got)
	}
}

// TestMalformedRowKeepsAllotments guards against a partition that loses an allotment it
// uses, or gets more, because the row of the team cannot be decoded for a while.
func TestMalformedRowKeepsAllotments(t *testing.T) {
	c := newTestCluster(2, 32)
	c.runUntil(t, "the first partition holds 8 slots", []int{8, 0}, func(a allotments, _ int) bool { return a["p0"][3] >= 8 })
	valid, err := c.table.Get(t.Context(), keyPrefix+testTeam)
	if err != nil {
		t.Fatal(err)
	}
	replaceRow := func(value []byte) {
		if _, err := c.table.Commit(t.Context(), nil, []platform.Write{{Key: keyPrefix + testTeam, Value: value}}); err != nil {
			t.Fatal(err)
		}
		for _, m := range c.managers {
			m.LimitsChanged()
		}
	}
	replaceRow([]byte{0xc1})
	for range 50 {
		c.report(0, 8)
		c.report(1, 30)
		c.runOnce()
		if held, other := c.ledgers[0].Allotment(testTeam).Slots, c.ledgers[1].Allotment(testTeam).Slots; held != 8 || other != 0 {
			t.Fatalf("the partitions hold %d and %d slots, want 8 and 0", held, other)
		}
	}
	moved := c.managers[0].OpenLedger(api.PartitionLease{Partition: "p0", Epoch: 2})
	c.runOnce()
	moved.ReportDemand(testTeam, api.Resources{}, api.Resources{Slots: 8})
	if got := moved.Allotment(testTeam).Slots; got != 0 {
		t.Errorf("a new owner holds %d slots of a row that it could not read, want 0", got)
	}
	c.ledgers[0] = moved
	replaceRow(valid.Value)
	c.runUntil(t, "both partitions hold what they want", []int{8, 24}, func(allotments, int) bool {
		return c.ledgers[0].Allotment(testTeam).Slots == 8 && c.ledgers[1].Allotment(testTeam).Slots == 24
	})
}
