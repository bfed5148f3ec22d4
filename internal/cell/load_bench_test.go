package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// workKind describes a class of works in a generated load.
type workKind struct {
	queue        string
	perSecond    float64 // submissions of works
	steps        float64 // mean number in a work
	tasksPerStep float64 // mean number in a step
	estimateMs   int
	size         api.Resources
	checkpoints  bool
	gang         bool
}

// largeLoadKinds is the load of a large deployment: 660 task starts a second.
var largeLoadKinds = []workKind{
	{"quotes", 32, 1.5, 10, 880, api.Resources{CpuMillis: 2700, MemoryMb: 4300}, false, false},
	{"batch", 2.1, 2, 22, 4500, api.Resources{CpuMillis: 4500, MemoryMb: 6700}, true, false},
	{"renders", 4, 1, 4, 4500, api.Resources{CpuMillis: 31000, MemoryMb: 81000, Accelerators: 4}, true, true},
	{"previews", 4.6, 1, 20, 2400, api.Resources{CpuMillis: 5600, MemoryMb: 8200, Accelerators: 1}, true, false},
}

// newLargeSimulation returns a simulation with the fleet of a large deployment times
// scale.
func newLargeSimulation(t testing.TB, scale float64) *simulation {
	sim := newSimulation(t, 1)
	sim.allowedShare = 0.5
	sim.adviceTime = 30 * time.Millisecond
	advice := &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: 300 * time.Microsecond, ValidFor: 2 * time.Second}
	sim.queue("quotes", 0, advice)
	sim.queue("batch", 2, advice)
	sim.queue("renders", 1, advice).Pool = "bench"
	sim.queue("previews", 2, advice).Pool = "bench"
	for n := range int(252 * scale) {
		sim.addWorker(fmt.Sprintf("d%04d", n), work.Resources{CPUMillis: 20000, MemoryMB: 80000})
	}
	for n := range int(98 * scale) {
		sim.addWorker(fmt.Sprintf("r%04d", n), work.Resources{CPUMillis: 64000, MemoryMB: 131000, Accelerators: 8}).pool = "bench"
	}
	var nodes []string
	for n := range int(34 * scale) {
		nodes = append(nodes, fmt.Sprintf("n%d", n))
	}
	sim.startOwner()
	sim.cell.SetAdviceNodes(nodes)
	return sim
}

// submitLoad submits the works that arrive in the time d at the rates of the kinds times
// scale.
func (sim *simulation) submitLoad(kinds []workKind, scale float64, d time.Duration) {
	for _, k := range kinds {
		expected := k.perSecond * scale * d.Seconds()
		n := int(expected)
		if sim.rand.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			sim.submitWorkOf(k)
		}
	}
}

func (sim *simulation) submitWorkOf(k workKind) {
	sim.submitted++
	spec := &api.WorkSpec{Id: workID(sim.submitted), Queue: k.queue, Team: "team", Payload: "payload"}
	for s := range max(1, int(math.Round(k.steps*(0.5+sim.rand.Float64())))) {
		step := api.StepSpec{
			Count: 1 + sim.rand.IntN(int(2*k.tasksPerStep)-1), EstimateMs: k.estimateMs/2 + sim.rand.IntN(k.estimateMs),
			Size: k.size, Checkpoints: k.checkpoints, Gang: k.gang,
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	sim.specs[spec.Id] = spec
	sim.cell.Submit(spec, func(bool, error) {})
}

// BenchmarkLargeLoad measures the CPU time of the scheduler core for one second of the
// load of a large deployment.
func BenchmarkLargeLoad(b *testing.B) {
	for _, scale := range []float64{0.14, 1} {
		b.Run(fmt.Sprintf("workers=%d", int(350*scale)), func(b *testing.B) {
			sim := newLargeSimulation(b, scale)
			const slice = 20 * time.Millisecond
			for range 200 { // warm-up: fills the cell
				sim.submitLoad(largeLoadKinds, scale, slice)
				sim.runFor(slice)
			}
			starts := sim.cell.stats.Started
			sim.cpuTime = 0
			b.ResetTimer()
			for range b.N {
				for range int(time.Second / slice) {
					sim.submitLoad(largeLoadKinds, scale, slice)
					sim.runFor(slice)
				}
			}
			b.ReportMetric(sim.cpuTime.Seconds()/float64(b.N), "core-s/s")
			b.ReportMetric(float64(sim.cell.stats.Started-starts)/float64(b.N), "starts/s")
		})
	}
}

// BenchmarkBacklogPass measures one pass of a cell of 540 workers in which several hundred
// works wait for their first advice, as after a takeover, and 97 nodes are free for calls.
func BenchmarkBacklogPass(b *testing.B) {
	const waiting = 400
	var nodes []string
	for n := range 97 {
		nodes = append(nodes, fmt.Sprintf("n%d", n))
	}
	for b.Loop() {
		b.StopTimer()
		sim := newLargeSimulation(b, 1.55)
		sim.cell.SetAdviceNodes(nil)
		for n := range waiting {
			sim.submitWorkOf(largeLoadKinds[n%len(largeLoadKinds)])
		}
		sim.runFor(300 * time.Millisecond)
		sim.cell.SetAdviceNodes(nodes)
		sim.cell.Advance(sim.now, sim.wall)
		sim.cell.changed = true
		b.StartTimer()
		sim.cell.Schedule()
		b.StopTimer()
		b.ReportMetric(float64(len(sim.cell.DrainEffects().AdviceCalls)), "calls")
		b.StartTimer()
	}
}
