package packing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/work"
)

const testHalfLife = 10 * time.Second

// tolerance of comparisons of sums in different order.
const tolerance = 1e-9

// acceleratorWorker is a worker of 128 cores, 256 GB and 8 accelerators.
var acceleratorWorker = resources(128, 256, 8)

func resources(cores, memoryGB float64, accelerators int) work.Resources {
	return work.Resources{CPUMillis: int(cores * 1000), MemoryMB: int(memoryGB * 1000), Accelerators: accelerators}
}

func newTestDemand(arrivals ...Arrival) *Demand {
	d := NewDemand(testHalfLife)
	d.SetCapacity(acceleratorWorker.Times(98), acceleratorWorker)
	for _, a := range arrivals {
		d.Observe(0, a)
	}
	return d
}

// arrival returns one task whose weight is the dominant share of its size times a second.
func arrival(size work.Resources) Arrival {
	return Arrival{Shape: Shape{Size: size}, Tasks: 1, Duration: time.Second}
}

func cost(d *Demand, size, free work.Resources) float64 {
	p := d.Placement(size)
	return p.Cost(free)
}

// Guards against errors in the count of destroyed fits: in any one resource, at the limit of
// tasks per worker, and beyond what the placed task takes.
func TestCostCountsDestroyedFits(t *testing.T) {
	small, wide4, wide8 := resources(11, 16, 1), resources(62, 64, 4), resources(62, 64, 8)
	for _, tc := range []struct {
		name       string
		shape      Shape
		size, free work.Resources
		want       float64
	}{
		{"fit of half a worker destroyed by accelerators", Shape{Size: wide4}, small, resources(128, 256, 4), 0.5 * 0.75},
		{"one of two fits destroyed", Shape{Size: wide4}, small, resources(128, 256, 8), 0.5 * 0.75},
		{"accelerators to spare", Shape{Size: wide4}, small, resources(128, 256, 5), 0},
		{"fit destroyed by cores", Shape{Size: wide4}, small, resources(64, 256, 5), 0.5 * 0.75},
		{"fit destroyed by memory", Shape{Size: wide4}, small, resources(128, 64, 5), 0.5 * 0.75},
		{"no fit left to destroy", Shape{Size: wide4}, small, resources(61, 256, 8), 0},
		{"whole worker", Shape{Size: wide8}, small, acceleratorWorker, 1 - 0.125},
		{"placed task takes as many fits as its dominant share", Shape{Size: small}, wide8, acceleratorWorker, 0},
		{"cores taken from tasks of accelerators", Shape{Size: small}, resources(62, 64, 2), resources(62, 256, 8), 0.125 * 3},
		{"memory of the placed task does not excuse lost accelerators", Shape{Size: wide4}, resources(11, 64, 1), resources(128, 256, 4), 0.5 * 0.75},
		{"without accelerators of its own", Shape{Size: wide4}, resources(40, 16, 0), resources(80, 256, 8), 0.5},
		{"limit per worker leaves a fit to spare", Shape{wide4, 1}, small, resources(128, 256, 8), 0},
		{"limit per worker reached by no other fit", Shape{wide4, 1}, small, resources(128, 256, 4), 0.5 * 0.75},
		{"no room for the task itself", Shape{Size: wide4}, small, resources(0, 0, 0), 0},
		{"overcommitted worker", Shape{Size: wide4}, small, resources(-200, -300, -9), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := arrival(tc.shape.Size)
			a.MaxPerWorker = tc.shape.MaxPerWorker
			if got := cost(newTestDemand(a), tc.size, tc.free); math.Abs(got-tc.want) > tolerance {
				t.Errorf("cost %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a cost that ignores how much of the demand a shape is.
func TestCostIsWeightedByDemand(t *testing.T) {
	small, wide := resources(11, 16, 1), resources(62, 64, 8)
	few := newTestDemand(arrival(wide), Arrival{Shape{Size: small}, 72, time.Second})
	many := newTestDemand(Arrival{Shape{Size: wide}, 9, time.Second}, arrival(small).times(8))
	if got, want := cost(few, small, acceleratorWorker), 0.1*0.875; math.Abs(got-want) > tolerance {
		t.Errorf("cost %v beside a tenth of wide tasks, want %v", got, want)
	}
	if got, want := cost(many, small, acceleratorWorker), 0.9*0.875; math.Abs(got-want) > tolerance {
		t.Errorf("cost %v beside nine tenths of wide tasks, want %v", got, want)
	}
}

func (a Arrival) times(n int) Arrival {
	a.Tasks *= n
	return a
}

// Guards against demand that outlives a shift of the load, and against weights that decay by
// anything but the time.
func TestDemandFollowsAShift(t *testing.T) {
	old, recent := resources(62, 64, 8), resources(11, 16, 1)
	d := newTestDemand(arrival(old))
	d.Observe(testHalfLife, arrival(recent).times(8))
	if got, want := shareOf(d, old), 1.0/3; math.Abs(got-want) > tolerance {
		t.Errorf("share %v after a half-life, want %v", got, want)
	}
	d.Observe(testHalfLife/2, arrival(recent).times(8)) // an earlier time doesn't undo the decay
	if got, want := shareOf(d, old), 0.2; math.Abs(got-want) > tolerance {
		t.Errorf("share %v after an arrival at an earlier time, want %v", got, want)
	}
	d.Observe(11*testHalfLife, arrival(recent))
	if got := len(d.Shares()); got != 1 {
		t.Errorf("%d shapes, want the one that still arrives", got)
	}
}

func shareOf(d *Demand, size work.Resources) float64 {
	for _, s := range d.Shares() {
		if s.Size == size {
			return s.Share
		}
	}
	return 0
}

// Guards against arrivals that say nothing, and against long-running tasks that hide all other
// demand.
func TestWeightOfArrivals(t *testing.T) {
	size := resources(11, 16, 1)
	for _, a := range []Arrival{{}, {Shape{Size: size}, 0, time.Second}, {Shape{Size: size}, 1, 0}, {Shape{Size: size}, -1, -time.Second}, arrival(work.Resources{})} {
		if d := newTestDemand(a); len(d.Shares()) != 0 || cost(d, resources(62, 64, 8), acceleratorWorker) != 0 {
			t.Errorf("%+v counts as demand", a)
		}
	}
	d := newTestDemand(Arrival{Shape{Size: resources(22, 16, 2)}, 1, 1000 * time.Hour}, Arrival{Shape{Size: size}, 2, testHalfLife})
	if got := shareOf(d, size); math.Abs(got-0.5) > tolerance {
		t.Errorf("share %v beside a long-running task, want 0.5", got)
	}
	unknown := NewDemand(testHalfLife)
	unknown.Observe(0, arrival(resources(62, 64, 8)))
	if got := cost(unknown, size, acceleratorWorker); got != 0 {
		t.Errorf("cost %v in a pool of unknown capacity, want 0", got)
	}
}

// Guards against similar sizes that use up the bounded number of shapes, and against a
// representative that fits where the larger of the merged sizes does not.
func TestSimilarSizesAreMerged(t *testing.T) {
	d := newTestDemand(arrival(resources(10, 16.5, 1)), arrival(resources(10.5, 16.4, 1)), arrival(resources(10, 16.5, 2)))
	shares := d.Shares()
	if len(shares) != 2 || shares[0].Size != resources(10.5, 16.5, 1) || shares[1].Size != resources(10, 16.5, 2) {
		t.Errorf("shapes %+v", shares)
	}
	if got := cost(newTestDemand(arrival(resources(42, 16, 1))), resources(40, 16, 1), resources(42, 16, 1)); got != 0 {
		t.Errorf("cost %v for a size merged with the only shape, want 0", got)
	}
}

// Guards against unbounded memory, and against the loss of the shapes that matter most.
func TestLeastWeightedShapeIsDropped(t *testing.T) {
	d := newTestDemand()
	for i := range 3 * MaxShapes {
		d.Observe(0, arrival(resources(math.Exp2(float64(i)/3), 1, 0)).times(1+i%7))
	}
	if got := len(d.Shares()); got != MaxShapes {
		t.Fatalf("%d shapes, want %d", got, MaxShapes)
	}
	heavy := resources(62, 64, 8)
	d.Observe(0, arrival(heavy).times(1_000_000))
	for i := range MaxShapes {
		d.Observe(0, arrival(resources(1, math.Exp2(float64(i)), 0)))
	}
	if shareOf(d, heavy) == 0 {
		t.Error("the shape with most weight was dropped")
	}
}

// Guards against a new shape with small, frequent arrivals that is dropped after each of them
// and never seen.
func TestFrequentSmallArrivalsAreKept(t *testing.T) {
	d := newTestDemand()
	for i := range MaxShapes {
		d.Observe(0, arrival(resources(1, math.Exp2(float64(i)/2), 1)).times(100))
	}
	size := resources(2, 1, 0)
	for range 20_000 {
		d.Observe(0, arrival(size))
	}
	if got := shareOf(d, size); got < 0.1 {
		t.Errorf("share %v of the shape that arrives most", got)
	}
}

// Guards against a cost that is negative or above 1, that differs between workers with room
// while all tasks have one size, or that depends on the order in which shapes were seen.
func TestCostProperties(t *testing.T) {
	amounts := rapid.Custom(func(t *rapid.T) work.Resources {
		return work.Resources{
			CPUMillis:    rapid.IntRange(0, acceleratorWorker.CPUMillis).Draw(t, "cpu"),
			MemoryMB:     rapid.IntRange(0, acceleratorWorker.MemoryMB).Draw(t, "memory"),
			Accelerators: rapid.IntRange(0, acceleratorWorker.Accelerators).Draw(t, "accelerators"),
		}
	})
	arrivals := rapid.Custom(func(t *rapid.T) Arrival {
		return Arrival{
			Shape:    Shape{amounts.Draw(t, "size"), rapid.IntRange(0, 4).Draw(t, "limit")},
			Tasks:    rapid.IntRange(1, 50).Draw(t, "tasks"),
			Duration: time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		seen := rapid.SliceOfN(arrivals, 0, MaxShapes).Draw(t, "arrivals")
		size, free := amounts.Draw(t, "placed"), amounts.Draw(t, "free")
		got := cost(newTestDemand(seen...), size, free)
		if got < 0 || got > 1+tolerance || math.IsNaN(got) {
			t.Fatalf("cost %v", got)
		}
		shuffled := rapid.Permutation(seen).Draw(t, "shuffled")
		if other := cost(newTestDemand(shuffled...), size, free); math.Abs(other-got) > tolerance {
			t.Fatalf("cost %v in one order, %v in another", got, other)
		}
		var same []Arrival
		for _, a := range seen {
			a.Size = size
			same = append(same, a)
		}
		if only := cost(newTestDemand(same...), size, free); only != 0 {
			t.Fatalf("cost %v while all tasks have one size", only)
		}
	})
}

// benchmarkDemand has MaxShapes shapes, all of which fit on an empty worker.
func benchmarkDemand() *Demand {
	d := newTestDemand()
	for i := range MaxShapes {
		scale := math.Pow(1.2, float64(i)) // more than a logarithmic step
		d.Observe(0, arrival(resources(4*scale, 8*scale, 1+i/2)))
	}
	return d
}

// Guards against allocations where each placement compares up to 100 workers.
func TestCostDoesNotAllocate(t *testing.T) {
	d := benchmarkDemand()
	if got := len(d.Shares()); got != MaxShapes {
		t.Fatalf("%d shapes, want %d", got, MaxShapes)
	}
	sum := 0.0
	if n := testing.AllocsPerRun(100, func() {
		p := d.Placement(resources(11, 16, 1))
		sum += p.Cost(acceleratorWorker)
	}); n != 0 {
		t.Errorf("%v allocations for each placement", n)
	}
	if sum == 0 {
		t.Error("the placement destroys no fit, so it shows nothing")
	}
}

func BenchmarkCost(b *testing.B) {
	p := benchmarkDemand().Placement(resources(11, 16, 1))
	for b.Loop() {
		p.Cost(acceleratorWorker)
	}
}

func BenchmarkPlacement(b *testing.B) {
	d := benchmarkDemand()
	for b.Loop() {
		d.Placement(resources(11, 16, 1))
	}
}

func BenchmarkObserve(b *testing.B) {
	d := benchmarkDemand()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		d.Observe(now, arrival(resources(4, 8, 1)))
	}
}
