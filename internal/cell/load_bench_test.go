package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// kind is one kind of work of a load.
type kind struct {
	queue    string
	perS     float64
	steps    float64 // mean
	width    float64 // mean
	estimate int     // ms
	size     api.Resources
	saves    bool
	gang     bool
}

// grownKinds is the load of the grown deployments: 660 task starts a second.
var grownKinds = []kind{
	{"quotes", 32, 1.5, 10, 880, api.Resources{CpuMillis: 2700, MemoryMb: 4300}, false, false},
	{"batch", 2.1, 2, 22, 4500, api.Resources{CpuMillis: 4500, MemoryMb: 6700}, true, false},
	{"renders", 4, 1, 4, 4500, api.Resources{CpuMillis: 31000, MemoryMb: 81000, Accelerators: 4}, true, true},
	{"previews", 4.6, 1, 20, 2400, api.Resources{CpuMillis: 5600, MemoryMb: 8200, Accelerators: 1}, true, false},
}

// newGrownWorld returns a world with the fleet of a grown deployment times scale.
func newGrownWorld(t testing.TB, scale float64) *world {
	w := newWorld(t, 1)
	w.goodShare = 0.5
	w.askCost = 30 * time.Millisecond
	advice := &work.Advice{Decision: 20 * time.Millisecond, PerWorker: 300 * time.Microsecond, ValidFor: 2 * time.Second}
	w.queue("quotes", 0, advice)
	w.queue("batch", 2, advice)
	w.queue("renders", 1, advice).Pool = "bench"
	w.queue("previews", 2, advice).Pool = "bench"
	for n := range int(252 * scale) {
		w.addWorker(fmt.Sprintf("d%04d", n), work.Resources{CPUMillis: 20000, MemoryMB: 80000})
	}
	for n := range int(98 * scale) {
		w.addWorker(fmt.Sprintf("r%04d", n), work.Resources{CPUMillis: 64000, MemoryMB: 131000, Accelerators: 8}).pool = "bench"
	}
	var askers []string
	for n := range int(34 * scale) {
		askers = append(askers, fmt.Sprintf("n%d", n))
	}
	w.own()
	w.cell.SetAskers(askers)
	return w
}

// submitFor hands in the works of a time span.
func (w *world) submitFor(kinds []kind, scale float64, d time.Duration) {
	for _, k := range kinds {
		expected := k.perS * scale * d.Seconds()
		n := int(expected)
		if w.rand.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			w.submitOf(k)
		}
	}
}

func (w *world) submitOf(k kind) {
	w.submitted++
	spec := &api.WorkSpec{Id: workID(w.submitted), Queue: k.queue, Team: "team", Payload: "payload"}
	for s := range max(1, int(math.Round(k.steps*(0.5+w.rand.Float64())))) {
		step := api.StepSpec{
			Count: 1 + w.rand.IntN(int(2*k.width)-1), EstimateMs: k.estimate/2 + w.rand.IntN(k.estimate),
			Size: k.size, Checkpoints: k.saves, Gang: k.gang,
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	w.specs[spec.Id] = spec
	w.cell.Submit(spec, func(bool, error) {})
}

// BenchmarkGrownLoad measures the processor time of the decision core for one
// second of the load of a grown deployment.
func BenchmarkGrownLoad(b *testing.B) {
	for _, scale := range []float64{0.14, 1} {
		b.Run(fmt.Sprintf("workers=%d", int(350*scale)), func(b *testing.B) {
			w := newGrownWorld(b, scale)
			const slice = 20 * time.Millisecond
			for range 200 { // fills the cell
				w.submitFor(grownKinds, scale, slice)
				w.run(slice)
			}
			starts := w.cell.stats.Started
			w.spent = 0
			b.ResetTimer()
			for range b.N {
				for range int(time.Second / slice) {
					w.submitFor(grownKinds, scale, slice)
					w.run(slice)
				}
			}
			b.ReportMetric(w.spent.Seconds()/float64(b.N), "core-s/s")
			b.ReportMetric(float64(w.cell.stats.Started-starts)/float64(b.N), "starts/s")
		})
	}
}
