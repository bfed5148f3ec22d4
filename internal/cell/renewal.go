package cell

import "slices"

// The record of a run may take longer to be written than its ticket is valid, while
// the store is slow. The record holds for any ticket, so the run is kept and a new
// ticket is asked for, which takes less time than another record. Members of a gang
// start together, so their run is given up instead.

// startRecorded starts a run whose record is written.
func (c *Cell) startRecorded(r *run) {
	t := r.task.step.ticketOf(r.worker)
	switch {
	case t == nil:
		c.sendStart(r)
	case t.expires > c.now+ticketMargin/2:
		r.ticket = t.value
		c.sendStart(r)
	case r.task.step.spec.Gang:
		c.stopRun(r, "the ticket ran out before the record was written")
	case !slices.Contains(c.ticketless, r):
		c.ticketless = append(c.ticketless, r)
	}
}

// askForTicketless asks for the tickets of recorded runs.
func (c *Cell) askForTicketless() {
	c.ticketless = slices.DeleteFunc(c.ticketless, func(r *run) bool { return r.ended || r.phase != runRecording })
	wanted := map[*step][]*worker{}
	var steps []*step
	for _, r := range c.ticketless {
		s := r.task.step
		if s.advice.inFlight || len(wanted[s]) >= maxNamed || slices.Contains(wanted[s], r.worker) {
			continue
		}
		if wanted[s] == nil {
			steps = append(steps, s)
		}
		wanted[s] = append(wanted[s], r.worker)
	}
	for _, s := range steps {
		if !c.askFor(s, wanted[s]) {
			return
		}
	}
}

// startTicketless starts the recorded runs of a step that have a valid ticket again.
func (c *Cell) startTicketless(s *step) {
	waiting := c.ticketless
	c.ticketless = nil
	for _, r := range waiting {
		switch {
		case r.ended || r.phase != runRecording:
		case r.task.step == s:
			c.startRecorded(r)
		default:
			c.ticketless = append(c.ticketless, r)
		}
	}
}
