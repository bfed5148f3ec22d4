package election

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// Guards against an owner that is chosen by its processor although another resource binds it,
// and against a node that is rejected for what it does not report.
func TestFitness(t *testing.T) {
	huge := Size{CPUMillis: 16000, LinkKbps: 10_000_000, MemoryMB: 64000, MaxOpenFiles: 1_000_000}
	with := func(change func(*Size)) Size {
		s := huge
		change(&s)
		return s
	}
	for _, tt := range []struct {
		name  string
		size  Size
		load  Load
		nodes int
		want  float64
	}{
		{"350 workers: 0.8 core, 200 Mbit/s", Size{800, 200_000, 536, 8192}, Load{Workers: 350}, 42, 1},
		{"350 workers: 0.48 core, 10 Mbit/s", Size{480, 10_000, 424, 10250}, Load{Workers: 350}, 42, 10.0 / 14},
		{"350 workers: 0.144 core, 10 Mbit/s", Size{144, 10_000, 144, 3075}, Load{Workers: 350}, 42, 144.0 / 350},
		{"48 workers: 0.4 core, 1,000 Mbit/s", Size{400, 1_000_000, 284, 0}, Load{Workers: 48}, 0, 1},
		{"no load known", Size{1, 1, 1, 1}, Load{}, 300, 1},
		{"no size known", Size{}, Load{Workers: 10_000, PeakKbps: 1_000_000}, 300, 1},
		{"earlier release: processor alone", Size{CPUMillis: 100}, Load{Workers: 200, PeakKbps: 1_000_000}, 30, 0.5},
		{"peak alone known", Size{CPUMillis: 1, LinkKbps: 12_000, MemoryMB: 1}, Load{PeakKbps: 16_000}, 0, 0.5},
		{"peak below the rate for the workers", Size{CPUMillis: 900, LinkKbps: 8000}, Load{Workers: 400, PeakKbps: 100}, 0, 0.5},
		{"slow link", with(func(s *Size) { s.LinkKbps = 20_000 }), Load{Workers: 1000}, 100, 0.5},
		{"little memory", with(func(s *Size) { s.MemoryMB = 80 }), Load{Workers: 1000}, 100, 0.5},
		{"few descriptors", with(func(s *Size) { s.MaxOpenFiles = 1250 }), Load{Workers: 1000}, 100, 0.5},
		{"descriptors for the nodes", with(func(s *Size) { s.MaxOpenFiles = 1000 }), Load{Workers: 300}, 400, 0.5},
		{"large cell: processor", with(func(s *Size) { s.CPUMillis = 800 }), Load{Workers: 3000}, 300, 1},
		{"very large cell: processor", with(func(s *Size) { s.CPUMillis = 700 }), Load{Workers: 9500}, 300, 0.5},
		{"all at once", Size{400, 100_000, 100, 2500}, Load{Workers: 1000}, 100, 100.0 / 160},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.size.fitness(needOf(tt.load, tt.nodes)); !near(got, tt.want) {
				t.Errorf("fitness %v, want %v; need %+v", got, tt.want, needOf(tt.load, tt.nodes))
			}
		})
	}
}

func near(x, y float64) bool { return x-y < 1e-9 && y-x < 1e-9 }

// Guards against two owners that hand the cell to each other in turn, and against an owner
// that hands over without need.
func TestHandoverNeverGoesBack(t *testing.T) {
	steps := []int{0, 1, 9, 50, 89, 91, 99, 100, 101, 150, 170, 1000}
	need := Size{CPUMillis: 100, LinkKbps: 100, MemoryMB: 100, MaxOpenFiles: 100}
	var sizes []Size
	for _, cpu := range steps {
		for _, link := range steps {
			sizes = append(sizes, Size{CPUMillis: cpu, LinkKbps: link, MemoryMB: 100 + link, MaxOpenFiles: cpu})
		}
	}
	for _, x := range sizes {
		for _, y := range sizes {
			if !x.yieldsTo(y, need) {
				continue
			}
			if y.yieldsTo(x, need) {
				t.Errorf("%+v and %+v hand over to each other", x, y)
			}
			if x.fitness(need) >= fitRatio || x.fitness(need) >= y.fitness(need) {
				t.Errorf("%+v hands over to %+v", x, y)
			}
		}
	}
}

// Guards against a node whose claim delay is as long as the time after which callers give up,
// or so short that it claims the cell before a fit node.
func TestClaimDelayOfAnUnfitNodeIsBounded(t *testing.T) {
	need := Size{CPUMillis: 1000}
	last := time.Duration(0)
	for cpu := 1100; cpu > 0; cpu -= 10 {
		delay := Size{CPUMillis: cpu}.unfitDelay(need)
		if fit := cpu >= need.CPUMillis; fit != (delay == 0) || delay < last || delay > 700*time.Millisecond || !fit && delay <= claimRankDelay {
			t.Errorf("%d of %d: %v after %v", cpu, need.CPUMillis, delay, last)
		}
		last = delay
	}
}

// Guards against a need that is forgotten with the owner that measured it, so that the next
// total loss ends with an owner that can't carry the cell, and against one that is kept for
// ever after a single burst.
func TestLoadOutlivesItsOwner(t *testing.T) {
	measured := Load{}
	r := newLoadRecord(Load{Workers: 300, PeakKbps: 9000}, time.Minute, func() Load { return measured })
	if got := r.at(time.Minute); got != (Load{Workers: 300, PeakKbps: 9000}) {
		t.Errorf("before it measured: %+v", got)
	}
	measured = Load{Workers: 310, PeakKbps: 50}
	if got := r.at(2 * time.Minute); got != (Load{Workers: 310, PeakKbps: 9000}) {
		t.Errorf("soon after the claim: %+v", got)
	}
	if got := r.at(time.Minute + loadInheritedFor); got != measured {
		t.Errorf("long after the claim: %+v", got)
	}
	var none *loadRecord
	if got := none.at(0); got != (Load{}) {
		t.Errorf("without a tenure: %+v", got)
	}
}

// Guards against a row without the load, and against a commit whose answer was lost and that
// counts as one of another owner because the load has changed between its tries.
func TestLoadIsWrittenWithEachCommit(t *testing.T) {
	store := &fakeStore{}
	lease, err := claim(t.Context(), store, clock.System{}, Holder{Node: "n", Address: "a"}, ownershipRow{record: api.CellLease{Workers: 70, PeakKbps: 5000}})
	if err != nil {
		t.Fatal(err)
	}
	recorded := func() Load {
		row, err := readOwnershipRow(t.Context(), store)
		if err != nil {
			t.Fatal(err)
		}
		return loadOf(row.record)
	}
	if got := recorded(); got != (Load{Workers: 70, PeakKbps: 5000}) {
		t.Errorf("the claim recorded %+v", got)
	}
	workers := 100
	lease.measureLoad(func() Load { workers++; return Load{Workers: workers} })
	for n := range 4 {
		store.unansweredCommits = n % 2
		for try := 0; ; try++ {
			if _, err = lease.Commit(t.Context(), &rows.Tx{}); err == nil {
				break
			}
			if try > 0 || n%2 == 0 {
				t.Fatalf("commit %d, try %d: %v", n, try, err)
			}
		}
		if got := recorded(); got != (Load{Workers: 101 + n, PeakKbps: 5000}) {
			t.Errorf("commit %d recorded %+v", n, got)
		}
	}
	if err := lease.Release(t.Context(), ""); err != nil || recorded().Workers < 100 {
		t.Errorf("release: %v, recorded %+v", err, recorded())
	}
}

// Guards against an owner of an earlier release whose rows make a node unfit, or fail to decode.
func TestRowOfAnEarlierReleaseNamesNoNeed(t *testing.T) {
	earlier := api.CellLease{Epoch: tokensPerOwner, Node: "n", Incarnation: "i", Address: "a", Commit: 3}
	value, err := earlier.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"earlier release": value, "unreadable": {0xc1}, "empty": nil} {
		row := decodeOwnershipRow(rows.Row{Key: keyOwner, Value: value, Version: 1})
		if got := needOf(loadOf(row.record), 40); got != (Size{}) {
			t.Errorf("%s: need %+v", name, got)
		}
	}
}
