package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// schedulerCore is the part of a scheduler that the benchmarks use.
type schedulerCore interface {
	SetBudget(team string, r api.Resources)
	UpsertVM(VM)
	Submit(Job, time.Time) error
	TaskStarted(TaskID, int, time.Time)
	TaskExited(TaskID, int, Outcome, time.Time)
	ReportUsage(string, []TaskUsage, time.Time)
	Schedule(time.Time, int) []Decision
}

// benchSize is the number of VMs, running tasks and teams of a benchmark.
type benchSize struct{ vms, running, teams int }

// One in acceleratedEvery VMs has accelerators.
const acceleratedEvery = 4

func benchVM(i int) VM {
	v := VM{ID: fmt.Sprintf("vm-%04d", i), Rack: fmt.Sprintf("rack-%d", i/5), FailureDomain: fmt.Sprintf("fd-%d", i/5%8), Capacity: resources(52, 256, 0), State: VMLive}
	if i%acceleratedEvery == 0 {
		v.Capacity.Accelerators = 8
	}
	return v
}

// churn drives a scheduler with a changing load: tasks end at random, and jobs of
// a random mix arrive.
type churn struct {
	scheduler schedulerCore
	rng       *rand.Rand
	now       time.Time
	size      benchSize
	held      []Decision
	jobCount  int
}

func newChurn(core schedulerCore, s benchSize) *churn {
	ch := &churn{scheduler: core, rng: rand.New(rand.NewPCG(1, 2)), now: testStart, size: s}
	for i := range s.vms {
		core.UpsertVM(benchVM(i))
	}
	for i := range s.teams {
		core.SetBudget(fmt.Sprintf("team-%02d", i), resources(1_000_000, 4_000_000, 100_000))
	}
	return ch
}

func benchState(s benchSize) *State {
	state := New(DefaultPolicy())
	var teams []api.Team
	for i := range s.teams {
		teams = append(teams, api.Team{Name: fmt.Sprintf("team-%02d", i), Share: 1 + i%4, Limit: resources(1_000_000, 4_000_000, 100_000)})
	}
	state.SetTeams(teams)
	return state
}

// submitJob adds a job. A fifth of the jobs are services, one in a hundred is a
// gang, one in ten needs accelerators.
func (ch *churn) submitJob() {
	ch.jobCount++
	j := testJob(fmt.Sprintf("team-%02d", ch.rng.IntN(ch.size.teams)), fmt.Sprintf("j%d", ch.jobCount), api.ClassBatch, 1, 1+ch.rng.IntN(5))
	j.Resources.MemoryMb = 1024 * (1 + ch.rng.IntN(20))
	j.EstimatedRun = time.Duration(10+ch.rng.IntN(1000)) * time.Second
	switch k := ch.rng.IntN(100); {
	case k < 20:
		j.Class = api.ClassService
	case k == 20:
		j.Class, j.Tasks = api.ClassGang, 2+ch.rng.IntN(7)
	case k < 31:
		j.Resources.Accelerators = 1
	case k < 35:
		j.Urgency = api.UrgencyUrgent
	}
	if err := ch.scheduler.Submit(j, ch.now); err != nil {
		panic(err)
	}
}

// schedule runs a pass and reports the placed tasks as started.
func (ch *churn) schedule(limit int) int {
	out := ch.scheduler.Schedule(ch.now, limit)
	for _, d := range out {
		if d.Kind == DecisionPlace {
			ch.scheduler.TaskStarted(d.Task, d.Attempt, ch.now)
			ch.held = append(ch.held, d)
		}
	}
	return len(out)
}

// endRandomTask ends one random task successfully.
func (ch *churn) endRandomTask() {
	if len(ch.held) == 0 {
		return
	}
	i := ch.rng.IntN(len(ch.held))
	d := ch.held[i]
	ch.held[i] = ch.held[len(ch.held)-1]
	ch.held = ch.held[:len(ch.held)-1]
	ch.scheduler.TaskExited(d.Task, d.Attempt, OutcomeSuccess, ch.now)
}

// fill submits jobs until the target number of tasks is running, then adds a
// backlog.
func (ch *churn) fill(backlog int) {
	for stuck := 0; len(ch.held) < ch.size.running && stuck < 3; {
		for range 100 {
			ch.submitJob()
		}
		before := len(ch.held)
		ch.schedule(1000)
		if len(ch.held) == before {
			stuck++
		}
		ch.now = ch.now.Add(time.Second)
	}
	for range backlog {
		ch.submitJob()
	}
}

// BenchmarkPlacement measures the cost of a decision while tasks end and jobs
// arrive: with free capacity, and with a backlog of work that does not fit.
func BenchmarkPlacement(b *testing.B) {
	sizes := []benchSize{{48, 780, 6}, {1600, 26_000, 80}}
	for _, s := range sizes {
		for _, backlog := range []int{0, 2000} {
			implementations := []struct {
				name         string
				newScheduler func() schedulerCore
			}{
				{"core", func() schedulerCore { return benchState(s) }},
				{"first-fit", func() schedulerCore { return newFirstFit() }},
			}
			for _, impl := range implementations {
				b.Run(fmt.Sprintf("vms=%d/backlog=%d/%s", s.vms, backlog, impl.name), func(b *testing.B) {
					benchPlacement(b, newChurn(impl.newScheduler(), s), backlog)
				})
			}
		}
	}
}

func benchPlacement(b *testing.B, ch *churn, backlog int) {
	if backlog > 0 {
		ch.size.running *= 2 // more than fits, so that all VMs are full
	}
	ch.fill(backlog)
	ch.schedule(100_000)
	var times []time.Duration
	var spent time.Duration
	placed := 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		ch.now = ch.now.Add(10 * time.Millisecond)
		ch.endRandomTask()
		ch.submitJob()
		begin := time.Now()
		out := ch.scheduler.Schedule(ch.now, 64)
		took := time.Since(begin)
		for _, d := range out {
			switch d.Kind {
			case DecisionPlace:
				ch.scheduler.TaskStarted(d.Task, d.Attempt, ch.now)
				ch.held = append(ch.held, d)
				placed++
			case DecisionStop, DecisionCheckpoint:
				ch.endStopped(d)
			}
		}
		spent += took
		times = append(times, took)
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(times[len(times)-1].Microseconds()), "max-µs")
	b.ReportMetric(float64(len(ch.held)), "running")
	b.ReportMetric(float64(spent.Microseconds())/float64(max(1, placed)), "µs/placement")
}

// endStopped ends a stopped task at once.
func (ch *churn) endStopped(d Decision) {
	for i, h := range ch.held {
		if h.Task == d.Task {
			ch.held[i] = ch.held[len(ch.held)-1]
			ch.held = ch.held[:len(ch.held)-1]
			break
		}
	}
	ch.scheduler.TaskExited(d.Task, d.Attempt, OutcomeStopped, ch.now)
}
