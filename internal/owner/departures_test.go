package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/rows"
)

// slowLoad is a table service whose reads of the works take some time.
type slowLoad struct {
	memoryStore
	time time.Duration
}

func (s slowLoad) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	if table == tableWork {
		time.Sleep(s.time)
	}
	return s.memoryStore.Range(ctx, table, part, from)
}

// departingWorker is a node whose list of workers loses the first one, which drains, at some time.
type departingWorker struct {
	*seriesNode
	at time.Time
}

func (d departingWorker) Run(ctx context.Context, _ cell.Heartbeats, onChange func([]cell.WorkerInfo, []cell.WorkerRef)) {
	workers := d.series.workers
	if time.Now().Before(d.at) {
		draining := append([]cell.WorkerInfo(nil), workers...)
		draining[0].Draining = true
		onChange(draining, nil)
		time.Sleep(time.Until(d.at))
		onChange(workers[1:], []cell.WorkerRef{workers[0].WorkerRef})
	} else {
		onChange(workers[1:], nil)
	}
	<-ctx.Done()
}

func (d departingWorker) Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error) {
	if p.Worker.ID == d.series.workers[0].ID {
		return nil, errProcessEnded
	}
	return d.seriesNode.Poll(ctx, p)
}

// Guards against a task that waits for the end of the leases of a worker which has left as planned
// while an owner loaded its records.
func TestDepartureDuringTheLoadIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = "0000000000000001"
		s := newTenureSeries(t)
		defer time.Sleep(time.Minute) // the calls of the owner end
		delete(s.store, tableProgress)
		s.store.put(t, tableProgress, id, &api.ProgressRow{
			State: api.WorkStateRunning, Team: testTeam, Queue: testAdvisedQueue, Started: true,
			Tasks: []api.TaskProgress{{Phase: api.TaskPhasePlaced, Attempt: 1, Worker: s.workers[0].ID, BornUnixMs: 1}},
		})
		n := s.node("n0")
		departing := departingWorker{n, time.Now().Add(300 * time.Millisecond)}
		n.owner.options.Fleet, n.owner.options.Workers = departing, departing
		n.owner.options.Store = slowLoad{s.store, 600 * time.Millisecond}
		s.runTenure("n0", 1<<20, 3*time.Second, -1)
		if len(s.started) == 0 {
			t.Error("the task is not started again within 2.4 s of the load")
		}
	})
}
