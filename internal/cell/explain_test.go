package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// newExplainSimulation returns a simulation with workers w0, w1 and so on that have reported,
// and the team "team" without a limit.
func newExplainSimulation(t *testing.T, workers int) *simulation {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.addWorkers(workers)
	sim.config.Teams["team"] = &work.Team{Name: "team"}
	sim.queue("advised", 0, shortAdvice())
	sim.startOwner()
	sim.runFor(time.Second)
	return sim
}

// explain explains a work and fails the test after an error.
func (sim *simulation) explain(spec *api.WorkSpec) *api.ExplainAnswer {
	sim.t.Helper()
	out, err := sim.cell.Explain(spec)
	if err != nil {
		sim.t.Fatalf("explain: %v", err)
	}
	return out
}

// explainedWorker returns what the explanation of a step says about a worker.
func explainedWorker(t *testing.T, s *api.ExplainStep, id string) api.ExplainWorker {
	t.Helper()
	for _, w := range s.Workers {
		if w.Worker == id {
			return w
		}
	}
	t.Fatalf("worker %s is not in the explanation", id)
	return api.ExplainWorker{}
}

// Guards against an explanation that names another reason than the one that excludes a worker.
func TestExplainNamesTheExclusion(t *testing.T) {
	for want, exclude := range map[string]func(sim *simulation, w *worker){
		"evacuations_unknown": func(sim *simulation, _ *worker) {
			sim.cell.opts.MaxEvacuationsAge = time.Second
			sim.cell.evacuations.confirmedAt = sim.now - 2*time.Second
		},
		"unlisted":     func(_ *simulation, w *worker) { w.listed = false },
		"evacuated":    func(_ *simulation, w *worker) { w.evacuated = true },
		"unresponsive": func(sim *simulation, w *worker) { w.unresponsiveSince = sim.now },
		"quarantined":  func(sim *simulation, w *worker) { w.health.quarantinedUntil = sim.now + time.Second },
		"paused":       func(sim *simulation, w *worker) { w.health.pause(sim.now, time.Second) },
		"unsuitable":   func(_ *simulation, w *worker) { w.info.Capacity.MemoryMB = 512 },
		"no_room":      func(_ *simulation, w *worker) { w.used.CPUMillis = 3500 },
		"reserved": func(sim *simulation, w *worker) {
			urgent := &step{work: &activeWork{spec: &api.WorkSpec{}}, orderKey: orderKey{rank: rankInTime, startBy: 0}}
			w.reservations = []reservation{{step: urgent, size: smallWorker, availableAt: sim.now}}
		},
		"": func(*simulation, *worker) {},
	} {
		sim := newExplainSimulation(t, 2)
		exclude(sim, sim.cell.workers["w1"])
		step := sim.explain(oneStep(1, "quotes", tasksOf(2, 1000))).Steps[0]
		w := explainedWorker(t, &step, "w1")
		if w.ExcludedBy != want {
			t.Errorf("excluded by %q, want %q", w.ExcludedBy, want)
		}
		if candidate := want == ""; candidate != (w.Fits > 0) {
			t.Errorf("%q: %d tasks fit", want, w.Fits)
		}
		if want != "" && step.Workers[1].Worker != "w1" {
			t.Errorf("%q: the excluded worker is not the last", want)
		}
	}
}

// Guards against a reason without a name, which would read as a candidate.
func TestExclusionsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for e, name := range exclusionNames {
		if (name == "") != (exclusion(e) == notExcluded) || seen[name] {
			t.Errorf("exclusion %d has the name %q", e, name)
		}
		seen[name] = true
	}
}

// Guards against a count of tasks that neglects the room that the other tasks use, the limit per
// worker, or a step that is placed before in the same pass.
func TestExplainCountsTheRoomOfItsOwnTasks(t *testing.T) {
	sim := newExplainSimulation(t, 2) // 4 tasks fit on each
	limited := tasksOf(6, 1000)
	limited.MaxPerWorker = 1
	second := tasksOf(6, 1000)
	afterFirst := tasksOf(2, 1000)
	afterFirst.After = []int{0}
	for name, tc := range map[string]struct {
		steps     []api.StepSpec
		placeable []int
		fits      []int // on w0
		waits     []string
	}{
		"fewer than fit":         {[]api.StepSpec{tasksOf(5, 1000)}, []int{5}, []int{4}, []string{""}},
		"more than fit":          {[]api.StepSpec{tasksOf(20, 1000)}, []int{8}, []int{4}, []string{"room"}},
		"limit per worker":       {[]api.StepSpec{limited}, []int{2}, []int{1}, []string{"room"}},
		"two ready steps":        {[]api.StepSpec{tasksOf(6, 1000), second}, []int{6, 2}, []int{4, 0}, []string{"", "room"}},
		"step after another one": {[]api.StepSpec{tasksOf(6, 1000), afterFirst}, []int{6, 0}, []int{4, 2}, []string{"", "the end of step 0"}},
	} {
		out := sim.explain(&api.WorkSpec{Id: workID(1), Queue: "quotes", Team: "team", Steps: tc.steps})
		for i, s := range out.Steps {
			if s.Step != i || s.Placeable != tc.placeable[i] || s.WaitsFor != tc.waits[i] {
				t.Errorf("%s: step %d: %d placeable, waits for %q; want %d, %q", name, i, s.Placeable, s.WaitsFor, tc.placeable[i], tc.waits[i])
			}
			if w := explainedWorker(t, &s, "w0"); w.Fits != tc.fits[i] {
				t.Errorf("%s: step %d: %d tasks fit on w0, want %d", name, i, w.Fits, tc.fits[i])
			}
		}
		if out.Refusal != "" || out.Pool != "desk" || out.ConfigVersion != 1 || out.AdviceWaitMs != 0 {
			t.Errorf("%s: refusal %q, pool %q, configuration %d, advice %d ms", name, out.Refusal, out.Pool, out.ConfigVersion, out.AdviceWaitMs)
		}
	}
}

// Guards against a gang that is reported as placed in part.
func TestExplainPlacesAGangWholeOrNotAtAll(t *testing.T) {
	sim := newExplainSimulation(t, 2)
	for count, want := range map[int]int{8: 8, 9: 0} {
		gang := tasksOf(count, 1000)
		gang.Gang = true
		step := sim.explain(oneStep(1, "quotes", gang)).Steps[0]
		if step.Placeable != want || (want == 0) != (step.WaitsFor == "room for the whole gang") {
			t.Errorf("gang of %d: %d placeable, waits for %q", count, step.Placeable, step.WaitsFor)
		}
	}
}

// Guards against a count of tasks beyond the limit of the team.
func TestExplainKeepsToTheLimitOfTheTeam(t *testing.T) {
	sim := newExplainSimulation(t, 2)
	sim.cell.team("team").limit = work.Resources{CPUMillis: 3000}
	for _, gang := range []bool{false, true} {
		spec := tasksOf(4, 1000)
		spec.Gang = gang
		want := 3
		if gang {
			want = 0
		}
		step := sim.explain(oneStep(1, "quotes", spec)).Steps[0]
		if step.Placeable != want || step.WaitsFor != "the limit of its team" {
			t.Errorf("gang %v: %d placeable, waits for %q", gang, step.Placeable, step.WaitsFor)
		}
	}
	sim.cell.team("team").used = work.Resources{CPUMillis: 3000}
	if step := sim.explain(oneStep(1, "quotes", tasksOf(4, 1000))).Steps[0]; step.Placeable != 0 || step.Workers[0].Fits != 4 {
		t.Errorf("%d placeable by a team at its limit, %d fit", step.Placeable, step.Workers[0].Fits)
	}
}

// Guards against an explanation that differs from the refusal of the same work.
func TestExplainNamesTheRefusal(t *testing.T) {
	for name, prepare := range map[string]func(sim *simulation) *api.WorkSpec{
		"record": func(*simulation) *api.WorkSpec {
			gang := tasksOf(maxGangTasks()+1, 1000)
			gang.Gang = true
			return oneStep(1, "quotes", gang)
		},
		"advice": func(sim *simulation) *api.WorkSpec {
			sim.queue("slow", 0, &work.Advice{CallDuration: 30 * time.Second, ValidFor: 2 * time.Second})
			sim.submit(oneStep(10, "slow", tasksOf(1, 1000)))
			return oneStep(1, "slow", tasksOf(1, 1000))
		},
		"rate": func(sim *simulation) *api.WorkSpec {
			sim.cell.team("team").submitRate = 0.1
			sim.cell.saturatedPools["desk"] = true
			return oneStep(1, "quotes", tasksOf(1, 1000))
		},
	} {
		sim := newExplainSimulation(t, 2)
		spec := prepare(sim)
		explained := sim.explain(spec).Refusal
		var refusal error
		sim.cell.Submit(spec, func(_ bool, err error) { refusal = err })
		if refusal == nil || explained != refusal.Error() {
			t.Errorf("%s: explained as %q, refused with %v", name, explained, refusal)
		}
	}
}

// Guards against an explanation that hides that advice is needed, or that excludes all workers
// because a work that is not submitted has no tickets.
func TestExplainWithAdvice(t *testing.T) {
	sim := newExplainSimulation(t, 2)
	out := sim.explain(oneStep(1, "advised", tasksOf(6, 1000)))
	step := out.Steps[0]
	if step.Placeable != 6 || step.WaitsFor != "scheduling advice" || step.Workers[0].Fits != 4 {
		t.Errorf("%d placeable, waits for %q, %d fit", step.Placeable, step.WaitsFor, step.Workers[0].Fits)
	}
	if want := 22; out.AdviceWaitMs != want { // a call of 20 ms for 2 workers of 1 ms
		t.Errorf("advice is expected after %d ms, want %d", out.AdviceWaitMs, want)
	}
}

// Guards against a scheduled work that is reported as placed before it starts.
func TestExplainOfAWorkThatStartsLater(t *testing.T) {
	sim := newExplainSimulation(t, 1)
	spec := oneStep(1, "quotes", tasksOf(1, 1000))
	spec.RepeatCount, spec.IntervalMs = 2, 1000
	spec.StartAtUnixMs = int(sim.wall.Add(time.Minute).UnixMilli())
	if s := sim.explain(spec).Steps[0]; s.Placeable != 0 || s.WaitsFor != "the start of its first occurrence" {
		t.Errorf("%d placeable, waits for %q", s.Placeable, s.WaitsFor)
	}
	spec.StartAtUnixMs = int(sim.wall.Add(-time.Second).UnixMilli())
	if s := sim.explain(spec).Steps[0]; s.Placeable != 1 || s.WaitsFor != "" {
		t.Errorf("%d placeable, waits for %q after the start", s.Placeable, s.WaitsFor)
	}
}

// Guards against an unknown name that is explained as if it existed.
func TestExplainOfUnknownNames(t *testing.T) {
	sim := newExplainSimulation(t, 1)
	unknownTeam := oneStep(1, "quotes", tasksOf(1, 1000))
	unknownTeam.Team = "nobody"
	for field, spec := range map[string]*api.WorkSpec{"queue": oneStep(1, "nowhere", tasksOf(1, 1000)), "team": unknownTeam} {
		if _, err := sim.cell.Explain(spec); !errkind.Is(err, errkind.NotFound) || errkind.From(err).Field != field {
			t.Errorf("unknown %s: %v", field, err)
		}
	}
	if sim.cell.teams["nobody"] != nil {
		t.Error("the unknown team was added")
	}
	if _, err := New(Options{}).Explain(unknownTeam); !errkind.Is(err, errkind.OwnerUnavailable) {
		t.Errorf("without a configuration: %v", err)
	}
}

// Guards against an answer that grows with the number of steps times that of the workers.
func TestExplainBoundsItsAnswer(t *testing.T) {
	sim := newExplainSimulation(t, 400)
	spec := &api.WorkSpec{Id: workID(1), Queue: "quotes", Team: "team"}
	for range 5 {
		spec.Steps = append(spec.Steps, tasksOf(3, 1000))
	}
	for i, s := range sim.explain(spec).Steps {
		if listed := len(s.Workers) > 0; listed != (i < 2) || s.Placeable != 3 {
			t.Errorf("step %d: %d workers listed, %d placeable", i, len(s.Workers), s.Placeable)
		}
	}
}

// Guards against an explanation that names another worker or another number of tasks than the
// next pass uses.
func TestExplanationMatchesTheNextPass(t *testing.T) {
	sim := newExplainSimulation(t, 6)
	for n := range 8 {
		sim.submit(oneStep(10+n, "quotes", tasksOf(1+n%3, 60_000)))
		sim.runFor(50 * time.Millisecond)
	}
	for n := range 6 {
		spec := tasksOf(1+n, 60_000)
		spec.Gang = n%2 == 1
		spec.Size.CpuMillis = 500 + 200*n
		explained := sim.explain(oneStep(1+n, "quotes", spec)).Steps[0]
		sim.submit(oneStep(1+n, "quotes", spec))
		sim.cell.Schedule()
		s := sim.cell.works[workID(1+n)].occurrences[0].steps[0]
		if placed := spec.Count - s.waiting; placed != explained.Placeable {
			t.Errorf("work %d: %d placed, explained as %d", n, placed, explained.Placeable)
		}
		if runs := s.tasks[0].runs; len(runs) > 0 && runs[0].worker.info.ID != explained.Workers[0].Worker {
			t.Errorf("work %d: the first task is on %s, the best worker was %s", n, runs[0].worker.info.ID, explained.Workers[0].Worker)
		}
		sim.runFor(100 * time.Millisecond)
	}
}

// Guards against an explanation that changes a decision, the log, a counter or a record: the
// same load with random faults is simulated with and without explanations.
func TestExplanationsChangeNoDecision(t *testing.T) {
	for seed := range uint64(4) {
		without, _ := simulateWithExplanations(t, seed, 0)
		with, explained := simulateWithExplanations(t, seed, 5)
		if explained < 1000 {
			t.Errorf("seed %d: only %d explanations", seed, explained)
		}
		for i := range without {
			if with[i] != without[i] {
				t.Fatalf("seed %d: after %d slices the state differs:\n%s\nwithout explanations:\n%s", seed, i, with[i], without[i])
			}
		}
	}
}

// simulateWithExplanations simulates a load with that many explanations in each slice. It returns the
// state after each slice, and the number of explanations.
func simulateWithExplanations(t *testing.T, seed uint64, perSlice int) (states []string, explained int) {
	const rounds, slices = 30, 10
	sim := newSimulation(t, seed)
	sim.answerLossShare, sim.lateCallShare, sim.failShare, sim.allowedShare = 0.05, 0.02, 0.02, 0.6
	sim.queue("advised", 0, shortAdvice())
	sim.config.Teams["team"] = &work.Team{Name: "team", SubmitRate: 1, Limit: work.Resources{CPUMillis: 20000}}
	sim.addWorkers(8)
	sim.startOwner()
	for n := range rounds {
		sim.randomSubmission(n)
		sim.randomFault()
		for range slices {
			sim.runFor(40 * time.Millisecond)
			logged, stats := len(sim.cell.logLines), fmt.Sprintf("%+v", sim.cell.Stats())
			for k := range perSlice {
				sim.explain(explainedLoad(sim, explained+k))
			}
			explained += perSlice
			if after := fmt.Sprintf("%+v", sim.cell.Stats()); after != stats || len(sim.cell.logLines) != logged {
				t.Errorf("seed %d: %d log lines and counters %s after the explanations, %d and %s before", seed, len(sim.cell.logLines), after, logged, stats)
			}
			states = append(states, stateOf(sim))
		}
	}
	return states, explained
}

// explainedLoad returns the nth work to explain.
func explainedLoad(sim *simulation, n int) *api.WorkSpec {
	step := tasksOf(1+n%7, 200+n%1500)
	step.Gang = n%3 == 0
	step.LongRunning = n%11 == 0
	spec := oneStep(1_000_000+n, []string{"quotes", "batch", "advised"}[n%3], step)
	if n%5 == 0 {
		spec.Steps = append(spec.Steps, tasksOf(2, 300))
	}
	if n%4 == 0 {
		spec.RepeatCount, spec.IntervalMs, spec.StartAtUnixMs = 2, 1000, int(sim.wall.UnixMilli())+n%2000-1000
	}
	return spec
}

// stateOf describes what the cell and its workers have done so far.
func stateOf(sim *simulation) string {
	var b strings.Builder
	dump := sim.cell.Dump()
	fmt.Fprintf(&b, "%+v\n%+v\n%+v\n", dump.Works, dump.Workers, dump.Teams)
	fmt.Fprintf(&b, "%+v\n%v\n%d advice calls, %d polls, %d stops\n", sim.cell.Stats(), sim.eventCounts, sim.adviceCalls, sim.polls, sim.stops)
	fmt.Fprintf(&b, "%v\n%v\n%v\n", sim.works, sim.progress, sim.finished)
	for _, name := range sortedKeys(sim.observations) {
		fmt.Fprintf(&b, "%s %+v\n", name, *sim.observations[name])
	}
	for _, name := range sortedKeys(sim.cell.teams) {
		fmt.Fprintf(&b, "%s %+v\n", name, sim.cell.teams[name].bucket)
	}
	for _, s := range sim.cell.ready {
		fmt.Fprintf(&b, "%s %+v %v %v\n", s.id(), s.orderKey, s.predictions.at, s.waiting)
	}
	d := &sim.cell.adviceDemand
	fmt.Fprintf(&b, "%v %v %v %+v %+v %+v\n", d.summedAt, d.short, d.long, d.newShort, d.firstCalls, d.allCalls)
	return b.String()
}

// Guards against an explanation that counts reservations which a pass does not see when it comes
// to the step, or neglects those that are made ahead of the order.
func TestExplainCountsTheReservationsOfAPass(t *testing.T) {
	for name, tc := range map[string]struct {
		reserve func(sim *simulation, s *step, w *worker)
		counts  bool
	}{
		"later step":   {func(*simulation, *step, *worker) {}, false},
		"overdue step": {func(sim *simulation, s *step, _ *worker) { s.roomReservedAt = sim.cell.lastPassAt }, true},
		"task on move": {func(sim *simulation, s *step, w *worker) {
			sim.cell.evacuations.moves = []domainMove{{task: &task{step: s}, target: w}}
		}, true},
		"earlier step": {func(_ *simulation, s *step, _ *worker) { s.orderKey.startBy = 0 }, true},
		"room by later": {func(sim *simulation, s *step, w *worker) {
			s.orderKey.startBy = 0
			w.reservations[0].availableAt = sim.now + time.Minute
		}, false},
	} {
		sim := newExplainSimulation(t, 1)
		w := sim.cell.workers["w0"]
		s := &step{work: &activeWork{spec: &api.WorkSpec{}}, orderKey: orderKey{rank: rankInTime, startBy: farFuture}}
		w.reservations = []reservation{{step: s, availableAt: sim.now, spare: work.Resources{CPUMillis: 2000, MemoryMB: 8192}}}
		tc.reserve(sim, s, w)
		want := 4
		if tc.counts {
			want = 2
		}
		if step := sim.explain(oneStep(1, "quotes", tasksOf(6, 1000))).Steps[0]; step.Placeable != want || step.Workers[0].Fits != want {
			t.Errorf("%s: %d placeable, %d fit; want %d", name, step.Placeable, step.Workers[0].Fits, want)
		}
	}
}

// Guards against a work without a team, as on an open queue, that is not explained, and against a
// team that an explanation adds to the cell.
func TestExplainWithoutATeam(t *testing.T) {
	sim := newExplainSimulation(t, 1)
	spec := oneStep(1, "quotes", tasksOf(2, 1000))
	spec.Team = ""
	if out := sim.explain(spec); out.Refusal != "" || out.Steps[0].Placeable != 2 {
		t.Errorf("refusal %q, %d placeable", out.Refusal, out.Steps[0].Placeable)
	}
	if sim.cell.teams[""] != nil {
		t.Error("the explanation has added a team")
	}
}

// Guards against a number of tasks for which the record of the work has no room.
func TestExplainKeepsToTheRoomOfTheRecord(t *testing.T) {
	sim := newExplainSimulation(t, 1)
	sim.cell.longestWorkerID = maxRecordBytes - 3*taskEntryBytes
	if s := sim.explain(oneStep(1, "quotes", tasksOf(4, 1000))).Steps[0]; s.Placeable != 2 || s.WaitsFor != "room in the record of the work" {
		t.Errorf("%d placeable, waits for %q", s.Placeable, s.WaitsFor)
	}
}
