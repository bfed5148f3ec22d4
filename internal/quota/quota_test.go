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

const someTeam = "gallery"

// bench runs managers step by step over one table.
type bench struct {
	clock    *clock.Fake
	table    *standin.Table
	limit    int
	managers []*Manager
	ledgers  []Ledger
	used     []int
	vacant   map[string]bool
}

func newBench(partitions, limit int) *bench {
	b := &bench{clock: clock.NewFake(time.Now()), table: standin.NewTable(), limit: limit, vacant: map[string]bool{}}
	for i := range partitions {
		m := NewManager(Options{
			Table: b.table, Clock: b.clock,
			Limit:  func(string) api.Resources { return api.Resources{Slots: b.limit} },
			Vacant: func(p string) (int64, bool) { return 0, b.vacant[p] },
		})
		b.managers = append(b.managers, m)
		b.ledgers = append(b.ledgers, m.Open(api.PartitionLease{Partition: fmt.Sprint("p", i), Epoch: 1}))
	}
	b.used = make([]int, partitions)
	return b
}

// demand reports and takes what is wanted as far as it is held.
func (b *bench) demand(i, wanted int) {
	l := b.ledgers[i]
	b.used[i] = min(wanted, max(l.Held(someTeam).Slots, min(b.used[i], wanted)))
	l.Demand(someTeam, api.Resources{Slots: b.used[i]}, api.Resources{Slots: wanted})
}

func (b *bench) step() {
	b.clock.Advance(flushInterval)
	for _, m := range b.managers {
		m.step(context.Background())
	}
}

// row returns the recorded allotments and their sum.
func (b *bench) row(t interface{ Fatal(...any) }) (allotments, int) {
	row, err := b.table.Get(context.Background(), keyPrefix+someTeam)
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

// TestSumWithinLimit guards against a sum of allotments, or of what is used, above
// the limit of a team under any demand and with lost answers and outages.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(3, 20)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				b.table.SetFaults(standin.Faults{LoseNextAnswers: 1})
			case 1:
				b.table.SetFaults(standin.Faults{Down: true})
			case 2, 3:
				b.table.SetFaults(standin.Faults{})
			}
			b.demand(rapid.IntRange(0, 2).Draw(t, "partition"), rapid.IntRange(0, 30).Draw(t, "wanted"))
			b.step()
			b.table.UpdateFaults(func(f *standin.Faults) { f.Down = false })
			recorded, sum := b.row(t)
			if sum > b.limit {
				t.Fatalf("allotments %v exceed the limit %d", recorded, b.limit)
			}
			for i, l := range b.ledgers {
				most := recorded[fmt.Sprint("p", i)][3]
				if l.Held(someTeam).Slots > most || b.used[i] > most {
					t.Fatalf("p%d holds %d and uses %d of %d recorded", i, l.Held(someTeam).Slots, b.used[i], most)
				}
			}
		}
	})
}

// settle steps until cond holds, for at most 90 s of simulated time.
func (b *bench) settle(t *testing.T, what string, wanted []int, cond func(allotments, int) bool) {
	t.Helper()
	for range 900 {
		for i, w := range wanted {
			b.demand(i, w)
		}
		b.step()
		if cond(b.row(t)) {
			return
		}
	}
	a, sum := b.row(t)
	t.Fatalf("not in time: %s; allotments %v, sum %d", what, a, sum)
}

// TestAllotmentLife guards against allotments that stay with idle partitions, that
// are not reduced under a lowered limit, or that stay with partitions that no
// longer exist.
func TestAllotmentLife(t *testing.T) {
	b := newBench(2, 32)
	b.settle(t, "the first partition takes all", []int{100, 0}, func(a allotments, _ int) bool { return a["p0"][3] == 32 })
	start := b.clock.Boot()
	b.settle(t, "idle allotment moves", []int{4, 100}, func(a allotments, _ int) bool { return a["p1"][3] >= 26 })
	if d := b.clock.Boot() - start; d < idleReturn || d > idleReturn+2*readInterval {
		t.Errorf("idle allotment moved after %s", d)
	}
	b.limit = 10
	for _, m := range b.managers {
		m.LimitsChanged()
	}
	shrink := func(a allotments, sum int) bool {
		for i, l := range b.ledgers { // the owners preempt
			b.used[i] = min(b.used[i], l.Held(someTeam).Slots)
		}
		return sum <= 10
	}
	b.settle(t, "a lowered limit is met", []int{4, 100}, shrink)
	if a, _ := b.row(t); a["p0"][3] == 0 || a["p1"][3] == 0 {
		t.Errorf("a partition has nothing left: %v", a)
	}
	b.managers[0].Close("p0", 1)
	b.vacant["p0"] = true
	b.managers[1].LimitsChanged()
	b.settle(t, "a partition that no longer exists is freed", []int{0, 100}, func(a allotments, _ int) bool { return a["p1"][3] == 10 })
}

// TestTakeover guards against a new owner that starts without the allotment of the
// partition, and a superseded one that changes it.
func TestTakeover(t *testing.T) {
	b := newBench(1, 32)
	lease := func(epoch int, key string) api.PartitionLease {
		v, err := b.table.Commit(context.Background(), nil, []platform.Write{{Key: key, Value: []byte{byte(epoch)}}})
		if err != nil {
			t.Fatal(err)
		}
		return api.PartitionLease{Partition: "p", Epoch: epoch, RowVersion: int(v)}
	}
	old, next := b.managers[0], NewManager(b.managers[0].options)
	b.managers = append(b.managers, next)
	b.ledgers = []Ledger{old.Open(lease(1, "partition/p"))}
	b.settle(t, "the first owner holds", []int{7}, func(a allotments, _ int) bool { return a["p"][3] >= 7 })
	oldLedger := b.ledgers[0]
	b.ledgers[0] = next.Open(lease(2, "partition/p"))
	if got := b.ledgers[0].Held(someTeam); got != (api.Resources{}) {
		t.Errorf("holds %+v before the rows were read", got)
	}
	oldLedger.Demand(someTeam, api.Resources{}, api.Resources{Slots: 30})
	b.settle(t, "the new owner holds", []int{7}, func(allotments, int) bool { return b.ledgers[0].Held(someTeam).Slots >= 7 })
	if _, sum := b.row(t); sum >= 30 {
		t.Errorf("the superseded owner raised the allotment to %d", sum)
	}
}

// TestUncertainUseIsKept guards against an allotment that passes to another
// partition while it may be in use, and against one that grows for such use.
func TestUncertainUseIsKept(t *testing.T) {
	b := newBench(2, 12)
	b.settle(t, "the first partition holds all it wants", []int{4, 0}, func(a allotments, _ int) bool { return a["p0"][3] == 4 })
	next := NewManager(b.managers[0].options)
	b.managers[0], b.ledgers[0] = next, next.Open(api.PartitionLease{Partition: "p0", Epoch: 2})
	for range 50 {
		b.ledgers[0].Demand(someTeam, api.Resources{Slots: 16}, api.Resources{})
		b.demand(1, 20)
		b.step()
		if a, _ := b.row(t); a["p0"][3] != 4 {
			t.Fatalf("the allotment of 4 that may be in use is %d", a["p0"][3])
		}
	}
	b.settle(t, "the rest passes on", []int{0, 20}, func(a allotments, _ int) bool { return a["p1"][3] == 12 })
}

// TestWriteRate guards against a write for each request or team: many teams that
// change at once share transactions.
func TestWriteRate(t *testing.T) {
	b := newBench(1, 1000)
	for range 20 {
		for i := range 80 {
			used := b.ledgers[0].Held(fmt.Sprint("team", i))
			b.ledgers[0].Demand(fmt.Sprint("team", i), used, api.Resources{Slots: 50})
		}
		b.step()
	}
	if got := b.table.Counts().Commits; got > 4 {
		t.Errorf("%d transactions for 80 teams", got)
	}
	if got := b.ledgers[0].Held("team79").Slots; got < 50 {
		t.Errorf("team79 holds %d", got)
	}
}
