package cell

import "slices"

// While the store is slow, the ticket of a run may expire before the record is written.
// The record does not depend on the ticket, so the run is kept and a new ticket is
// requested, which is faster than writing another record. Members of a gang have to start
// together, so their runs are stopped instead.

// startRecorded sends the start of a run whose record is written. It is held while its worker
// holds starts or is granted no lease, or while the requests for evacuation are not known. If its
// ticket has expired, the run waits for a new ticket instead; a run of a gang is stopped, as is
// one in an evacuated failure domain.
func (c *Cell) startRecorded(r *run) {
	t := r.task.step.ticketOf(r.worker)
	switch {
	case r.worker.evacuated:
		c.stopForEvacuation(r)
	case c.holdsStarts(r.worker) || c.leaseEndMayBeRecorded(r.worker) || !c.evacuationsKnown():
		c.heldStarts = append(c.heldStarts, r)
	case t == nil:
		c.sendStart(r)
	case t.expires > c.now+ticketExpiryMargin/2:
		r.ticket = t.value
		c.sendStart(r)
	case r.task.step.spec.Gang:
		c.stopRun(r, "the ticket expired before the record was written")
	case !slices.Contains(c.awaitingTicket, r):
		c.awaitingTicket = append(c.awaitingTicket, r)
	}
}

// requestAwaitedTickets emits advice calls for the tickets that recorded runs wait for.
func (c *Cell) requestAwaitedTickets() {
	c.awaitingTicket = slices.DeleteFunc(c.awaitingTicket, func(r *run) bool { return r.ended || r.phase != runRecording })
	wanted := map[*step][]*worker{}
	var steps []*step
	for _, r := range c.awaitingTicket {
		s := r.task.step
		if r.worker.evacuated || s.advice.inFlight || len(wanted[s]) >= maxCallWorkers || slices.Contains(wanted[s], r.worker) {
			continue
		}
		if wanted[s] == nil {
			steps = append(steps, s)
		}
		wanted[s] = append(wanted[s], r.worker)
	}
	for _, s := range steps {
		if !c.callForAdvice(s, wanted[s]) {
			return
		}
	}
}

// startAwaitingTicket retries the start of the runs of a step that wait for a ticket.
func (c *Cell) startAwaitingTicket(s *step) {
	waiting := c.awaitingTicket
	c.awaitingTicket = nil
	for _, r := range waiting {
		switch {
		case r.ended || r.phase != runRecording:
		case r.task.step == s:
			c.startRecorded(r)
		default:
			c.awaitingTicket = append(c.awaitingTicket, r)
		}
	}
}
