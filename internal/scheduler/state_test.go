package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

var testStart = time.Date(2025, 3, 1, 8, 0, 0, 0, time.UTC)

func resources(cores, gb, accelerators int) api.Resources {
	return api.Resources{CpuMillis: cores * 1000, MemoryMb: gb * 1024, Accelerators: accelerators}
}

// newState returns a state with n VMs of 16 cores in 3 failure domains and racks
// of 5 VMs, and with the named teams, which have share 1 and no effective
// limit.
func newState(n int, teams ...string) *State {
	s := New(DefaultPolicy())
	var list []api.Team
	for _, name := range teams {
		list = append(list, api.Team{Name: name, Share: 1, Limit: resources(100_000, 1_000_000, 10_000)})
	}
	s.SetTeams(list)
	for _, name := range teams {
		s.SetBudget(name, resources(100_000, 1_000_000, 10_000))
	}
	for i := range n {
		s.UpsertVM(testVM(i))
	}
	return s
}

func testVM(i int) VM {
	return VM{
		ID: fmt.Sprintf("vm-%04d", i), Rack: fmt.Sprintf("rack-%d", i/5), FailureDomain: fmt.Sprintf("fd-%d", i/5%3),
		Capacity: resources(16, 64, 0), State: VMLive,
	}
}

func testJob(team, name string, class api.Class, tasks, cores int) Job {
	return Job{
		ID: team + "/" + name, Team: team, Queue: "q", Class: class, Urgency: api.UrgencyNormal,
		Tasks: tasks, Resources: resources(cores, cores, 0), EstimatedRun: time.Minute,
	}
}

func mustSubmit(t testing.TB, s *State, j Job, now time.Time) {
	t.Helper()
	if err := s.Submit(j, now); err != nil {
		t.Fatalf("submit %s: %v", j.ID, err)
	}
}

// TestLifecycle guards against a task that is lost, run twice or kept after its
// job has finished.
func TestLifecycle(t *testing.T) {
	s := newState(2, "a")
	mustSubmit(t, s, testJob("a", "j", api.ClassBatch, 3, 4), testStart)
	out := s.Schedule(testStart, 100)
	if len(out) != 3 {
		t.Fatalf("got %d decisions, want 3", len(out))
	}
	for _, d := range out {
		s.TaskStarted(d.Task, d.Attempt, testStart)
		s.TaskExited(d.Task, d.Attempt, OutcomeSuccess, testStart.Add(time.Second))
	}
	if len(s.jobs) != 0 || s.Allocated("a") != (api.Resources{}) || s.PendingDemand("a") != (api.Resources{}) {
		t.Fatalf("state remains after the job has finished: %+v", s.Snapshot())
	}
}
