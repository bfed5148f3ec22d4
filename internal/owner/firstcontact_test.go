package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/work"
)

// gatedWorkers answer polls once their gate is open.
type gatedWorkers struct {
	Workers
	gates map[string]chan struct{} // by worker
}

func (w gatedWorkers) Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error) {
	select {
	case <-w.gates[p.Worker.ID]:
		return &cell.Report{ClockMs: 1, IncarnationUnixMs: p.Worker.IncarnationUnixMs}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordingAdviser records the workers of its calls.
type recordingAdviser struct {
	mu    sync.Mutex
	calls [][]string
}

func (a *recordingAdviser) Advise(_ context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, call.Workers)
	return &api.AdviceAnswer{ValidMs: 1500}, nil
}

func (a *recordingAdviser) recorded() [][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Guards against a long-running task that gets no ticket in a series of short tenures
// because each one asks only about the few workers that have answered so far.
func TestAdviceIsAskedForOnceWorkersHaveAnswered(t *testing.T) {
	const id = "0000000000000001"
	store := memoryStore{}
	stored := testWork(id)
	stored.Work.Queue = testAdvisedQueue
	store.put(t, tableWork, id, stored)
	store.put(t, tableProgress, id, &api.ProgressRow{State: api.WorkStateQueued, Team: testTeam, Queue: testAdvisedQueue})
	tenure := newTestTenure(store)
	workers := gatedWorkers{gates: map[string]chan struct{}{"w1": make(chan struct{}), "w2": make(chan struct{})}}
	adviser := &recordingAdviser{}
	tenure.options.Workers, tenure.options.Adviser = workers, adviser
	tenure.inbox = make(chan func(), inboxSize)
	tenure.commitInFlight = true // the test makes no commits
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	tenure.SetMembers([]string{tenure.options.SelfAddress}, nil)
	pass := func() {
		tenure.clock.Advance(time.Millisecond)
		tenure.drainInbox()
		tenure.runPass()
	}
	var list []cell.WorkerInfo
	for worker := range workers.gates {
		list = append(list, cell.WorkerInfo{
			WorkerRef: cell.WorkerRef{ID: worker, IncarnationUnixMs: 1, Address: worker}, Pool: testPool,
			Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000},
		})
	}
	pass()
	tenure.setWorkers(list, nil)
	pass()
	close(workers.gates["w1"])
	for range 20 {
		pass()
		time.Sleep(time.Millisecond)
	}
	if calls := adviser.recorded(); len(calls) > 0 {
		t.Fatalf("asked about %v before w2 has answered", calls)
	}
	close(workers.gates["w2"])
	for end := time.Now().Add(2 * time.Second); len(adviser.recorded()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		pass()
	}
	if calls := adviser.recorded(); len(calls) != 1 || len(calls[0]) != 2 {
		t.Errorf("asked about %v, want one call for both workers", calls)
	}
}
