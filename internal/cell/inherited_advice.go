package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// InheritedAdvice is the answer of the adviser to a call of an earlier owner.
type InheritedAdvice struct {
	Step    work.StepID
	Workers []string          // of the call
	Tickets map[string]string // for those of them that may run the step
	Expires time.Duration     // boot time at which the tickets expire
}

// InheritedAdviceUse counts what became of inherited answers.
type InheritedAdviceUse struct {
	Applied     int // answers that a step can use
	UnknownStep int // answers about steps that have ended, or that this owner does not know
	NoWorker    int // answers about workers of which none is in the cell
}

// InheritedAdviceUse returns the counts since the start of the tenure.
func (c *Cell) InheritedAdviceUse() InheritedAdviceUse { return c.inheritedUse }

// AdviceInherited applies the answer to a call of an earlier owner. Which workers may run a
// step does not depend on who owns the cell, so the tickets are used like those of a call of
// its own. Before the first list of workers the answer is kept.
func (c *Cell) AdviceInherited(a *InheritedAdvice) {
	if !c.fleetListed {
		c.heldAdvice = append(c.heldAdvice, a)
		return
	}
	s := c.findStep(a.Step)
	if s == nil || s.unfinished == 0 {
		c.inheritedUse.UnknownStep++
		return
	}
	var workers []*worker
	tickets := map[string]string{}
	for _, id := range a.Workers {
		w := c.workers[id]
		ticket, permitted := a.Tickets[id]
		if w == nil || w.ended || !permitted && c.mayPredateIncarnation(w) {
			continue
		}
		workers = append(workers, w)
		if permitted && !s.prefersOwnTicket(w, ticket, a.Expires) {
			tickets[id] = ticket
		}
	}
	if len(workers) == 0 {
		c.inheritedUse.NoWorker++
		return
	}
	c.inheritedUse.Applied++
	c.endInheritedCall(s, workers)
	c.applyAdvice(s, workers, tickets, a.Expires)
}

// maxAnswerAge bounds the time from a call for advice to the use of its answer by a later owner.
const maxAnswerAge = 10 * time.Second

// mayPredateIncarnation reports whether an answer of an earlier owner may be about an earlier
// incarnation of the worker.
func (c *Cell) mayPredateIncarnation(w *worker) bool {
	return c.wall.UnixMilli()-int64(w.info.IncarnationUnixMs) < maxAnswerAge.Milliseconds()
}

// prefersOwnTicket reports whether the step has a ticket for this incarnation of the worker that
// expires no sooner than an inherited one, or the same ticket. The worker may have refused that.
func (s *step) prefersOwnTicket(w *worker, inherited string, expires time.Duration) bool {
	t := s.ticketOf(w)
	return t != nil && (t.expires >= expires || t.value == inherited)
}

// applyHeldAdvice applies the answers that came before the first list of workers.
func (c *Cell) applyHeldAdvice() {
	held := c.heldAdvice
	c.heldAdvice = nil
	for _, a := range held {
		if a.Expires > c.now {
			c.AdviceInherited(a)
		}
	}
}

// findStep returns a step of a work that has not ended, or nil.
func (c *Cell) findStep(id work.StepID) *step {
	aw := c.works[id.Work]
	if aw == nil || isTerminal(aw.state) {
		return nil
	}
	for _, o := range aw.occurrences {
		if o.number == id.Occurrence && id.Step < len(o.steps) {
			return o.steps[id.Step]
		}
	}
	return nil
}
