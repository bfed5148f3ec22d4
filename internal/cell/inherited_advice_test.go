package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// inheritedFor returns an answer of an earlier owner about workers that may run the first step
// of a work.
func inheritedFor(sim *simulation, n int, ticket string, validFor time.Duration, workers ...string) *InheritedAdvice {
	a := &InheritedAdvice{Step: work.StepID{Work: workID(n)}, Workers: workers, Tickets: map[string]string{}, Expires: sim.now + validFor}
	for _, w := range workers {
		a.Tickets[w] = ticket
	}
	return a
}

// inherit hands an answer of an earlier owner to the current one, and makes the workers accept
// its tickets.
func inherit(sim *simulation, a *InheritedAdvice) {
	for w, ticket := range a.Tickets {
		sim.tickets[a.Step.String()+w+ticket] = a.Expires
	}
	sim.cell.AdviceInherited(a)
}

// Guards against a task that waits for a call of its own owner, or is not placed because that
// call fails, although an earlier owner has got tickets.
func TestTicketsOfAnEarlierOwnerAreUsedWhileACallIsInFlightOrFails(t *testing.T) {
	for _, fails := range []bool{false, true} {
		sim := startScarceAdvice(t, 1)
		sim.adviceFails = fails
		sim.config.Queues["long"].Advice.CallDuration = time.Second
		sim.runFor(2 * time.Second)
		step := tasksOf(1, 0)
		step.LongRunning = true
		sim.submit(oneStep(1, "long", step))
		sim.runFor(50 * time.Millisecond)
		if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 0 || sim.adviceCalls == 0 {
			t.Fatalf("calls fail: %v: %d starts, %d calls", fails, n, sim.adviceCalls)
		}
		inherit(sim, inheritedFor(sim, 1, "earlier", time.Second, "w1", "w2"))
		sim.runUntil(300*time.Millisecond, "started", func() bool { return sim.observationOf(workID(1)+".0.0.0").starts == 1 })
	}
}

// Guards against a ticket that is replaced by one of an earlier owner that expires sooner.
func TestTicketOfAnEarlierOwnerDoesNotReplaceALaterOne(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.adviceFails = true
	sim.submit(oneStep(1, "long", tasksOf(400, 300)))
	s := sim.cell.findStep(work.StepID{Work: workID(1)})
	inherit(sim, inheritedFor(sim, 1, "later", time.Second, "w1"))
	inherit(sim, inheritedFor(sim, 1, "sooner", 900*time.Millisecond, "w1", "w2"))
	got := map[string]string{}
	for _, ticket := range s.advice.tickets {
		got[ticket.worker.info.ID] = ticket.value
	}
	if got["w1"] != "later" || got["w2"] != "sooner" {
		t.Errorf("tickets %v", got)
	}
}

// Guards against answers that reach a new owner before the list of workers and are dropped.
func TestAdviceInheritedBeforeTheListOfWorkersIsKept(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.adviceFails = true
	sim.submit(oneStep(1, "long", tasksOf(400, 300)))
	s := sim.cell.findStep(work.StepID{Work: workID(1)})
	sim.cell.fleetListed = false
	inherit(sim, inheritedFor(sim, 1, "valid", time.Second, "w1"))
	inherit(sim, inheritedFor(sim, 1, "expired", -time.Second, "w2"))
	if len(s.advice.tickets) > 0 {
		t.Fatal("applied before the workers are known")
	}
	sim.updateWorkers()
	if len(s.advice.tickets) != 1 || s.advice.tickets[0].value != "valid" {
		t.Errorf("tickets %v after the list of workers", s.advice.tickets)
	}
}

// Guards against a new owner that is stopped by answers about what it does not know.
func TestInheritedAdviceAboutUnknownStepsAndWorkersIsIgnored(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.submit(oneStep(1, "long", tasksOf(2, 300)))
	beyond := inheritedFor(sim, 1, "ticket", time.Second, "w1")
	beyond.Step.Step = 7
	for _, a := range []*InheritedAdvice{
		inheritedFor(sim, 9, "ticket", time.Second, "w1"), beyond, inheritedFor(sim, 1, "ticket", time.Second, "unknown"),
	} {
		sim.cell.AdviceInherited(a)
	}
	if use := sim.cell.InheritedAdviceUse(); use != (InheritedAdviceUse{UnknownStep: 2, NoWorker: 1}) {
		t.Errorf("%+v", use)
	}
	sim.runUntilCompleted(5*time.Second, 1)
}

// Guards against a restarted worker that counts as not permitted, because an answer about its
// earlier incarnation reaches the next owner.
func TestInheritedRefusalDoesNotCountForAWorkerThatStartedLately(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.adviceFails = true
	sim.submit(oneStep(1, "long", tasksOf(400, 300)))
	s := sim.cell.findStep(work.StepID{Work: workID(1)})
	restarted, other := sim.cell.workers["w1"], sim.cell.workers["w2"]
	restarted.info.IncarnationUnixMs = int(sim.wall.Add(-time.Second).UnixMilli())
	other.info.IncarnationUnixMs = int(sim.wall.Add(-time.Hour).UnixMilli())
	answer := inheritedFor(sim, 1, "ticket", time.Second, "w3")
	answer.Workers = append(answer.Workers, "w1", "w2")
	inherit(sim, answer)
	if s.advice.queried[restarted] || !s.advice.queried[other] {
		t.Errorf("restarted worker counts as queried: %v, the other one: %v", s.advice.queried[restarted], s.advice.queried[other])
	}
}

// Guards against a new incarnation of a worker that counts as not permitted for good, because an
// inherited ticket for it gives way to a later one of the incarnation that has ended.
func TestInheritedTicketGivesWayToNoTicketOfAnEndedIncarnation(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.adviceFails = true
	sim.submit(oneStep(1, "long", tasksOf(400, 300)))
	s := sim.cell.findStep(work.StepID{Work: workID(1)})
	inherit(sim, inheritedFor(sim, 1, "later", time.Second, "w1"))
	sim.cell.endIncarnation(sim.cell.workers["w1"], lostWithIncarnation)
	sim.workers["w1"].restart()
	sim.updateWorkers()
	inherit(sim, inheritedFor(sim, 1, "sooner", 900*time.Millisecond, "w1"))
	sim.cell.forgetRemovedWorkers(s)
	w := sim.cell.workers["w1"]
	if s.advice.queried[w] && s.ticketOf(w) == nil {
		t.Error("the adviser has permitted the worker, and the step counts it as not permitted")
	}
}

// Guards against a ticket that a worker has refused and that is used again, because the same
// answer arrives a second time.
func TestRefusedTicketIsNotInheritedAgain(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.adviceFails = true
	sim.submit(oneStep(1, "long", tasksOf(400, 300)))
	s := sim.cell.findStep(work.StepID{Work: workID(1)})
	inherit(sim, inheritedFor(sim, 1, "ticket", time.Second, "w1"))
	s.invalidateTicket(sim.cell.workers["w1"])
	inherit(sim, inheritedFor(sim, 1, "ticket", time.Second, "w1"))
	if got := s.ticketOf(sim.cell.workers["w1"]); got.expires > sim.now {
		t.Error("the ticket that the worker has refused counts as valid")
	}
}
