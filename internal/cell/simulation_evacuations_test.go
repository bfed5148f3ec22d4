package cell

import (
	"slices"
	"time"
)

// simEvacuations are the operator's requests for evacuation, and the owner's copy of them.
type simEvacuations struct {
	maxAge       time.Duration            // see Options.MaxEvacuationsAge
	requestedAt  map[string]time.Duration // by failure domain
	copyStalled  bool                     // the owner's copy is neither changed nor confirmed
	knownSince   map[string]time.Duration // when the present owner learned of the requests
	knownBy      *Cell
	advicesNamed int // workers that advice calls have named
}

// evacuate replaces the requests by one for each of these failure domains.
func (sim *simulation) evacuate(domains ...string) {
	e := &sim.evacuations
	earlier := e.requestedAt
	e.requestedAt = map[string]time.Duration{}
	for _, d := range domains {
		e.requestedAt[d] = sim.now
		if at, ok := earlier[d]; ok {
			e.requestedAt[d] = at
		}
	}
	sim.readEvacuations()
}

// readEvacuations updates the owner's copy of the requests, unless the copy is stalled.
func (sim *simulation) readEvacuations() {
	e := &sim.evacuations
	if sim.cell == nil || sim.paused() || e.copyStalled || e.requestedAt == nil && e.maxAge == 0 {
		return
	}
	if e.knownBy != sim.cell {
		e.knownBy, e.knownSince = sim.cell, map[string]time.Duration{}
	}
	for d := range e.requestedAt {
		if _, ok := e.knownSince[d]; !ok {
			e.knownSince[d] = sim.now
		}
	}
	for d := range e.knownSince {
		if _, ok := e.requestedAt[d]; !ok {
			delete(e.knownSince, d)
		}
	}
	sim.cell.SetEvacuatedDomains(sortedKeys(e.requestedAt), sim.now)
}

// checkEvacuations checks that an owner starts nothing in a failure domain of which it knows
// that it is evacuated, names no worker there to the adviser, and starts nothing there once the
// request is older than its copy may be.
func (sim *simulation) checkEvacuations(out *Effects) {
	e := &sim.evacuations
	// A start that was decided on in the same moment came before the request.
	known := func(worker string, at time.Duration) bool {
		since, ok := e.knownSince[sim.workers[worker].domain]
		return ok && e.knownBy == sim.cell && at > since
	}
	for i := range out.Starts {
		s := &out.Starts[i]
		if known(s.Worker.ID, s.sentAt) {
			sim.t.Errorf("%v: start of %s on %s, whose failure domain is evacuated", sim.now, s.Task.String(), s.Worker.ID)
		}
		requestedAt, ok := e.requestedAt[sim.workers[s.Worker.ID].domain]
		if ok && e.maxAge > 0 && s.sentAt > requestedAt+e.maxAge {
			sim.t.Errorf("%v: start of %s on %s %v after the request for evacuation", sim.now, s.Task.String(), s.Worker.ID, s.sentAt-requestedAt)
		}
	}
	for i := range out.AdviceCalls {
		a := &out.AdviceCalls[i]
		e.advicesNamed += len(a.Workers)
		if slices.ContainsFunc(a.Workers, func(id string) bool { return known(id, sim.now) }) {
			sim.t.Errorf("%v: advice call for %s names workers %v, some of which are in an evacuated failure domain", sim.now, a.Step.String(), a.Workers)
		}
	}
}

// addWorkerIn adds a small worker in a failure domain and lists it.
func (sim *simulation) addWorkerIn(domain, id string) *fakeWorker {
	f := sim.addWorker(id, smallWorker)
	f.domain = domain
	sim.updateWorkers()
	return f
}

// newEvacuationSimulation returns a simulation of a worker in each of the failure domains f1 and
// f2, w1 and w2, with an owner that has heard of both.
func newEvacuationSimulation(t simulationTB) (sim *simulation, w1, w2 *fakeWorker) {
	t.Helper()
	sim = newSimulation(t, 1)
	sim.evacuations.maxAge = 3 * time.Second
	w1, w2 = sim.addWorkerIn("f1", "w1"), sim.addWorkerIn("f2", "w2")
	sim.queue("advised", 0, shortAdvice())
	sim.startOwner()
	sim.runFor(time.Second)
	return sim, w1, w2
}

// firstRun returns the first run of the first task of a work, nil if there is none.
func (sim *simulation) firstRun(n int) *run {
	aw := sim.cell.works[workID(n)]
	if aw == nil || len(aw.occurrences) == 0 || len(aw.occurrences[0].steps[0].tasks[0].runs) == 0 {
		return nil
	}
	return aw.occurrences[0].steps[0].tasks[0].runs[0]
}

// runUntilRunOn runs the simulation until the work has a run on a worker, and returns it.
func (sim *simulation) runUntilRunOn(n int, worker string, phase runPhase) *run {
	sim.t.Helper()
	sim.runUntil(5*time.Second, "placed on "+worker, func() bool {
		r := sim.firstRun(n)
		return r != nil && r.worker.info.ID == worker && r.phase == phase
	})
	return sim.firstRun(n)
}
