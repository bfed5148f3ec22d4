package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Shape of the simulations with long-running works.
const (
	longRunningSeeds  = 120
	faultPhases       = 6  // each followed by a time without faults
	roundsPerPhase    = 12 // faults and submissions in a phase
	longRunningWorks  = 4
	longRunningTasks  = 2               // of each of these works
	permittedWorkers  = 3               // workers that the adviser permits for each of these works
	longRunningReturn = 7 * time.Second // the longest wait once there are no faults
)

// Guards against long-running tasks that wait beside workers with room after these were
// unlisted, advice calls have failed, and workers and owners have failed.
func TestLongRunningTasksReturnAfterRandomFaults(t *testing.T) {
	for seed := range uint64(longRunningSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLongRunningFaults(t, seed, nil) })
	}
}

// Guards against the same, and against long-running tasks that run twice, while owners release the
// cell to each other.
func TestLongRunningTasksReturnWhileOwnersReleaseTheCell(t *testing.T) {
	for seed := range uint64(longRunningSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLongRunningFaults(t, seed, onlyReleases) })
	}
}

// Guards against the same while owners end in any way.
func TestLongRunningTasksReturnWhileOwnersEndInAnyWay(t *testing.T) {
	for seed := range uint64(longRunningSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLongRunningFaults(t, seed, anyEnd) })
	}
}

func runLongRunningFaults(t *testing.T, seed uint64, ends tenureEnds) {
	sim := newSimulation(t, seed)
	cuts := &randomCuts{sim: sim, rand: rand.New(rand.NewPCG(seed, 3))}
	sim.setTenureEnds(ends)
	sim.keepsOwner = seed%2 == 1 && ends == nil // a takeover heals most of what the owner has forgotten
	sim.allowedShare = 0.6
	advice := shortAdvice()
	sim.queue("advised", 0, advice)
	sim.queue("services", 1, advice)
	sim.config.Teams["team"] = &work.Team{Name: "team", SubmitRate: 10, Limit: work.Resources{CPUMillis: 16000}}
	sim.addWorkers(8)
	sim.startOwner()
	services := cuts.submitLongRunning()
	sim.runUntil(longRunningReturn, "all long-running tasks run", func() bool { return sim.allRun(services) })
	for phase := range faultPhases {
		sim.answerLossShare, sim.lateCallShare, sim.failShare = 0.05, 0.02, 0.02
		for n := range roundsPerPhase {
			sim.randomSubmission(100 + phase*roundsPerPhase + n)
			sim.randomFault()
			cuts.inject()
			sim.runFor(500 * time.Millisecond)
		}
		sim.clearFaults()
		if !sim.runsAllWithin(longRunningReturn, services) {
			sim.logState()
			t.Fatalf("phase %d: not all long-running tasks run after %v without faults", phase, longRunningReturn)
		}
	}
}

// submitLongRunning submits the long-running works and returns their specs. Their team has
// no limit.
func (r *randomCuts) submitLongRunning() []*api.WorkSpec {
	var specs []*api.WorkSpec
	for n := range longRunningWorks {
		step := tasksOf(longRunningTasks, 0)
		step.LongRunning = true
		spec := oneStep(n, "services", step)
		spec.Team = "services"
		id := work.StepID{Work: spec.Id}
		for i, worker := range r.rand.Perm(len(r.sim.workers)) {
			r.sim.allowedWorkers[fmt.Sprintf("%s/w%d", id, worker)] = i < permittedWorkers
		}
		r.sim.submit(spec)
		specs = append(specs, spec)
	}
	return specs
}

// allRun reports whether all tasks of the works run.
func (sim *simulation) allRun(specs []*api.WorkSpec) bool {
	for _, spec := range specs {
		for i := range spec.Steps[0].Count {
			id := work.TaskID{StepID: work.StepID{Work: spec.Id}, Index: i}
			if !sim.runs(id.String()) {
				return false
			}
		}
	}
	return true
}

// runs reports whether a task runs on a worker.
func (sim *simulation) runs(task string) bool {
	for _, f := range sim.workers {
		if f.runs[task] != nil {
			return true
		}
	}
	return false
}

// runsAllWithin reports whether all tasks of the works run at the same time within d.
func (sim *simulation) runsAllWithin(d time.Duration, specs []*api.WorkSpec) bool {
	for end := sim.now + d; sim.now < end; {
		if sim.allRun(specs) {
			return true
		}
		sim.runFor(simTick)
	}
	return sim.allRun(specs)
}

// randomCuts injects faults that cut workers off from the list of workers and the owner
// from the adviser.
type randomCuts struct {
	sim  *simulation
	rand *rand.Rand
}

// inject injects at most one fault.
func (r *randomCuts) inject() {
	switch r.rand.IntN(8) {
	case 0:
		r.cutOff(r.anyWorker(), r.rand.IntN(2) == 0)
	case 1:
		for _, id := range sortedKeys(r.sim.workers) {
			if r.rand.IntN(2) == 0 {
				r.cutOff(r.sim.workers[id], true)
			}
		}
	case 2:
		r.sim.adviceFails = true
		r.sim.after(r.upTo(5*time.Second), func() { r.sim.adviceFails = false })
	}
}

// cutOff removes a worker from the list for a while, and lists the same incarnation again.
func (r *randomCuts) cutOff(f *fakeWorker, unresponsive bool) {
	f.listed = false
	f.unresponsive = f.unresponsive || unresponsive
	r.sim.updateWorkers()
	r.sim.after(r.upTo(15*time.Second), func() {
		f.listed, f.unresponsive = true, false
		r.sim.updateWorkers()
	})
}

func (r *randomCuts) anyWorker() *fakeWorker {
	return r.sim.workers[fmt.Sprintf("w%d", r.rand.IntN(len(r.sim.workers)))]
}

// upTo returns a random time of at most d.
func (r *randomCuts) upTo(d time.Duration) time.Duration {
	return time.Duration(1+r.rand.Int64N(d.Milliseconds())) * time.Millisecond
}
