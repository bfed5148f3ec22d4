package jobs

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// steadyWorkers accepts every call and reports what the owner thinks runs.
type steadyWorkers struct{}

func (steadyWorkers) Sync(context.Context, api.VM, *api.WorkerSync) (*api.WorkerReport, error) {
	return &api.WorkerReport{}, nil
}

// BenchmarkReport measures the control goroutine's work for one worker report,
// in a steady partition with 16 running tasks a VM. One report a second comes
// from each worker.
func BenchmarkReport(b *testing.B) {
	for _, vms := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkReport(b, vms) })
	}
}

func benchmarkReport(b *testing.B, vms int) {
	const tasksPerVM = 16
	p := New(Options{
		Partition: "desk-workers", Records: newFakeRecords(), Workers: steadyWorkers{}, Ledger: openLedger{},
		Leadership: &fakeLeadership{lost: true}, Clock: clock.System{}, Logger: log.NewNopLogger(),
	})
	defer p.Close()
	fleet := make([]api.VM, vms)
	rows := make([]Record, vms)
	reports := make([]*api.WorkerReport, vms)
	for i := range fleet {
		fleet[i] = api.VM{
			Id: fmt.Sprintf("vm-%d", i), Rack: fmt.Sprintf("rack-%d", i/5), FailureDomain: "fd", State: api.VMStateLive,
			Capacity: api.Resources{CpuMillis: 64000, MemoryMb: 64000}, WorkerAddress: "127.0.0.1:1",
		}
		s := spec(fmt.Sprintf("job-%d", i), tasksPerVM)
		rows[i] = Record{Row: newRow(s, "desk-workers", clock.System{}.Now()), Version: int64(i + 1)}
		reports[i] = &api.WorkerReport{Vm: fleet[i].Id}
		for k := range rows[i].Row.Tasks {
			task := &rows[i].Row.Tasks[k]
			task.State, task.Vm, task.Attempt = api.TaskStateRunning, fleet[i].Id, 1
			reports[i].Tasks = append(reports[i].Tasks, api.TaskReport{
				TaskId: taskID(jobKey(s.Team, s.Id), k), Attempt: 1, State: api.TaskReportStateRunning, Usage: s.Resources,
			})
		}
	}
	p.SetConfig(&api.Configuration{Teams: []api.Team{{Name: "gallery", Share: 1, Limit: openLedger{}.Held("")}}})
	p.SetFleet(fleet)
	p.Acquire(api.PartitionLease{Partition: "desk-workers", Epoch: 1})
	ctx := context.Background()
	_ = p.call(ctx, func() {
		p.owned.loaded(rows)
		p.owned.stepQuota()
		for _, w := range p.owned.workers {
			w.fenced = true
			p.owned.upsert(w)
		}
	})
	b.ResetTimer()
	for i := range b.N {
		_ = p.call(ctx, func() {
			t := p.owned
			t.handleReport(t.workers[fleet[i%vms].Id], reports[i%vms])
			t.schedule()
			t.saveDirty()
		})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*float64(vms)/1e7, "%core")
}
