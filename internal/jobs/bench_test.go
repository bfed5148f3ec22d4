package jobs

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// emptyReportWorkers accepts every call and returns an empty report.
type emptyReportWorkers struct{}

func (emptyReportWorkers) Sync(context.Context, api.VM, *api.WorkerSync) (*api.WorkerReport, error) {
	return &api.WorkerReport{}, nil
}

// BenchmarkReport measures the work of the control goroutine for one worker
// report, with 16 running tasks per VM and no changes. The metric %core is the part
// of a core that the reports of all workers take if each sends one report a second.
func BenchmarkReport(b *testing.B) {
	for _, vms := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkReport(b, vms) })
	}
}

func benchmarkReport(b *testing.B, vms int) {
	const tasksPerVM = 16
	p := New(Options{
		Partition: "desk-workers", Records: newFakeRecords(), Workers: emptyReportWorkers{}, Ledger: unlimitedLedger{},
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
	p.SetConfig(&api.Configuration{Teams: []api.Team{{Name: "gallery", Share: 1, Limit: unlimitedLedger{}.Allotment("")}}})
	p.SetFleet(fleet)
	p.Acquire(api.PartitionLease{Partition: "desk-workers", Epoch: 1})
	ctx := context.Background()
	_ = p.runAndWait(ctx, func() {
		p.owner.handleLoaded(rows)
		p.owner.updateQuota()
		for _, w := range p.owner.workers {
			w.fenced = true
			p.owner.updateVM(w)
		}
	})
	b.ResetTimer()
	for i := range b.N {
		_ = p.runAndWait(ctx, func() {
			o := p.owner
			o.handleReport(o.workers[fleet[i%vms].Id], reports[i%vms])
			o.schedule()
			o.saveDirtyJobs()
		})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*float64(vms)/1e7, "%core")
}
