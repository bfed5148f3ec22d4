package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

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
