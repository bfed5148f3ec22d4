package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

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
